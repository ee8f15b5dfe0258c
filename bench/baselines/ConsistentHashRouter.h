#pragma once

#include <anvilwalk/process.h>

#include <memory>
#include <mutex>
#include <vector>

namespace anvilwalk::baselines {

// Targets of a service spread over the slots by permutations of each target, in turns by weight, so that a change
// of the targets moves few slots. Leaving targets get none.
std::vector<const TableTarget*> spreadByPermutation(const ServiceSlots&);

// Forwards by consistent hashing over the current targets and keeps no records.
class ConsistentHashRouter : public RelayRouter {
public:
    Decision route(const PacketView&, MonotonicTime now) override;
    Decision routeRelayed(const RelayHeader&, const PacketView&, MonotonicTime now) override;
    void setState(RoutingStatePointer) override;
    void updatePeerContact(MonotonicTime) override { }

protected:
    // Target by hash; null if the packet's service is unknown or has no target.
    struct Choice {
        ServiceId service;
        const ServiceSlots* slots = nullptr;
        const TableTarget* target = nullptr;
    };
    struct Spread {
        RoutingStatePointer state;
        absl::flat_hash_map<ServiceId, std::vector<const TableTarget*>> targets;
    };
    std::shared_ptr<const Spread> spread() const;
    static Choice choose(const Spread&, const FlowKey&, std::uint64_t hash);

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const Spread> m_spread;
};

} // namespace anvilwalk::baselines
