#include <anvilwalk/discovery.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <variant>

using namespace anvilwalk;
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
    explicit ScriptedReader(asio::io_context& context)
        : m_context(context)
    {
    }

    asio::awaitable<Result<StorePage>> list(std::string after) override
    {
        calls.push_back("list " + after);
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

private:
    asio::io_context& m_context;
};

struct RecordingObserver final : StoreFeedObserver {
    void onSnapshot(const std::vector<StoreEntry>& entries, StoreVersion) override
    {
        snapshots.push_back(entries.size());
    }
    void onChanges(const std::vector<StoreEntry>& entries, StoreVersion) override { changes.push_back(entries.size()); }
    void onReachable() override { ++reachableCount; }
    void onResponse(StoreVersion, ReadFreshness) override { }
    void onFailure(const Error&) override { ++failures; }
    bool expectsChanges() const override { return changesExpected; }

    std::vector<std::size_t> snapshots;
    std::vector<std::size_t> changes;
    int reachableCount = 0;
    int failures = 0;
    bool changesExpected = false;
};

struct Fixture {
    asio::io_context context;
    ScriptedReader reader { context };
    RecordingObserver observer;

    void run()
    {
        StoreFeed feed({ .allowStale = true, .changeDelay = 1ms, .retryDelay = 1ms, .maxRetryDelay = 2ms }, context,
            reader, observer);
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
TEST_CASE("StoreFeed uses short, non-stale watches while changes are expected")
{
    Fixture fixture;
    fixture.reader.pages.push_back(StorePage { .entries = {}, .more = false, .version = StoreVersion(9) });
    fixture.run();
    REQUIRE(fixture.reader.waits.size() == 1);
    CHECK(fixture.reader.waits[0] == StoreFeedOptions {}.watchWait);
    CHECK(fixture.reader.freshnesses[0] == ReadFreshness::MayBeStale);

    Fixture expecting;
    expecting.observer.changesExpected = true;
    expecting.reader.pages.push_back(StorePage { .entries = {}, .more = false, .version = StoreVersion(9) });
    expecting.run();
    REQUIRE(expecting.reader.waits.size() == 1);
    CHECK(expecting.reader.waits[0] == StoreFeedOptions {}.shortWatchWait);
    CHECK(expecting.reader.freshnesses[0] == ReadFreshness::Current);
}
