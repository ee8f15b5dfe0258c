#pragma once

#include "FakeClock.h"
#include "RouterCluster.h"
#include "TableBuilder.h"

#include <vector>

namespace anvilwalk::fakes {

inline constexpr ServiceId dispatch { 1 };
inline constexpr ServiceId photos { 2 };
// The service address of dispatch with UDP.
inline constexpr ServiceId telemetry { 3 };

struct RouterFixtureOptions {
    std::size_t balancers = 3;
    SlotRouterOptions router {};
    FlowTableOptions flows { .capacity = 4096, .shards = 4 };
    ServiceLimits limits {};
};

// A cluster of routers with two TCP services and a UDP service. Dispatch has the targets 1 to 4, photos 11 and
// 12, telemetry 21 and 22. All slots are stable.
struct RouterFixture {
    explicit RouterFixture(const RouterFixtureOptions& = {});

    FakeClock clock;
    TableBuilder table;
    RouterCluster cluster;

    // Puts the builder's next version in force on all balancers.
    void publishTable();
    // The same on some balancers, so that versions differ.
    void publishTableTo(const std::vector<std::size_t>& balancers);
    // Announces a change of one slot and starts moving it, on all balancers, 8 s apart from what was before.
    void moveSlot(ServiceId, SlotIndex, TargetId);

    RouteResult open(std::size_t balancer, const FlowKey&);
    RouteResult data(std::size_t balancer, const FlowKey&);
    RouteResult close(std::size_t balancer, const FlowKey&);
    RouteResult datagram(std::size_t balancer, const FlowKey&);
};

// A flow of the service that falls into the slot; each number gives another one.
FlowKey flowInSlot(ServiceId, SlotIndex, std::uint32_t number = 0);
FlowKey flowOf(ServiceId, std::uint32_t number);

} // namespace anvilwalk::fakes
