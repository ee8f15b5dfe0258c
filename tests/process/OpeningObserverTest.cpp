#include <anvilwalk/process.h>

#include <catch2/catch.hpp>
#include <fakes/FakeClock.h>

using namespace anvilwalk;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t flow = 12345;
const TargetId target(7);

} // namespace

TEST_CASE("A repeated opening packet without a later packet of the flow counts against the target")
{
    fakes::FakeClock clock;
    OpeningObserver observer;
    observer.observe(flow, PacketKind::Opening, target, clock.now());
    CHECK(observer.take().empty());
    clock.advance(1s);
    observer.observe(flow, PacketKind::Opening, target, clock.now());
    const auto observations = observer.take();
    REQUIRE(observations.size() == 1);
    CHECK(observations[0].target == target);
    CHECK(observations[0].repeatedOpenings == 1);
    CHECK(observations[0].progressedFlows == 0);
    CHECK(observer.take().empty());
}

TEST_CASE("A flow with later packets counts once for the target, and a new opening after it is not a repetition")
{
    fakes::FakeClock clock;
    OpeningObserver observer;
    observer.observe(flow, PacketKind::Opening, target, clock.now());
    clock.advance(1s);
    observer.observe(flow, PacketKind::Data, target, clock.now());
    observer.observe(flow, PacketKind::Data, target, clock.now());
    observer.observe(flow, PacketKind::Opening, target, clock.now());
    const auto observations = observer.take();
    REQUIRE(observations.size() == 1);
    CHECK(observations[0].progressedFlows == 1);
    CHECK(observations[0].repeatedOpenings == 0);
}

// Guards against a healthy target that is doubted because the network duplicates packets or clients abort.
TEST_CASE("Packets duplicated by the network and closing packets are not counted")
{
    fakes::FakeClock clock;
    OpeningObserver observer;
    observer.observe(flow, PacketKind::Opening, target, clock.now());
    clock.advance(20ms);
    observer.observe(flow, PacketKind::Opening, target, clock.now());
    observer.observe(flow, PacketKind::Closing, target, clock.now());
    observer.observe(flow, PacketKind::Data, target, clock.now());
    CHECK(observer.take().empty());
}

TEST_CASE("A repeated opening packet that is forwarded to another target does not count against it")
{
    fakes::FakeClock clock;
    OpeningObserver observer;
    observer.observe(flow, PacketKind::Opening, target, clock.now());
    clock.advance(1s);
    observer.observe(flow, PacketKind::Opening, TargetId(8), clock.now());
    CHECK(observer.take().empty());
}
