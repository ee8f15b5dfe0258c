#include <anvilwalk/discovery.h>
#include <fakes/FakeClock.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <deque>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

const Error unavailable { .code = ErrorCode::Unavailable, .message = "down" };

// Answers lists with scripted pages; stops the io_context when there are none left.
class ScriptedStore final : public StoreReader {
public:
    explicit ScriptedStore(asio::io_context& context)
        : m_context(context)
    {
    }

    asio::awaitable<Result<StorePage>> list(std::string after, ReadFreshness freshness) override
    {
        calls.push_back((freshness == ReadFreshness::Current ? "current " : "stale ") + after);
        if (pages.empty()) {
            m_context.stop();
            co_return unavailable;
        }
        Result<StorePage> page = pages.front();
        pages.pop_front();
        co_return page;
    }

    asio::awaitable<Result<StoreChanges>> watch(StoreVersion, std::chrono::milliseconds, ReadFreshness) override
    {
        co_return unavailable;
    }

    std::deque<Result<StorePage>> pages;
    std::vector<std::string> calls;

private:
    asio::io_context& m_context;
};

struct RecordingObserver final : EvacuationObserver {
    void onEvacuations(const std::vector<StoreEntry>& entries, const StoreAnswer& answer) override
    {
        names.clear();
        for (const StoreEntry& entry : entries)
            names.push_back(entry.name);
        answers.push_back(answer);
        known = true;
    }
    void onEvacuationFailure(const Error&) override { ++failures; }
    StoreEra highestEra() const override { return highest; }
    bool needsStaleRead() const override { return !known || readAgain; }
    Duration untilCurrentRead() const override { return currentReadDue ? 0s : 1h; }

    std::vector<std::string> names;
    std::vector<StoreAnswer> answers;
    int failures = 0;
    StoreEra highest;
    bool known = false;
    bool readAgain = false;
    bool currentReadDue = false;
};

StorePage page(const std::vector<std::string>& names, std::uint64_t version, bool more = false)
{
    StorePage page { .entries = {}, .more = more, .version = StoreVersion(version) };
    for (const std::string& name : names)
        page.entries.push_back({ .name = name, .version = StoreVersion(1), .content = {}, .error = {} });
    return page;
}

struct Fixture {
    asio::io_context context;
    FakeClock clock;
    ScriptedStore store { context };
    RecordingObserver observer;
    EvacuationFeed feed { { .staleRetryDelay = 1ms, .retryDelay = 1ms, .maxRetryDelay = 2ms }, context, store, observer,
        clock };

    void run()
    {
        asio::co_spawn(context, feed.run(), asio::detached);
        context.run();
    }
};

} // namespace

// Guards against a list that misses entries of later pages, or that is taken for newer than its oldest page.
TEST_CASE("EvacuationFeed reads all pages and reports the oldest version")
{
    Fixture fixture;
    fixture.store.pages = { page({ "lima-a" }, 8, true), page({ "lima-b" }, 9) };
    fixture.observer.readAgain = true;
    fixture.run();
    CHECK(fixture.store.calls == std::vector<std::string> { "stale ", "stale lima-a", "stale " });
    CHECK(fixture.observer.names == std::vector<std::string> { "lima-a", "lima-b" });
    REQUIRE(fixture.observer.answers.size() == 1);
    CHECK(fixture.observer.answers[0].version == StoreVersion(8));
    CHECK_FALSE(fixture.observer.answers[0].currentAt);
}

// Guards against an age that starts when the answer arrives: a change may be accepted while it is on its way.
TEST_CASE("EvacuationFeed reports when a current list was requested")
{
    Fixture fixture;
    fixture.store.pages = { page({}, 8) };
    fixture.observer.currentReadDue = true;
    fixture.run();
    CHECK(fixture.store.calls == std::vector<std::string> { "current ", "current " });
    REQUIRE(fixture.observer.answers.size() == 1);
    CHECK(fixture.observer.answers[0].currentAt == fixture.clock.now());
}

// Guards against a feed that gives up after the store was away.
TEST_CASE("EvacuationFeed retries failed calls")
{
    Fixture fixture;
    fixture.store.pages = { unavailable, unavailable, page({ "lima-c" }, 12) };
    fixture.observer.readAgain = true;
    fixture.run();
    CHECK(fixture.observer.failures >= 2);
    CHECK(fixture.observer.names == std::vector<std::string> { "lima-c" });
}

// Guards against reads without need: each costs the store a call.
TEST_CASE("EvacuationFeed waits until it is woken while no read is needed")
{
    Fixture fixture;
    fixture.observer.known = true;
    asio::co_spawn(fixture.context, fixture.feed.run(), asio::detached);
    fixture.context.poll();
    CHECK(fixture.store.calls.empty());
    fixture.store.pages = { page({}, 3) };
    fixture.observer.known = false;
    fixture.feed.wake();
    fixture.context.poll();
    CHECK(fixture.store.calls.size() == 1);
}

// Guards against a list that holds evacuations from before a restore of the store besides those of the copy, and
// against one from before it that is taken for a confirmation.
TEST_CASE("EvacuationFeed reports only lists of one era and of no lower one than is known")
{
    Fixture fixture;
    const auto inEra
        = [](std::uint32_t era, std::uint64_t revision) { return makeStoreVersion(StoreEra(era), revision).value(); };
    SECTION("pages of two eras")
    {
        fixture.store.pages = { page({ "lima-a" }, inEra(1, 8), true), page({ "lima-b" }, inEra(2, 7)) };
    }
    SECTION("a list of a lower era")
    {
        fixture.observer.highest = StoreEra(2);
        fixture.store.pages = { page({ "lima-a" }, inEra(1, 9)) };
    }
    fixture.run();
    CHECK(fixture.observer.answers.empty());
    // The second failure is the call that ends the test.
    CHECK(fixture.observer.failures == 2);
}
