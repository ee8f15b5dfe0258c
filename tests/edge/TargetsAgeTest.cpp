#include <anvilwalk-edge/RoutingView.h>
#include <fakes/PlacementHarness.h>
#include <fakes/RecordedLines.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <pcg_random.hpp>
#include <random>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::uint64_t targetCount = 14;
constexpr Duration drainBound = 3s;
constexpr Duration step = 10ms;
constexpr Duration playedTime = 60s;

// How far behind the answers to stale reads are.
enum class Replica : std::uint8_t {
    Current,
    Behind,
    // Each call is answered by another replica, so answers also go back in time.
    Jumping,
    StandingStill,
};

// A store whose targets drain one after the other, in simulated time. Stale reads are answered by a replica.
class ReplicatedStore final : public StoreReader {
public:
    ReplicatedStore(asio::io_context& context, FakeClock& clock, Replica replica, std::uint32_t seed)
        : m_context(context)
        , m_clock(clock)
        , m_replica(replica)
        , m_random(seed)
        , m_start(clock.now())
    {
        MonotonicTime at = clock.now() + 5s;
        for (std::uint64_t number = 1; number <= targetCount; ++number) {
            at += std::chrono::milliseconds(std::uniform_int_distribution<int>(1, 3500)(m_random));
            drains.push_back({ .committedAt = at, .target = number });
        }
    }

    asio::awaitable<Result<StorePage>> list(std::string, ReadFreshness) override
    {
        StorePage page { .entries = {}, .version = versionAt(m_clock.now()) };
        for (std::uint64_t number = 1; number <= targetCount; ++number)
            page.entries.push_back(entryOf(number, number, TargetState::Ready));
        co_return page;
    }

    asio::awaitable<Result<StoreChanges>> watch(
        StoreVersion from, std::chrono::milliseconds wait, ReadFreshness freshness) override
    {
        currentReads += freshness == ReadFreshness::Current ? 1 : 0;
        const MonotonicTime start = m_clock.now();
        const Duration lag = freshness == ReadFreshness::Current ? Duration::zero() : lagOfCall();
        do {
            m_clock.advance(step);
            onStep();
            const bool standsStill = freshness == ReadFreshness::MayBeStale && m_replica == Replica::StandingStill;
            StoreChanges changes = changesSince(from, standsStill ? m_start : m_clock.now() - lag);
            if (!changes.entries.empty() || m_clock.now() - start >= wait)
                co_return changes;
        } while (m_clock.now() - m_start < playedTime);
        m_context.stop();
        co_return Error { .code = ErrorCode::Unavailable, .message = "end of the test" };
    }

    StoreVersion versionAt(MonotonicTime time) const
    {
        return StoreVersion(targetCount
            + static_cast<std::uint64_t>(std::count_if(
                drains.begin(), drains.end(), [&](const Drain& drain) { return drain.committedAt <= time; })));
    }

    struct Drain {
        MonotonicTime committedAt;
        std::uint64_t target = 0;
    };
    // In the order of their commits.
    std::vector<Drain> drains;
    std::function<void()> onStep;
    int currentReads = 0;

private:
    static StoreEntry entryOf(std::uint64_t number, std::uint64_t version, TargetState state)
    {
        const TargetRecord record = targetRecord(number, boardService, "lima-a", state);
        return { .name = record.name, .version = StoreVersion(version), .content = record, .error = {} };
    }
    Duration lagOfCall()
    {
        if (m_replica == Replica::Behind)
            return 4500ms;
        if (m_replica == Replica::Jumping)
            return std::chrono::milliseconds(std::uniform_int_distribution<int>(0, 8000)(m_random));
        return Duration::zero();
    }
    StoreChanges changesSince(StoreVersion from, MonotonicTime asOf) const
    {
        StoreChanges changes { .entries = {}, .version = versionAt(asOf) };
        for (std::size_t index = 0; index < drains.size(); ++index) {
            const std::uint64_t version = targetCount + index + 1;
            if (version > from.value() && drains[index].committedAt <= asOf)
                changes.entries.push_back(entryOf(drains[index].target, version, TargetState::Draining));
        }
        return changes;
    }

    asio::io_context& m_context;
    FakeClock& m_clock;
    Replica m_replica;
    pcg32 m_random;
    MonotonicTime m_start;
};

// A balancer that follows the targets with a feed. The feed of its routes is played: a watch of them ends when it must.
struct Balancer {
    explicit Balancer(Replica replica, std::uint32_t seed)
        : store(context, scene.clock, replica, seed)
    {
        store.onStep = [this] { onStep(); };
    }

    void run()
    {
        confirmRoutes();
        asio::co_spawn(context, feed.run(), asio::detached);
        context.run_for(60s);
    }
    void confirmRoutes()
    {
        const MonotonicTime now = scene.clock.now();
        view.routeObserver().onResponse({ .version = store.versionAt(now), .currentAt = now });
        routesDue = now + std::min(routesWatchWait, view.routeObserver().maxWatchWait());
    }
    void onStep()
    {
        const MonotonicTime now = scene.clock.now();
        if (now >= routesDue)
            confirmRoutes();
        for (const auto& drain : store.drains) {
            const Target* target = scene.targets.find(tokenOfTarget(drain.target));
            if (now - drain.committedAt > drainBound && target->record.state != TargetState::Draining)
                longestDelay = std::max(longestDelay, now - drain.committedAt);
        }
    }

    static constexpr std::chrono::milliseconds routesWatchWait { 5000 };

    asio::io_context context;
    PlacementHarness scene;
    RecordedLines lines;
    EventLog log { EventLogOptions {}, lines, scene.clock };
    MemberList members { MemberListOptions {}, Member {} };
    RoutingView view { RoutingViewOptions {}, scene.targets, scene.router, members, log, scene.clock };
    ReplicatedStore store;
    StoreFeed feed { { .allowStale = true, .changeDelay = 0ms }, context, store, view.targetObserver(), scene.clock };
    MonotonicTime routesDue;
    // Longest time beyond the bound for which a draining target still got new flows; 0 if none did.
    Duration longestDelay { 0 };
};

} // namespace

// Guards against new flows at leaving targets while the answers to stale reads are seconds old.
TEST_CASE("A target that drains is known to do so within the bound, however old stale reads are")
{
    const auto replica = GENERATE(Replica::Current, Replica::Behind, Replica::Jumping, Replica::StandingStill);
    const auto seed = GENERATE(range(1U, 21U));
    Balancer balancer(replica, seed);
    balancer.run();
    INFO("replica " << static_cast<int>(replica) << ", seed " << seed);
    CHECK(balancer.longestDelay == Duration::zero());
    CHECK(balancer.scene.clock.now() - MonotonicTime(1000s) >= playedTime);
}

// Guards against a full-price read for each interval or change: a replica that keeps up needs none.
TEST_CASE("Targets are not read at full price while stale reads keep up with the store")
{
    Balancer balancer(Replica::Current, 1);
    balancer.run();
    // The read that completes the first list.
    CHECK(balancer.store.currentReads == 1);
}
