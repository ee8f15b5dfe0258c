#include <anvilwalk/discovery.h>
#include <fakes/PlacementHarness.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr Ipv4Endpoint self { .address = { 0x0a000001 }, .port = 8166 };
constexpr Ipv4Endpoint peerA { .address = { 0x0a000002 }, .port = 8166 };
constexpr Ipv4Endpoint peerB { .address = { 0x0a000003 }, .port = 8166 };

using PeerAnswer = Result<std::optional<ViewSnapshot>>;

// Gives each peer's answer; ends the run after the given number of calls.
class ScriptedPeers final : public PeerReader {
public:
    ScriptedPeers(asio::io_context& context, std::size_t maxCalls)
        : m_context(context)
        , m_maxCalls(maxCalls)
    {
    }

    asio::awaitable<PeerAnswer> read(const Ipv4Endpoint& peer, const KnownVersions& known) override
    {
        calls.push_back(peer);
        asked.push_back(known);
        if (calls.size() >= m_maxCalls)
            m_context.stop();
        const auto found = answers.find(peer);
        if (found == answers.end())
            co_return Error { .code = ErrorCode::Unavailable, .message = "down" };
        co_return found->second;
    }

    std::map<Ipv4Endpoint, PeerAnswer> answers;
    std::vector<Ipv4Endpoint> calls;
    std::vector<KnownVersions> asked;

private:
    asio::io_context& m_context;
    std::size_t m_maxCalls;
};

struct RecordingObserver final : PeerViewObserver {
    bool wantsPeerView() const override { return wants; }
    KnownVersions knownVersions() const override { return known; }
    void onPeerView(const ViewSnapshot& view, const Ipv4Endpoint&) override
    {
        ++views;
        known = { .targets = view.targetsVersion, .config = view.routes->version() };
    }
    void onPeerFailure(const Ipv4Endpoint&, const Error&) override { ++failures; }

    bool wants = true;
    KnownVersions known;
    int views = 0;
    int failures = 0;
};

ViewSnapshot view(std::uint64_t version)
{
    return { .routes = routeTable(version), .targets = {}, .targetsVersion = StoreVersion(version) };
}

struct Fixture {
    explicit Fixture(std::size_t maxCalls)
        : peers(context, maxCalls)
    {
    }

    void run(std::chrono::milliseconds longest = 5s)
    {
        PeerViewFeed feed(
            { .self = self, .startDelay = 1ms, .unreadyPause = 1ms, .refreshPause = 2ms }, context,
            [this] { return list; }, peers, observer);
        asio::co_spawn(context, feed.run(), asio::detached);
        context.run_for(longest);
    }

    asio::io_context context;
    std::vector<Ipv4Endpoint> list { self, peerA, peerB };
    ScriptedPeers peers;
    RecordingObserver observer;
};

} // namespace

// Guards against a balancer that starts during an outage of the store and drops every packet until it ends.
TEST_CASE("PeerViewFeed takes the view of a peer that has one")
{
    Fixture fixture(8);
    fixture.peers.answers.emplace(peerB, std::optional<ViewSnapshot>(view(9)));
    fixture.run();
    CHECK(fixture.observer.views >= 1);
    CHECK(fixture.observer.known.targets == StoreVersion(9));
    CHECK(std::count(fixture.peers.calls.begin(), fixture.peers.calls.end(), self) == 0);
}

TEST_CASE("PeerViewFeed asks nobody while the store answers")
{
    Fixture fixture(1);
    fixture.observer.wants = false;
    fixture.run(50ms);
    CHECK(fixture.peers.calls.empty());
}

// Guards against an old peer view that covers what the store has said meanwhile.
TEST_CASE("PeerViewFeed drops a view that arrives after the store has answered")
{
    struct LateObserver final : PeerViewObserver {
        // Wanted when the round starts, not when the answer is there.
        bool wantsPeerView() const override { return asked++ == 0; }
        KnownVersions knownVersions() const override { return {}; }
        void onPeerView(const ViewSnapshot&, const Ipv4Endpoint&) override { ++views; }
        void onPeerFailure(const Ipv4Endpoint&, const Error&) override { }
        mutable int asked = 0;
        int views = 0;
    };
    asio::io_context context;
    ScriptedPeers peers(context, 100);
    peers.answers.emplace(peerA, std::optional<ViewSnapshot>(view(9)));
    LateObserver observer;
    PeerViewFeed feed(
        { .self = self, .startDelay = 1ms }, context, [] { return std::vector { peerA }; }, peers, observer);
    asio::co_spawn(context, feed.run(), asio::detached);
    context.run_for(50ms);
    CHECK(peers.calls.size() == 1);
    CHECK(observer.views == 0);
}

TEST_CASE("PeerViewFeed asks the next peer only after a failure, and tells what it knows")
{
    Fixture fixture(6);
    fixture.list = { peerA };
    fixture.peers.answers.emplace(peerA, std::optional<ViewSnapshot>(view(9)));
    fixture.run();
    REQUIRE(fixture.peers.asked.size() == 6);
    CHECK(fixture.peers.asked[0] == KnownVersions {});
    CHECK(fixture.peers.asked[1] == KnownVersions { .targets = StoreVersion(9), .config = ConfigVersion(9) });

    Fixture down(4);
    down.run();
    CHECK(down.observer.views == 0);
    CHECK(down.observer.failures >= 3);
}
