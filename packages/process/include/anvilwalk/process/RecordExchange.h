#pragma once

#include <anvilwalk/process/ControlPlane.h>
#include <anvilwalk/process/TableHistory.h>

#include <map>
#include <memory>
#include <set>

namespace anvilwalk {

// Passes flow records to the balancers that need them: recent openings before a new version is echoed, and the
// records of slots whose owner or backup changed. Pushed records never replace existing ones, so that repeated
// pushes do no harm.
class RecordExchange {
public:
    RecordExchange(const ControlPlaneOptions&, std::shared_ptr<FlowTable>);

    // Hands the flows of these slots, opened by this balancer since the given time, to owner, backup and the first
    // settled balancer.
    // Returns a number for isDone.
    std::uint64_t handIn(std::set<SlotKey> slots, MonotonicTime openedSince, MonotonicTime now);
    // Pushes records of slots whose owner or backup changed between the two states.
    void syncChange(const RoutingState& before, const RoutingState& after, MonotonicTime now);
    // Pushes all records of slots that are not stable to their owner and backup.
    void pushAll(const RoutingState&, MonotonicTime now);
    bool isDone(std::uint64_t number) const { return !m_jobs.contains(number); }
    bool idle() const { return m_jobs.empty(); }
    // Owners may have changed: what has not been acknowledged is collected again.
    void restart(MonotonicTime now);

    void handlePushed(std::uint64_t ticket, bool ok, MonotonicTime now);
    // Collects and pushes what is due. The caller fills in the control endpoints of the pushes.
    void tick(const RoutingState&, MonotonicTime now, std::vector<ControlAction>& actions);

    peer::FetchRecordsResponse answerFetch(
        const RoutingState&, const peer::FetchRecordsRequest&, MonotonicTime now) const;
    peer::PushRecordsResponse answerPush(const peer::PushRecordsRequest&, MonotonicTime now);
    // Takes over fetched records. Of two records of a flow, the one with the later packet wins. Returns false if
    // the flow table had no room for all.
    bool merge(const peer::FetchRecordsResponse&, MonotonicTime now);
    // Drops the confirmed records of slots that are stable again.
    void dropSettled(const std::set<SlotKey>&);
    // Drops the confirmed records of slots that others have taken over from this balancer.
    void dropForeign(const RoutingState&);

private:
    struct Job {
        std::set<SlotKey> slots;
        // Set for a hand-in, which includes observed flows opened since then.
        std::optional<MonotonicTime> openedSince;
        // Balancers that had the records of these slots already.
        std::map<SlotKey, std::set<BalancerId>> holders;
        bool toUnsettled = true;
        MonotonicTime due;
        std::set<std::uint64_t> outstanding;
        MonotonicTime sentAt;
    };
    using Batches = std::map<BalancerId, std::vector<peer::FlowRecordEntry>>;

    Batches collect(const Job&, const RoutingState&, MonotonicTime now);
    std::vector<const RoutingMember*> receivers(const Job&, const RoutingState&, const SlotKey&) const;
    void send(Job&, const Batches&, MonotonicTime now, std::vector<ControlAction>& actions);

    ControlPlaneOptions m_options;
    std::shared_ptr<FlowTable> m_flows;
    std::map<std::uint64_t, Job> m_jobs;
    std::uint64_t m_nextJob = 1;
    std::uint64_t m_nextTicket = 1;
};

} // namespace anvilwalk
