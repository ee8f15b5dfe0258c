#include <anvilwalk/process.h>
#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace std::chrono_literals;

namespace {

ControlPlaneOptions optionsWithoutSeeds()
{
    ControlPlaneOptions options;
    options.self = BalancerId("a");
    options.incarnation = Incarnation(1);
    return options;
}

// A balancer without seeds that has heard of no other.
struct LoneBalancer {
    ControlPlaneOptions options = optionsWithoutSeeds();
    Membership membership { options };
    JoinProgress join { options };
    MonotonicTime now { 1000s };

    bool mayRouteAfter(Duration step)
    {
        now += step;
        std::vector<ControlAction> actions;
        join.tick(membership, { .table = TableVersion(5), .config = ConfigVersion(1), .order = {} }, now, actions);
        return join.mayRoute();
    }
};

} // namespace

// Guards against a joining balancer that reads the table before the VM list, assumes that it is the only balancer and
// routes packets of moving slots without its peers.
TEST_CASE("JoinProgress does not serve alone before the VM list is known")
{
    LoneBalancer balancer;
    CHECK_FALSE(balancer.mayRouteAfter(0s));
    CHECK_FALSE(balancer.mayRouteAfter(100ms));
    balancer.membership.setListedEndpoints({ { { 0x7f000002 }, 6002 } });
    CHECK_FALSE(balancer.mayRouteAfter(100ms));
}

TEST_CASE("JoinProgress serves alone at once when the VM list names no other balancer")
{
    LoneBalancer balancer;
    CHECK_FALSE(balancer.mayRouteAfter(0s));
    balancer.membership.setListedEndpoints({});
    CHECK(balancer.mayRouteAfter(1ms));
}

// Guards against a balancer that never serves because the object API is down from its start.
TEST_CASE("JoinProgress serves alone when the VM list stays unknown")
{
    LoneBalancer balancer;
    CHECK_FALSE(balancer.mayRouteAfter(0s));
    CHECK(balancer.mayRouteAfter(balancer.options.serveAloneAfter));
}
