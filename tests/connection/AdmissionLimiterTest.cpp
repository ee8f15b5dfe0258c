#include <anvilwalk/connection.h>

#include <catch2/catch.hpp>
#include <fakes/FakeClock.h>

using namespace anvilwalk;
using namespace std::chrono_literals;

// Guards against a flood of opening packets exceeding the service's limit.
TEST_CASE("AdmissionLimiter admits at most the rate plus the burst")
{
    fakes::FakeClock clock;
    AdmissionLimiter limiter({ .newFlowsPerSecond = 100, .burst = 10 });
    int admitted = 0;
    for (int i = 0; i < 1000; ++i) {
        if (!limiter.admit(clock.now(), 0))
            ++admitted;
        clock.advance(1ms);
    }
    CHECK(admitted >= 100);
    CHECK(admitted <= 110);
}

TEST_CASE("AdmissionLimiter rejects new flows at the limit of open flows")
{
    fakes::FakeClock clock;
    AdmissionLimiter limiter({ .openFlows = 5 });
    CHECK_FALSE(limiter.admit(clock.now(), 4));
    CHECK(limiter.admit(clock.now(), 5) == DropReason::OpenFlowLimit);
}

TEST_CASE("AdmissionLimiter without limits admits everything")
{
    fakes::FakeClock clock;
    AdmissionLimiter limiter({});
    for (int i = 0; i < 1000; ++i)
        CHECK_FALSE(limiter.admit(clock.now(), 1'000'000));
}
