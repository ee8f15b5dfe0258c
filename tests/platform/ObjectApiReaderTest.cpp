#include <fakes/ScriptedHttpServer.h>
#include <platform/ObjectApiReader.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <optional>

using namespace anvilwalk;
using namespace anvilwalk::platform;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

// The header line for the era is left out if it is empty.
std::string httpResponse(const std::string& status, const std::string& body, const std::string& eraLine = "")
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n" + eraLine
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Runs one call to completion.
template <class Value> Result<Value> complete(asio::io_context& context, asio::awaitable<Result<Value>> call)
{
    std::optional<Result<Value>> outcome;
    asio::co_spawn(context, std::move(call), [&](const std::exception_ptr& thrown, Result<Value> result) {
        REQUIRE_FALSE(thrown);
        outcome = std::move(result);
    });
    context.restart();
    context.run();
    REQUIRE(outcome);
    return *outcome;
}

struct Fixture {
    explicit Fixture(std::vector<std::string> responses)
        : server(std::move(responses))
        , reader(
              { .store = server.endpoint(), .kind = targetsKind, .decode = &decodeTargetObject, .callTimeout = 300ms },
              context, era)
    {
    }

    fakes::ScriptedHttpServer server;
    asio::io_context context;
    StoreEraTracker era;
    ObjectApiReader reader;
};

const std::string targetText = R"({"meta":{"name":"i-1a","revision":5},"spec":{"service":"s","address":"10.0.0.1:80",
    "zone":"a","version":"v","slots":3,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":7}})";

} // namespace

TEST_CASE("ObjectApiReader reads a page and requests the next")
{
    Fixture fixture({ httpResponse("200 OK", R"({"items":[)" + targetText + R"(],"more":true,"as_of":8})") });
    const auto page = complete(fixture.context, fixture.reader.list("", ReadFreshness::Current));
    REQUIRE(isOk(page));
    CHECK(valueOf(page).entries.size() == 1);
    CHECK(valueOf(page).more);
    CHECK(valueOf(page).version == StoreVersion(8));
    CHECK(fixture.server.requests().at(0).find("GET /api/objects/servers HTTP/1.1") == 0);

    Fixture next({ httpResponse("200 OK", R"({"items":[],"more":false,"as_of":9})") });
    CHECK(isOk(complete(next.context, next.reader.list("i-1a", ReadFreshness::MayBeStale))));
    CHECK(next.server.requests().at(0).find("GET /api/objects/servers?stale_ok=1&after=i-1a HTTP/1.1") == 0);

    Fixture odd({ httpResponse("200 OK", R"({"items":[],"more":false,"as_of":9})") });
    CHECK(isOk(complete(odd.context, odd.reader.list("x\xff\"", ReadFreshness::Current))));
    CHECK(odd.server.requests().at(0).find("GET /api/objects/servers?after=x%FF%22 HTTP/1.1") == 0);
}

TEST_CASE("ObjectApiReader reads changes, including deletions")
{
    Fixture fixture(
        { httpResponse("200 OK", R"({"events":[{"deleted":true,"object":)" + targetText + R"(}],"as_of":11})") });
    const auto changes
        = complete(fixture.context, fixture.reader.watch(StoreVersion(8), 100ms, ReadFreshness::Current));
    REQUIRE(isOk(changes));
    REQUIRE(valueOf(changes).entries.size() == 1);
    CHECK(valueOf(changes).entries[0].removed);
    CHECK(valueOf(changes).version == StoreVersion(11));
    CHECK(fixture.server.requests().at(0).find("GET /api/objects/servers?watch=8&wait_ms=100 ") == 0);
}

TEST_CASE("ObjectApiReader distinguishes a discarded history from other error responses")
{
    Fixture gone({ httpResponse("410 Gone", "{}") });
    CHECK(errorOf(complete(gone.context, gone.reader.watch(StoreVersion(8), 1ms, ReadFreshness::Current))).code
        == ErrorCode::Gone);
    for (const char* status : { "429 Too Many Requests", "503 Service Unavailable", "404 Not Found" }) {
        Fixture refused({ httpResponse(status, "{}") });
        CHECK(errorOf(complete(refused.context, refused.reader.list("", ReadFreshness::Current))).code
            == ErrorCode::Unavailable);
    }
}

// Guards against one entry of another writer because of which a balancer takes no answer about targets any more.
TEST_CASE("ObjectApiReader reads the targets beside an entry that cannot be decoded")
{
    for (const std::string& spec : { std::string("{\"service\":\"\xff\"}"), std::string(R"({"service":"\udcff"})"),
             std::string(R"({"slots":1e999})"), std::string(200'000, '[') + std::string(200'000, ']') }) {
        const std::string odd = R"({"meta":{"name":"x-0badbeef","revision":6},"spec":)" + spec + "}";
        Fixture fixture(
            { httpResponse("200 OK", fmt::format(R"({{"items":[{},{}],"more":false,"as_of":8}})", targetText, odd)) });
        const auto page = complete(fixture.context, fixture.reader.list("", ReadFreshness::Current));
        REQUIRE(isOk(page));
        REQUIRE(valueOf(page).entries.size() == 2);
        CHECK(std::holds_alternative<TargetRecord>(valueOf(page).entries[0].content));
        CHECK(std::holds_alternative<std::monostate>(valueOf(page).entries[1].content));
    }
}

// Guards against a view that an invalid response empties or fills only in part.
TEST_CASE("ObjectApiReader returns an error for an invalid response")
{
    for (const char* body : { "", "{", "[]", "{}", R"({"items":3,"more":false,"as_of":1})",
             R"({"items":[],"more":"no","as_of":1})", R"({"items":[],"more":false,"as_of":"x"})" }) {
        Fixture fixture({ httpResponse("200 OK", body) });
        CHECK_FALSE(isOk(complete(fixture.context, fixture.reader.list("", ReadFreshness::Current))));
    }
    Fixture cut({ "" });
    CHECK_FALSE(isOk(complete(cut.context, cut.reader.list("", ReadFreshness::Current))));
}

// Guards against a missed change: the store cuts watches when it discards its history, and a watch that is repeated
// from the old version may never hear of what was discarded.
TEST_CASE("ObjectApiReader reports a watch that is cut and does not repeat it")
{
    const std::string answer = httpResponse("200 OK", R"({"events":[],"as_of":11})");
    Fixture fixture({ answer, answer });
    REQUIRE(isOk(complete(fixture.context, fixture.reader.watch(StoreVersion(8), 100ms, ReadFreshness::Current))));
    // The server has closed the connection of the first call.
    CHECK_FALSE(isOk(complete(fixture.context, fixture.reader.watch(StoreVersion(11), 100ms, ReadFreshness::Current))));
    CHECK(fixture.server.requests().size() == 1);
}

// Guards against a watch that waits forever on a dead connection.
TEST_CASE("ObjectApiReader times out a call without a response")
{
    Fixture fixture({ "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n" });
    fixture.server.holdLast();
    const auto before = std::chrono::steady_clock::now();
    CHECK_FALSE(
        isOk(complete(fixture.context, fixture.reader.watch(StoreVersion(1), 100ms, ReadFreshness::MayBeStale))));
    CHECK(std::chrono::steady_clock::now() - before >= 400ms);
    CHECK(std::chrono::steady_clock::now() - before < 5s);
}

namespace {

const std::string emptyPage = R"({"items":[],"more":false,"as_of":8})";

Result<StorePage> listFrom(Fixture& fixture)
{
    return complete(fixture.context, fixture.reader.list("", ReadFreshness::Current));
}

} // namespace

// Guards against versions that compare wrongly after a restore, when the store assigns the same revisions again.
TEST_CASE("ObjectApiReader puts the store's era into all versions and sends only the revision")
{
    const std::string deletion = R"({"events":[{"deleted":true,"object":)" + targetText + R"(}],"as_of":11})";
    Fixture fixture(
        { httpResponse("200 OK", R"({"items":[)" + targetText + R"(],"more":false,"as_of":8})", "store-era: 3\r\n"),
            httpResponse("200 OK", deletion, "Store-Era: 3\r\n") });
    const auto page = listFrom(fixture);
    REQUIRE(isOk(page));
    CHECK(valueOf(page).version == makeStoreVersion(StoreEra(3), 8));
    CHECK(valueOf(page).entries.at(0).version == makeStoreVersion(StoreEra(3), 5));
    // The scripted server closes each connection, and a watch is not repeated over a new one.
    ObjectApiReader watcher({ .store = fixture.server.endpoint(),
                                .kind = targetsKind,
                                .decode = &decodeTargetObject,
                                .callTimeout = 300ms },
        fixture.context, fixture.era);
    const auto changes = complete(fixture.context, watcher.watch(valueOf(page).version, 100ms, ReadFreshness::Current));
    REQUIRE(isOk(changes));
    CHECK(valueOf(changes).version == makeStoreVersion(StoreEra(3), 11));
    CHECK(valueOf(changes).entries.at(0).version == makeStoreVersion(StoreEra(3), 5));
    CHECK(fixture.server.requests().at(1).find("GET /api/objects/servers?watch=8&wait_ms=100 ") == 0);
}

// Guards against an answer of the store as it was before the restore that is applied after one of the restored store.
TEST_CASE("ObjectApiReader rejects an answer of a lower era than any reader has seen")
{
    StoreEraTracker era;
    CHECK(isOk(era.record("7")));
    const auto outdated = era.record("6");
    REQUIRE_FALSE(isOk(outdated));
    CHECK(errorOf(outdated).code == ErrorCode::Unavailable);
    // Without the header, an answer belongs to the highest era.
    REQUIRE(isOk(era.record(std::nullopt)));
    CHECK(valueOf(era.record(std::nullopt)) == StoreEra(7));

    Fixture fixture({ httpResponse("200 OK", emptyPage, "Store-Era: 1\r\n") });
    CHECK(isOk(fixture.era.record("2")));
    const auto page = listFrom(fixture);
    REQUIRE_FALSE(isOk(page));
    CHECK(errorOf(page).code == ErrorCode::Unavailable);
}

// Guards against a reader that takes the era from the answers of its own kind of object only.
TEST_CASE("ObjectApiReader learns the era from answers that are errors, and without a header keeps it")
{
    Fixture rejected({ httpResponse("410 Gone", "{}", "Store-Era: 4\r\n") });
    CHECK(errorOf(complete(rejected.context, rejected.reader.watch(StoreVersion(8), 1ms, ReadFreshness::Current))).code
        == ErrorCode::Gone);
    CHECK_FALSE(isOk(rejected.era.record("3")));

    Fixture plain({ httpResponse("200 OK", emptyPage) });
    const auto page = listFrom(plain);
    REQUIRE(isOk(page));
    CHECK(valueOf(page).version == StoreVersion(8));
}

// Guards against a wrong era that makes every later answer appear outdated.
TEST_CASE("ObjectApiReader rejects an answer whose era or revision is not valid, and does not remember its era")
{
    for (const char* value : { "", "x", "-1", "1.5", "3 4", "16777216", "99999999999999999999" }) {
        Fixture fixture({ httpResponse("200 OK", emptyPage, "Store-Era: " + std::string(value) + "\r\n") });
        const auto page = listFrom(fixture);
        REQUIRE_FALSE(isOk(page));
        CHECK(errorOf(page).code == ErrorCode::Unavailable);
        CHECK(isOk(fixture.era.record("0")));
    }
    Fixture highest({ httpResponse("200 OK", emptyPage, "Store-Era: 16777215\r\n") });
    CHECK(isOk(listFrom(highest)));

    for (const char* body : { R"({"items":[],"more":false,"as_of":1099511627776})",
             R"({"items":[{"meta":{"name":"i-1a","revision":1099511627776},"spec":{}}],"more":false,"as_of":8})" }) {
        Fixture fixture({ httpResponse("200 OK", body) });
        CHECK_FALSE(isOk(listFrom(fixture)));
    }
}
