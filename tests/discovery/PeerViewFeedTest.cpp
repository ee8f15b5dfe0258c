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

using ReadResult = Result<std::optional<ViewSnapshot>>;

// Returns a scripted result for each peer and stops the io_context at the given number of calls.
class ScriptedPeers final : public PeerReader {
public:
    ScriptedPeers(asio::io_context& context, std::size_t maxCalls)
        : m_context(context)
        , m_maxCalls(maxCalls)
    {
    }

    asio::awaitable<ReadResult> read(const Ipv4Endpoint& peer, const KnownVersions& known) override
    {
        calls.push_back(peer);
        requestedVersions.push_back(known);
        if (calls.size() >= m_maxCalls)
            m_context.stop();
        const auto found = results.find(peer);
        if (found == results.end())
            co_return Error { .code = ErrorCode::Unavailable, .message = "down" };
        co_return found->second;
    }

    std::map<Ipv4Endpoint, ReadResult> results;
    std::vector<Ipv4Endpoint> calls;
    std::vector<KnownVersions> requestedVersions;

private:
    asio::io_context& m_context;
    std::size_t m_maxCalls;
};

struct RecordingObserver final : PeerViewObserver {
    bool needsPeerView() const override { return needsView; }
    KnownVersions knownVersions() const override { return known; }
    void onPeerView(const ViewSnapshot& view, const Ipv4Endpoint&) override
    {
        ++views;
        known = { .targets = view.targetsVersion, .config = view.routes->version() };
        highest
            = { .targets = std::max(highest.targets, known.targets), .config = std::max(highest.config, known.config) };
    }
    void onPeerFailure(const Ipv4Endpoint&, const Error&) override { ++failures; }
    void onRelayConfirmation(const ViewStatus&, MonotonicTime) override { }

    bool needsView = true;
    KnownVersions known;
    KnownVersions highest;
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

    void run(std::chrono::milliseconds timeLimit = 5s)
    {
        PeerViewFeed feed(
            { .self = self, .startDelay = 1ms, .initialInterval = 1ms, .refreshInterval = 2ms, .seed = seed }, context,
            [this] { return list; }, peers, observer);
        asio::co_spawn(context, feed.run(), asio::detached);
        context.run_for(timeLimit);
    }

    asio::io_context context;
    std::vector<Ipv4Endpoint> list { self, peerA, peerB };
    std::uint64_t seed = 0;
    ScriptedPeers peers;
    RecordingObserver observer;
};

} // namespace

// Guards against a balancer that starts during a store outage and drops every packet until the outage ends.
TEST_CASE("PeerViewFeed uses the view of a peer that has one")
{
    Fixture fixture(8);
    fixture.peers.results.emplace(peerB, std::optional<ViewSnapshot>(view(9)));
    fixture.run();
    CHECK(fixture.observer.views >= 1);
    CHECK(fixture.observer.known.targets == StoreVersion(9));
    CHECK(std::count(fixture.peers.calls.begin(), fixture.peers.calls.end(), self) == 0);
}

TEST_CASE("PeerViewFeed queries no peers while the store responds")
{
    Fixture fixture(1);
    fixture.observer.needsView = false;
    fixture.run(50ms);
    CHECK(fixture.peers.calls.empty());
}

// Guards against an older peer view that overwrites newer data from the store.
TEST_CASE("PeerViewFeed discards a view that arrives after the store has responded")
{
    struct LateObserver final : PeerViewObserver {
        // True when the round starts, false when the peer's response arrives.
        bool needsPeerView() const override { return queries++ == 0; }
        KnownVersions knownVersions() const override { return {}; }
        void onPeerView(const ViewSnapshot&, const Ipv4Endpoint&) override { ++views; }
        void onPeerFailure(const Ipv4Endpoint&, const Error&) override { }
        void onRelayConfirmation(const ViewStatus&, MonotonicTime) override { }
        mutable int queries = 0;
        int views = 0;
    };
    asio::io_context context;
    ScriptedPeers peers(context, 100);
    peers.results.emplace(peerA, std::optional<ViewSnapshot>(view(9)));
    LateObserver observer;
    PeerViewFeed feed(
        { .self = self, .startDelay = 1ms }, context, [] { return std::vector { peerA }; }, peers, observer);
    asio::co_spawn(context, feed.run(), asio::detached);
    context.run_for(50ms);
    CHECK(peers.calls.size() == 1);
    CHECK(observer.views == 0);
}

// Guards against a route or target that was withdrawn and is in use again after a restart: the first peer that answers
// may be behind.
TEST_CASE("PeerViewFeed takes the newest view of all peers within one round")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        Fixture fixture(2);
        fixture.seed = seed;
        fixture.peers.results.emplace(peerA, std::optional<ViewSnapshot>(view(7)));
        fixture.peers.results.emplace(peerB, std::optional<ViewSnapshot>(view(9)));
        fixture.run();
        CHECK(fixture.observer.highest == KnownVersions { .targets = StoreVersion(9), .config = ConfigVersion(9) });
    }
}

TEST_CASE("PeerViewFeed sends the known versions")
{
    Fixture fixture(6);
    fixture.list = { peerA };
    fixture.peers.results.emplace(peerA, std::optional<ViewSnapshot>(view(9)));
    fixture.run();
    REQUIRE(fixture.peers.requestedVersions.size() == 6);
    CHECK(fixture.peers.requestedVersions[0] == KnownVersions {});
    CHECK(
        fixture.peers.requestedVersions[1] == KnownVersions { .targets = StoreVersion(9), .config = ConfigVersion(9) });

    Fixture down(4);
    down.run();
    CHECK(down.observer.views == 0);
    CHECK(down.observer.failures >= 3);
}
