#include <anvilwalk/process.h>

#include <catch2/catch.hpp>
#include <fakes/FakeClock.h>

using namespace anvilwalk;
using namespace std::chrono_literals;

TEST_CASE("A pause starts exactly one new epoch, whichever call detects it first")
{
    fakes::FakeClock clock;
    PauseDetector detector(500ms);
    const std::uint64_t first = detector.noteRunning(clock.now());
    clock.advance(400ms);
    CHECK(detector.epoch(clock.now()) == first);
    CHECK(detector.noteRunning(clock.now()) == first);
    clock.advance(600ms);
    const bool messageFirst = GENERATE(true, false);
    const std::uint64_t second = messageFirst ? detector.epoch(clock.now()) : detector.noteRunning(clock.now());
    CHECK(second != first);
    CHECK(detector.epoch(clock.now()) == second);
    CHECK(detector.noteRunning(clock.now()) == second);
}

TEST_CASE("Reports with slightly different times from several threads start no new epoch")
{
    fakes::FakeClock clock;
    PauseDetector detector(500ms);
    const MonotonicTime earlier = clock.now();
    clock.advance(10ms);
    const std::uint64_t first = detector.noteRunning(clock.now());
    CHECK(detector.noteRunning(earlier) == first);
    CHECK(detector.epoch(earlier) == first);
}
