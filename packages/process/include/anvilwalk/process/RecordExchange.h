#pragma once

#include <anvilwalk/process/ControlPlane.h>
#include <anvilwalk/process/TableHistory.h>

#include <map>
#include <memory>
#include <set>

namespace anvilwalk {

// Pushes flow records to the balancers that need them: recent openings before a new table version is echoed, and the
// records of slots whose owner or backup changed. Pushes are idempotent, because a pushed record never replaces an
// existing one.
class RecordExchange {
public:
    RecordExchange(const ControlPlaneOptions&, std::shared_ptr<FlowTable>);

    // Pushes the flows of these slots that this balancer opened since the given time to owner, backup and the first
    // settled balancer. Returns the job number for isDone.
    std::uint64_t pushOpenings(std::set<SlotKey> slots, MonotonicTime openedSince, MonotonicTime now);
    // Pushes the records of slots whose owner or backup changed between the two states.
    void pushReassigned(const RoutingState& before, const RoutingState& after, MonotonicTime now);
    // Pushes all records of slots that are not stable to their owner and backup.
    void pushAll(const RoutingState&, MonotonicTime now);
    bool isDone(std::uint64_t number) const { return !m_jobs.contains(number); }
    bool idle() const { return m_jobs.empty(); }
    // Restarts all jobs with records that are not acknowledged, because owners may have changed.
    void restart(MonotonicTime now);

    void handlePushed(std::uint64_t ticket, bool ok, MonotonicTime now);
    // Collects and pushes the records of due jobs. The caller fills in the control endpoints of the pushes.
    void tick(const RoutingState&, MonotonicTime now, std::vector<ControlAction>& actions);

    peer::FetchRecordsResponse answerFetch(
        const RoutingState&, const peer::FetchRecordsRequest&, MonotonicTime now) const;
    peer::PushRecordsResponse answerPush(const peer::PushRecordsRequest&, MonotonicTime now);
    // Stores fetched records. Of two records of a flow with different targets, the one with the later last packet is
    // kept. Returns false if the flow table had no room for all records.
    bool merge(const peer::FetchRecordsResponse&, MonotonicTime now);
    // Drops the confirmed records of slots that are stable again.
    void dropStable(const std::set<SlotKey>&);
    // Drops the confirmed records of unstable slots that this balancer neither owns nor backs up any more.
    void dropReassigned(const RoutingState&);

private:
    struct Job {
        std::set<SlotKey> slots;
        // Set for a push of openings, which includes observed flows opened since then.
        std::optional<MonotonicTime> openedSince;
        // Balancers that already have the records, by slot.
        std::map<SlotKey, std::set<BalancerId>> holders;
        bool includeUnsettled = true;
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
