#pragma once

#include <anvilwalk/process/Membership.h>

#include <map>
#include <optional>
#include <set>

namespace anvilwalk {

// State machine that takes a balancer from its start, or from a pause after which its peers may have declared it dead,
// to settled. It is admitted when every live peer knows its incarnation, and settled when every live peer has sent
// the records of its slots.
class JoinProgress {
public:
    explicit JoinProgress(const ControlPlaneOptions&);

    // State of the rest of the balancer that a tick needs.
    struct Context {
        TableVersion table;
        ConfigVersion config;
        // Members that may own slots, this balancer included.
        std::vector<BalancerId> order;
    };
    // Advances the state and requests records from peers when due. Returns true if the state changed.
    bool tick(Membership&, const Context&, MonotonicTime now, std::vector<ControlAction>& actions);
    // Handles the result of a record request and returns ok. Results of earlier rounds are fetched again.
    bool handleFetched(const BalancerId&, bool ok, MonotonicTime now);

    bool admitted() const { return m_admitted; }
    // The balancer may route packets. An unsettled one stops again when it learns of a peer that does not know it.
    bool mayRoute() const { return m_admitted && (m_settled || m_knownToAll); }
    bool settled() const { return m_settled; }
    // All known peers have been silent for serveAloneAfter, so this balancer serves with its last known state.
    bool servesAlone() const { return m_servesAlone; }
    // This balancer has rejoined after it lost contact with its peers, and may hold records that they lack.
    bool returned() const { return m_returned; }

private:
    bool restartIfLost(Membership&, const Context&, MonotonicTime now);
    void restart(Membership&, MonotonicTime now);
    bool tryServeAlone(Membership&, const Context&, MonotonicTime now);
    bool tryAdmit(Membership&, const Context&, MonotonicTime now);
    bool trySettle(Membership&, const Context&, MonotonicTime now, std::vector<ControlAction>& actions);
    void startRound(const Context&);

    ControlPlaneOptions m_options;
    std::optional<MonotonicTime> m_startedAt;
    bool m_admitted = false;
    bool m_settled = false;
    bool m_knownToAll = false;
    bool m_alone = false;
    bool m_servesAlone = false;
    bool m_returned = false;
    MonotonicTime m_lostAt {};
    std::optional<MonotonicTime> m_firstPeerAt;
    MonotonicTime m_fetchAt {};
    std::uint64_t m_round = 0;
    std::set<BalancerId> m_roundOrder;
    std::set<BalancerId> m_fetched;
    // Pending requests with the round they belong to.
    std::map<BalancerId, std::uint64_t> m_outstanding;
    std::map<BalancerId, MonotonicTime> m_retryAt;
};

} // namespace anvilwalk
