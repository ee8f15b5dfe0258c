#include <anvilwalk/discovery.h>
#include <fakes/FakeClock.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <variant>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

const Error unavailable { .code = ErrorCode::Unavailable, .message = "rejected" };
const Error gone { .code = ErrorCode::Gone, .message = "history was discarded" };

StoreEntry entry(const std::string& name, std::uint64_t version)
{
    return { .name = name, .version = StoreVersion(version), .content = {}, .error = {} };
}

// Returns the scripted results in order and stops the io_context after the last one.
class ScriptedReader final : public StoreReader {
public:
    ScriptedReader(asio::io_context& context, FakeClock& clock)
        : m_context(context)
        , m_clock(clock)
    {
    }

    asio::awaitable<Result<StorePage>> list(std::string after, ReadFreshness freshness) override
    {
        listFreshnesses.push_back(freshness);
        calls.push_back("list " + after);
        passTime();
        if (pages.empty()) {
            m_context.stop();
            co_return unavailable;
        }
        Result<StorePage> page = pages.front();
        pages.pop_front();
        co_return page;
    }

    asio::awaitable<Result<StoreChanges>> watch(
        StoreVersion from, std::chrono::milliseconds wait, ReadFreshness freshness) override
    {
        calls.push_back("watch " + std::to_string(from.value()));
        passTime();
        waits.push_back(wait);
        freshnesses.push_back(freshness);
        if (changes.empty()) {
            m_context.stop();
            co_return unavailable;
        }
        Result<StoreChanges> change = changes.front();
        changes.pop_front();
        co_return change;
    }

    std::deque<Result<StorePage>> pages;
    std::deque<Result<StoreChanges>> changes;
    std::vector<std::string> calls;
    std::vector<std::chrono::milliseconds> waits;
    std::vector<ReadFreshness> freshnesses;
    std::vector<ReadFreshness> listFreshnesses;
    // Time that each call takes; none for the calls after the last one.
    std::deque<Duration> durations;

private:
    void passTime()
    {
        if (durations.empty())
            return;
        m_clock.advance(durations.front());
        durations.pop_front();
    }

    asio::io_context& m_context;
    FakeClock& m_clock;
};

struct RecordingObserver final : StoreFeedObserver {
    void onSnapshot(const std::vector<StoreEntry>& entries, StoreVersion version) override
    {
        snapshots.push_back(entries.size());
        snapshotVersions.push_back(version);
    }
    void onChanges(const std::vector<StoreEntry>& entries, StoreVersion) override { changes.push_back(entries.size()); }
    void onReachable() override { ++reachableCount; }
    void onResponse(const StoreAnswer& answer) override { answers.push_back(answer); }
    void onFailure(const Error&) override { ++failures; }
    void onRestored(StoreEra era) override { restored.push_back(era); }
    StoreEra highestEra() const override { return highest; }
    std::optional<Duration> untilCurrentRead() const override { return currentReadIn; }
    Duration untilNeeded() const override
    {
        // Each pause ends when it has been waited for.
        return pauses-- > 0 ? pause : Duration::zero();
    }
    StoreVersion passedOnVersion() const override { return passedOn; }
    std::chrono::milliseconds maxWatchWait() const override { return longestWait; }
    bool hasRelays() const override { return relays; }

    std::vector<std::size_t> snapshots;
    std::vector<StoreVersion> snapshotVersions;
    std::vector<StoreEra> restored;
    StoreEra highest;
    std::vector<std::size_t> changes;
    std::vector<StoreAnswer> answers;
    int reachableCount = 0;
    int failures = 0;
    std::optional<Duration> currentReadIn;
    mutable int pauses = 0;
    Duration pause { 40ms };
    StoreVersion passedOn;
    bool relays = false;
    std::chrono::milliseconds longestWait { std::chrono::hours(1) };
};

struct Fixture {
    asio::io_context context;
    FakeClock clock;
    ScriptedReader reader { context, clock };
    RecordingObserver observer;
    bool allowStale = false;

    void run()
    {
        StoreFeed feed(
            { .allowStale = allowStale, .changeDelay = 1ms, .maxPause = 20ms, .retryDelay = 1ms, .maxRetryDelay = 2ms },
            context, reader, observer, clock);
        asio::co_spawn(context, feed.run(), asio::detached);
        context.run_for(5s);
    }
};

} // namespace

TEST_CASE("StoreFeed lists all pages and watches from the first page's version")
{
    Fixture fixture;
    fixture.reader.pages.push_back(
        StorePage { .entries = { entry("a", 1), entry("b", 2) }, .more = true, .version = StoreVersion(5) });
    fixture.reader.pages.push_back(
        StorePage { .entries = { entry("c", 6) }, .more = false, .version = StoreVersion(7) });
    fixture.reader.changes.push_back(StoreChanges { .entries = { entry("c", 6) }, .version = StoreVersion(8) });
    fixture.run();
    CHECK(fixture.reader.calls == std::vector<std::string> { "list ", "list b", "watch 5", "watch 8" });
    CHECK(fixture.observer.snapshots == std::vector<std::size_t> { 3 });
    CHECK(fixture.observer.changes == std::vector<std::size_t> { 1 });
}

// Guards against a view that stays outdated after the store has discarded its history.
TEST_CASE("StoreFeed lists again when the store has discarded the history")
{
    Fixture fixture;
    fixture.reader.pages.push_back(StorePage { .entries = {}, .more = false, .version = StoreVersion(5) });
    fixture.reader.pages.push_back(
        StorePage { .entries = { entry("a", 9) }, .more = false, .version = StoreVersion(20) });
    fixture.reader.changes.push_back(gone);
    fixture.run();
    CHECK(fixture.reader.calls == std::vector<std::string> { "list ", "watch 5", "list ", "watch 20" });
    CHECK(fixture.observer.reachableCount == 2);
}

// Guards against a missed change: after a failed watch that did not report it, a new watch from the old version may
// never deliver it once the store has discarded its history.
TEST_CASE("StoreFeed lists again after a failed watch")
{
    Fixture fixture;
    fixture.reader.pages.push_back(unavailable);
    fixture.reader.pages.push_back(StorePage { .entries = {}, .more = false, .version = StoreVersion(5) });
    fixture.reader.pages.push_back(StorePage { .entries = {}, .more = false, .version = StoreVersion(6) });
    fixture.reader.changes.push_back(unavailable);
    fixture.run();
    CHECK(fixture.reader.calls == std::vector<std::string> { "list ", "list ", "watch 5", "list ", "watch 6" });
    CHECK(fixture.observer.reachableCount == 2);
}

// Guards against a mass restart in which no balancer ever completes its list, because the store rejects some of the
// many pages that all of them request at the same time.
TEST_CASE("StoreFeed resumes a list at the rejected page")
{
    Fixture fixture;
    fixture.reader.pages.push_back(
        StorePage { .entries = { entry("a", 1), entry("b", 2) }, .more = true, .version = StoreVersion(5) });
    fixture.reader.pages.push_back(unavailable);
    fixture.reader.pages.push_back(unavailable);
    fixture.reader.pages.push_back(
        StorePage { .entries = { entry("c", 6) }, .more = false, .version = StoreVersion(9) });
    fixture.run();
    CHECK(fixture.reader.calls == std::vector<std::string> { "list ", "list b", "list b", "list b", "watch 5" });
    CHECK(fixture.observer.snapshots == std::vector<std::size_t> { 3 });
}

// Guards against a list that never ends because a page has no name to continue from.
TEST_CASE("StoreFeed ends a list at a page that does not advance the cursor")
{
    Fixture fixture;
    const StorePage page { .entries = { entry("", 0) }, .more = true, .version = StoreVersion(5) };
    fixture.reader.pages.assign(3, page);
    fixture.run();
    CHECK(fixture.reader.calls == std::vector<std::string> { "list ", "watch 5" });
}

// Guards against a stale response that moves the watch back to an older version.
TEST_CASE("StoreFeed never watches from an older version than it has seen")
{
    Fixture fixture;
    fixture.reader.pages.push_back(StorePage { .entries = {}, .more = false, .version = StoreVersion(9) });
    fixture.reader.changes.push_back(StoreChanges { .entries = {}, .version = StoreVersion(4) });
    fixture.run();
    CHECK(fixture.reader.calls == std::vector<std::string> { "list ", "watch 9", "watch 9" });
}

// Guards against a target that expires, or is kept, because of a stale or late response.
TEST_CASE("StoreFeed reads current data when a decision needs it, and ends a stale watch by then")
{
    const auto secondWatch = [](std::optional<Duration> currentReadIn) {
        Fixture fixture;
        fixture.allowStale = true;
        fixture.observer.currentReadIn = currentReadIn;
        fixture.reader.pages.push_back(StorePage { .entries = {}, .more = false, .version = StoreVersion(9) });
        fixture.reader.changes.push_back(StoreChanges { .entries = {}, .version = StoreVersion(9) });
        fixture.run();
        REQUIRE(fixture.reader.waits.size() == 2);
        return std::pair(fixture.reader.waits[1], fixture.reader.freshnesses[1]);
    };
    CHECK(secondWatch(std::nullopt) == std::pair(StoreFeedOptions {}.watchWait, ReadFreshness::MayBeStale));
    CHECK(secondWatch(1200ms) == std::pair(std::chrono::milliseconds(1200), ReadFreshness::MayBeStale));
    CHECK(secondWatch(Duration::zero()) == std::pair(std::chrono::milliseconds(1), ReadFreshness::Current));
}

// Guards against the use of a target that has left: a restarted balancer must not act on a list that is seconds old.
TEST_CASE("StoreFeed delivers a stale list only together with the changes since")
{
    Fixture fixture;
    fixture.allowStale = true;
    fixture.reader.pages.push_back(
        StorePage { .entries = { entry("a", 1), entry("b", 2) }, .more = true, .version = StoreVersion(9) });
    // The replica that answered the second page is further behind than that of the first.
    fixture.reader.pages.push_back(
        StorePage { .entries = { entry("c", 3) }, .more = false, .version = StoreVersion(6) });
    fixture.reader.changes.push_back(unavailable);
    fixture.reader.changes.push_back(StoreChanges { .entries = { entry("b", 2) }, .version = StoreVersion(12) });
    fixture.run();
    CHECK(fixture.reader.calls == std::vector<std::string> { "list ", "list b", "watch 6", "watch 6", "watch 12" });
    CHECK(fixture.reader.listFreshnesses == std::vector<ReadFreshness>(2, ReadFreshness::MayBeStale));
    CHECK(fixture.reader.freshnesses
        == std::vector<ReadFreshness> { ReadFreshness::Current, ReadFreshness::Current, ReadFreshness::MayBeStale });
    CHECK(fixture.reader.waits[0] == 1ms);
    CHECK(fixture.observer.snapshots == std::vector<std::size_t> { 3 });
    CHECK(fixture.observer.changes == std::vector<std::size_t> { 1 });
}

// Guards against a balancer that never starts: a stale list may be older than the history that the store keeps.
TEST_CASE("StoreFeed reads a current list when the store has discarded the changes since a stale one")
{
    Fixture fixture;
    fixture.allowStale = true;
    fixture.reader.pages.push_back(StorePage { .entries = {}, .more = false, .version = StoreVersion(5) });
    fixture.reader.pages.push_back(
        StorePage { .entries = { entry("a", 9) }, .more = false, .version = StoreVersion(20) });
    fixture.reader.changes.push_back(gone);
    fixture.run();
    CHECK(fixture.reader.calls == std::vector<std::string> { "list ", "watch 5", "list ", "watch 20" });
    CHECK(fixture.reader.listFreshnesses
        == std::vector<ReadFreshness> { ReadFreshness::MayBeStale, ReadFreshness::Current });
    CHECK(fixture.observer.snapshots == std::vector<std::size_t> { 1 });
}

// Guards against a read that comes too late for the age limit of targets because of the pause after changes.
TEST_CASE("StoreFeed pauses after changes no longer than until a decision needs a current read")
{
    Fixture fixture;
    fixture.observer.currentReadIn = 1ms;
    fixture.reader.pages.push_back(StorePage { .entries = {}, .more = false, .version = StoreVersion(5) });
    fixture.reader.changes.push_back(StoreChanges { .entries = { entry("a", 6) }, .version = StoreVersion(6) });
    StoreFeed feed({ .allowStale = true, .changeDelay = std::chrono::hours(1) }, fixture.context, fixture.reader,
        fixture.observer, fixture.clock);
    asio::co_spawn(fixture.context, feed.run(), asio::detached);
    fixture.context.run_for(5s);
    CHECK(fixture.reader.calls == std::vector<std::string> { "list ", "watch 5", "watch 6" });
}

// Guards against data that is taken for newer than it is: a response may have been on its way for seconds.
TEST_CASE("StoreFeed tells for which time a response is current")
{
    Fixture fixture;
    const MonotonicTime start = fixture.clock.now();
    fixture.reader.durations = { 100ms, 100ms, 5020ms, 3s };
    fixture.reader.pages.push_back(
        StorePage { .entries = { entry("a", 1) }, .more = true, .version = StoreVersion(5) });
    fixture.reader.pages.push_back(StorePage { .entries = {}, .more = false, .version = StoreVersion(5) });
    fixture.reader.changes.push_back(StoreChanges { .entries = {}, .version = StoreVersion(5) });
    fixture.reader.changes.push_back(StoreChanges { .entries = { entry("a", 6) }, .version = StoreVersion(6) });
    fixture.run();
    REQUIRE(fixture.observer.answers.size() == 3);
    // Both pages of the list were read after its start.
    CHECK(fixture.observer.answers[0].currentAt == start);
    // The store held the response back for the wait of the watch.
    CHECK(fixture.observer.answers[1].currentAt == start + 200ms + StoreFeedOptions {}.watchWait);
    CHECK(fixture.observer.answers[2].currentAt == start + 200ms + 5020ms);
}

TEST_CASE("StoreFeed claims no time for which a stale response is current")
{
    Fixture fixture;
    fixture.allowStale = true;
    const MonotonicTime start = fixture.clock.now();
    fixture.reader.durations = { 100ms, 50ms, 2s };
    fixture.reader.pages.push_back(StorePage { .entries = {}, .more = false, .version = StoreVersion(5) });
    fixture.reader.changes.push_back(StoreChanges { .entries = { entry("a", 6) }, .version = StoreVersion(6) });
    fixture.reader.changes.push_back(StoreChanges { .entries = {}, .version = StoreVersion(9) });
    fixture.run();
    REQUIRE(fixture.observer.answers.size() == 3);
    CHECK_FALSE(fixture.observer.answers[0].currentAt);
    // The read that completes a stale list is current.
    CHECK(fixture.observer.answers[1].currentAt == start + 100ms);
    CHECK_FALSE(fixture.observer.answers[2].currentAt);
}

// Guards against calls to the store by balancers that relays keep up to date.
TEST_CASE("StoreFeed reads nothing while other balancers pass the changes on, and then continues from their version")
{
    Fixture fixture;
    fixture.observer.pauses = 3;
    fixture.observer.passedOn = StoreVersion(40);
    fixture.run();
    CHECK(fixture.reader.calls == std::vector<std::string> { "watch 40" });
}

// Guards against a missed change: the store may have discarded its history during the pause.
TEST_CASE("StoreFeed lists after a long pause if it does not know what other balancers have passed on")
{
    Fixture fixture;
    const bool isLong = GENERATE(true, false);
    fixture.observer.pause = isLong ? 40ms : 1ms;
    fixture.reader.pages.push_back(StorePage { .entries = {}, .more = false, .version = StoreVersion(5) });
    fixture.reader.pages.push_back(StorePage { .entries = {}, .more = false, .version = StoreVersion(50) });
    fixture.reader.changes.push_back(StoreChanges { .entries = {}, .version = StoreVersion(6) });
    // One pause, after the list and the watch.
    struct PausingReader final : StoreReader {
        explicit PausingReader(Fixture& owner)
            : fixture(owner)
        {
        }
        asio::awaitable<Result<StorePage>> list(std::string after, ReadFreshness freshness) override
        {
            return fixture.reader.list(std::move(after), freshness);
        }
        asio::awaitable<Result<StoreChanges>> watch(
            StoreVersion from, std::chrono::milliseconds wait, ReadFreshness freshness) override
        {
            if (from == StoreVersion(5))
                fixture.observer.pauses = 1;
            return fixture.reader.watch(from, wait, freshness);
        }
        Fixture& fixture;
    } reader(fixture);
    StoreFeed feed({ .changeDelay = 1ms, .maxPause = 20ms, .retryDelay = 1ms, .maxRetryDelay = 2ms }, fixture.context,
        reader, fixture.observer, fixture.clock);
    asio::co_spawn(fixture.context, feed.run(), asio::detached);
    fixture.context.run_for(5s);
    const std::vector<std::string> listed { "list ", "watch 5", "list ", "watch 50" };
    const std::vector<std::string> continued { "list ", "watch 5", "watch 6" };
    CHECK(fixture.reader.calls == (isLong ? listed : continued));
}

// Guards against followers that believe a view whose relay has lost its connection to the store unnoticed.
TEST_CASE("StoreFeed limits its watches while other balancers rely on them")
{
    Fixture fixture;
    fixture.observer.longestWait = 700ms;
    fixture.reader.pages.push_back(StorePage { .entries = {}, .more = false, .version = StoreVersion(9) });
    fixture.run();
    REQUIRE(fixture.reader.waits.size() == 1);
    CHECK(fixture.reader.waits[0] == 700ms);
}

// Guards against an outage in which every balancer calls the store all the time, although a few would do.
TEST_CASE("StoreFeed repeats failed calls less often while other balancers are expected to pass changes on")
{
    const auto callsDuringOutage = [](bool relays) {
        Fixture fixture;
        fixture.observer.relays = relays;
        fixture.reader.pages.assign(1000, unavailable);
        StoreFeed feed(
            { .retryDelay = 1ms, .maxRetryDelay = 10ms, .relayedRetryDelay = 20ms, .maxRelayedRetryDelay = 100ms },
            fixture.context, fixture.reader, fixture.observer, fixture.clock);
        asio::co_spawn(fixture.context, feed.run(), asio::detached);
        fixture.context.run_for(500ms);
        return fixture.reader.calls.size();
    };
    // Delays of 10 to 20, 20 to 40, 40 to 80 and then 50 to 100 ms.
    CHECK(callsDuringOutage(true) <= 13);
    CHECK(callsDuringOutage(false) >= 40);
}

namespace {

StoreVersion inEra(std::uint32_t era, std::uint64_t revision) { return makeStoreVersion(StoreEra(era), revision); }

std::string watchCall(StoreVersion from) { return "watch " + std::to_string(from.value()); }

StorePage pageAt(StoreVersion version, std::vector<StoreEntry> entries = {}, bool more = false)
{
    return { .entries = std::move(entries), .more = more, .version = version };
}

} // namespace

// Guards against changes that are missed after a restore: the store assigns again the revisions up to that of the
// watch.
TEST_CASE("StoreFeed lists again instead of applying the changes of a higher era")
{
    Fixture fixture;
    fixture.reader.pages = { pageAt(inEra(1, 50), { entry("a", 1), entry("b", 2) }), pageAt(inEra(2, 41)) };
    fixture.reader.changes = { StoreChanges { .entries = { entry("c", 51) }, .version = inEra(2, 51) },
        StoreChanges { .entries = { entry("d", 52) }, .version = inEra(2, 52) } };
    fixture.run();
    CHECK(fixture.reader.calls
        == std::vector<std::string> {
            "list ", watchCall(inEra(1, 50)), "list ", watchCall(inEra(2, 41)), watchCall(inEra(2, 52)) });
    CHECK(fixture.observer.snapshots == std::vector<std::size_t> { 2, 0 });
    CHECK(fixture.observer.snapshotVersions == std::vector<StoreVersion> { inEra(1, 50), inEra(2, 41) });
    CHECK(fixture.observer.changes == std::vector<std::size_t> { 1 });
    CHECK(fixture.observer.restored == std::vector<StoreEra> { StoreEra(2) });
    // The answer that was not applied confirms nothing.
    REQUIRE(fixture.observer.answers.size() == 3);
    CHECK(fixture.observer.answers[1].version == inEra(2, 41));
    // Only the call that ends the test failed.
    CHECK(fixture.observer.failures == 1);
}

// Guards against a list that holds entries from before a restore besides those of the copy.
TEST_CASE("StoreFeed starts a list again when a page is of a higher era")
{
    Fixture fixture;
    fixture.reader.pages = { pageAt(inEra(1, 50), { entry("a", 1), entry("b", 2) }, true),
        pageAt(inEra(2, 41), { entry("c", 3) }), pageAt(inEra(2, 42), { entry("a", 1) }) };
    fixture.run();
    CHECK(fixture.reader.calls == std::vector<std::string> { "list ", "list b", "list ", watchCall(inEra(2, 42)) });
    CHECK(fixture.observer.snapshots == std::vector<std::size_t> { 1 });
    CHECK(fixture.observer.snapshotVersions == std::vector<StoreVersion> { inEra(2, 42) });
}

// Guards against a stale list from before a restore to which the changes of the restored store are added.
TEST_CASE("StoreFeed discards a stale list when the changes since are of a higher era")
{
    Fixture fixture;
    fixture.allowStale = true;
    fixture.reader.pages = { pageAt(inEra(1, 50), { entry("a", 1), entry("b", 2) }), pageAt(inEra(2, 41)) };
    fixture.reader.changes = { StoreChanges { .entries = { entry("c", 51) }, .version = inEra(2, 51) },
        StoreChanges { .entries = {}, .version = inEra(2, 51) } };
    fixture.run();
    CHECK(fixture.reader.calls
        == std::vector<std::string> {
            "list ", watchCall(inEra(1, 50)), "list ", watchCall(inEra(2, 41)), watchCall(inEra(2, 51)) });
    CHECK(fixture.observer.snapshots == std::vector<std::size_t> { 0 });
    CHECK(fixture.observer.changes.empty());
}

// Guards against answers of both eras that cross: a delayed one would bring back what the restored store lacks.
TEST_CASE("StoreFeed takes an answer of a lower era for a failed call")
{
    Fixture fixture;
    SECTION("to a watch")
    {
        fixture.reader.pages = { pageAt(inEra(2, 41)), pageAt(inEra(2, 43)) };
        fixture.reader.changes = { StoreChanges { .entries = { entry("c", 51) }, .version = inEra(1, 60) } };
        fixture.run();
        CHECK(fixture.observer.snapshotVersions == std::vector<StoreVersion> { inEra(2, 41), inEra(2, 43) });
        CHECK(fixture.observer.changes.empty());
    }
    SECTION("to a list, while only other balancers know the higher era")
    {
        fixture.observer.highest = StoreEra(2);
        fixture.reader.pages = { pageAt(inEra(1, 60), { entry("a", 1) }), pageAt(inEra(2, 41)) };
        fixture.run();
        CHECK(fixture.observer.snapshotVersions == std::vector<StoreVersion> { inEra(2, 41) });
    }
    SECTION("to a list, after a page of the higher era")
    {
        fixture.reader.pages = { pageAt(inEra(2, 41), { entry("a", 1) }, true), pageAt(inEra(1, 60), { entry("b", 1) }),
            pageAt(inEra(2, 42), { entry("c", 1) }) };
        fixture.run();
        CHECK(
            fixture.reader.calls == std::vector<std::string> { "list ", "list a", "list a", watchCall(inEra(2, 41)) });
        CHECK(fixture.observer.snapshots == std::vector<std::size_t> { 2 });
    }
    CHECK(fixture.observer.failures == 2);
}

// Guards against a balancer that continues from what relays have passed on and mixes it with an earlier list.
TEST_CASE("StoreFeed lists again when other balancers have passed on a lower era than the store's")
{
    Fixture fixture;
    fixture.observer.pauses = 1;
    fixture.observer.passedOn = inEra(1, 70);
    fixture.reader.pages = { pageAt(inEra(2, 41)) };
    fixture.reader.changes = { StoreChanges { .entries = { entry("c", 51) }, .version = inEra(2, 71) } };
    fixture.run();
    CHECK(
        fixture.reader.calls == std::vector<std::string> { watchCall(inEra(1, 70)), "list ", watchCall(inEra(2, 41)) });
    CHECK(fixture.observer.changes.empty());
}
