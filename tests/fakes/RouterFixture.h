#pragma once

#include "FakeClock.h"
#include "RouterCluster.h"
#include "TableBuilder.h"

#include <vector>

namespace anvilwalk::fakes {

inline constexpr ServiceId dispatch { 1 };
inline constexpr ServiceId photos { 2 };
// A UDP service.
inline constexpr ServiceId telemetry { 3 };

struct RouterFixtureOptions {
    std::size_t balancers = 3;
    SlotRouterOptions router {};
    FlowTableOptions flows { .capacity = 4096, .shards = 4 };
    ServiceLimits limits {};
};

// A cluster of routers with two TCP services and a UDP service. Dispatch has targets 1 to 4, photos has 11 and 12,
// telemetry has 21 and 22. Initially all slots are stable.
struct RouterFixture {
    explicit RouterFixture(const RouterFixtureOptions& = {});

    FakeClock clock;
    TableBuilder table;
    RouterCluster cluster;

    // Builds the next table version and sets it at all balancers.
    void publishTable();
    // Builds the next table version and sets it at the given balancers only, so that versions differ.
    void publishTableTo(const std::vector<std::size_t>& balancers);
    // Announces a new target for a slot at all balancers, advances the clock by 8 s (more than the retransmission
    // window of 7 s) and starts moving the slot.
    void moveSlot(ServiceId, SlotIndex, TargetId);

    RouteResult open(std::size_t balancer, const FlowKey&);
    RouteResult data(std::size_t balancer, const FlowKey&);
    RouteResult close(std::size_t balancer, const FlowKey&);
    RouteResult datagram(std::size_t balancer, const FlowKey&);
};

// A flow of the service whose hash falls into the slot. Each number yields a different flow.
FlowKey flowInSlot(ServiceId, SlotIndex, std::uint32_t number = 0);
FlowKey flowOf(ServiceId, std::uint32_t number);

} // namespace anvilwalk::fakes
