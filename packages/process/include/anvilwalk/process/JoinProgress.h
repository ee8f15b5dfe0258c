#pragma once

#include <anvilwalk/process/Membership.h>

#include <map>
#include <optional>
#include <set>

namespace anvilwalk {

// Takes a balancer from its start, or from a pause after which its peers may have given it up, to settled: every
// live peer knows its incarnation (admitted), then every live peer has sent the records of its slots (settled).
class JoinProgress {
public:
    explicit JoinProgress(const CellControllerOptions&);

    // What a tick is to know of the rest of the balancer.
    struct Context {
        TableVersion table;
        ConfigVersion config;
        // Members that may own slots, this balancer included.
        std::vector<BalancerId> order;
    };
    // Returns true if the progress changed. Asks for records when it is time.
    bool tick(Membership&, const Context&, MonotonicTime now, std::vector<CellAction>& actions);
    // Returns true if the answer belongs to the present round.
    bool handleFetched(const BalancerId&, bool ok, MonotonicTime now);

    bool admitted() const { return m_admitted; }
    // The balancer may route packets. An unsettled one stops again when it hears of a peer that does not know it.
    bool mayRoute() const { return m_admitted && (m_settled || m_knownToAll); }
    bool settled() const { return m_settled; }
    // Peers were known and all are silent for so long that this balancer serves by what it knows.
    bool servesAlone() const { return m_servesAlone; }
    // This balancer was not known to its peers for a while and may hold records that they lack.
    bool returned() const { return m_returned; }

private:
    bool startAgainIfLost(Membership&, const Context&, MonotonicTime now);
    void startAgain(Membership&, MonotonicTime now);
    bool tryAlone(Membership&, const Context&, MonotonicTime now);
    bool tryAdmit(Membership&, const Context&, MonotonicTime now);
    bool trySettle(Membership&, const Context&, MonotonicTime now, std::vector<CellAction>& actions);
    void startRound(const Context&);

    CellControllerOptions m_options;
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
    // Requests under way, with the round they belong to.
    std::map<BalancerId, std::uint64_t> m_outstanding;
    std::map<BalancerId, MonotonicTime> m_retryAt;
};

} // namespace anvilwalk
