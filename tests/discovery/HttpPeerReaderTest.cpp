#include <anvilwalk/discovery.h>
#include <fakes/PlacementHarness.h>
#include <fakes/ScriptedHttpServer.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
namespace asio = boost::asio;

namespace {

using ReadResult = Result<std::optional<ViewSnapshot>>;

const KnownVersions known { .targets = StoreVersion(4), .config = ConfigVersion(2) };

// Runs one read to completion.
ReadResult complete(asio::io_context& context, HttpPeerReader& reader, const Ipv4Endpoint& peer)
{
    std::optional<ReadResult> outcome;
    asio::co_spawn(context, reader.read(peer, known), [&](const std::exception_ptr& thrown, ReadResult result) {
        REQUIRE_FALSE(thrown);
        outcome = std::move(result);
    });
    context.restart();
    context.run();
    REQUIRE(outcome);
    return *outcome;
}

ReadResult readFrom(const std::string& response, std::vector<std::string>* requests = nullptr)
{
    ScriptedHttpServer server({ response });
    asio::io_context context;
    HttpPeerReader reader(HttpPeerReaderOptions {}, context);
    ReadResult result = complete(context, reader, server.endpoint());
    if (requests != nullptr)
        *requests = server.requests();
    return result;
}

std::string httpResponse(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("HttpPeerReader sends the known versions and decodes the peer's view")
{
    std::vector<std::string> requests;
    const std::string body = encodeView({ .routes = routeTable(3), .targets = {}, .targetsVersion = StoreVersion(9) });
    const ReadResult read = readFrom(httpResponse("200 OK", body), &requests);
    REQUIRE(isOk(read));
    REQUIRE(valueOf(read));
    CHECK(valueOf(read)->targetsVersion == StoreVersion(9));
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].find("GET /v1/view/4/2/0 HTTP/1.1") == 0);
}

TEST_CASE("HttpPeerReader distinguishes an unchanged view, a missing view and an invalid response")
{
    const ReadResult unchanged = readFrom("HTTP/1.1 304 Not Modified\r\n\r\n");
    REQUIRE(isOk(unchanged));
    CHECK_FALSE(valueOf(unchanged));
    CHECK(errorOf(readFrom(httpResponse("503 Service Unavailable", ""))).code == ErrorCode::Unavailable);
    CHECK(errorOf(readFrom(httpResponse("200 OK", "{}"))).code == ErrorCode::InvalidArgument);
    CHECK(errorOf(readFrom("")).code == ErrorCode::Unavailable);
}

TEST_CASE("viewPath contains both versions and parseViewPath rejects other paths")
{
    CHECK(parseViewPath(viewPath(known)) == known);
    for (const char* path : { "/", "/v1/view/", "/v1/view/1", "/v1/view/1/", "/v1/view/1/2", "/v1/view/1/2/",
             "/v1/view/a/2/3", "/v1/view/1/2/3/4", "/v1/view/-1/2/3", "/v1/view/99999999999999999999/1/2" })
        CHECK_FALSE(parseViewPath(path));
}

// Guards against a failed read after each pause: a peer closes connections that are idle.
TEST_CASE("HttpPeerReader reads again over a new connection when the peer has closed the idle one")
{
    const std::string body = encodeView({ .routes = routeTable(3), .targets = {}, .targetsVersion = StoreVersion(9) });
    const std::string answer = httpResponse("200 OK", body);
    ScriptedHttpServer server({ answer, answer });
    asio::io_context context;
    HttpPeerReader reader(HttpPeerReaderOptions {}, context);
    for (int call = 0; call < 2; ++call)
        CHECK(isOk(complete(context, reader, server.endpoint())));
    CHECK(server.requests().size() == 2);
}
