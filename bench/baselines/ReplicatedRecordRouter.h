#pragma once

#include "ConsistentHashRouter.h"

namespace anvilwalk::baselines {

// Chooses the target of a new flow by consistent hashing and keeps a record of each flow, which it sends to every
// other balancer.
class ReplicatedRecordRouter final : public ConsistentHashRouter {
public:
    // Source address and port, slot, target and times; service and destination are shared by many records.
    static constexpr std::size_t bytesPerRecord = 24;

    explicit ReplicatedRecordRouter(std::shared_ptr<FlowTable>);

    Decision route(const PacketView&, MonotonicTime now) override;

    // New records since the last call, to be stored at every other balancer.
    std::vector<FlowEntry> takeNewRecords();
    void store(const std::vector<FlowEntry>&, MonotonicTime now);

private:
    std::shared_ptr<FlowTable> m_flows;
    std::mutex m_newRecordsMutex;
    std::vector<FlowEntry> m_newRecords;
};

} // namespace anvilwalk::baselines
