#include <anvilwalk/discovery.h>
#include <fakes/FakeClock.h>
#include <fakes/PlacementHarness.h>

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

using ReadResult = Result<std::optional<ViewSnapshot>>;

Member relay(std::uint32_t number)
{
    return { .id = BalancerId("front-" + std::to_string(number)),
        .dataCentre = DataCentreId("lima-a"),
        .viewAddress = { .address = { number }, .port = 8166 },
        .startedMs = number };
}

ViewStatus status(std::uint64_t targets, std::uint64_t lastChange, std::uint64_t config)
{
    return { .targets = StoreVersion(targets),
        .lastTargetChange = StoreVersion(lastChange),
        .config = ConfigVersion(config),
        .targetsAge = 100ms };
}

// Answers each read with the next scripted result, one turn of the io_context later.
class ScriptedPeers final : public PeerReader {
public:
    asio::awaitable<ReadResult> read(const Ipv4Endpoint& peer, const KnownVersions& known) override
    {
        calls.push_back(peer);
        requestedVersions.push_back(known);
        ReadResult result = Error { .code = ErrorCode::Unavailable, .message = "down" };
        if (!results.empty()) {
            result = results.front();
            results.pop_front();
        }
        co_return result;
    }

    std::deque<ReadResult> results;
    std::vector<Ipv4Endpoint> calls;
    std::vector<KnownVersions> requestedVersions;
};

struct RecordingObserver final : PeerViewObserver {
    bool needsPeerView() const override { return false; }
    KnownVersions knownVersions() const override { return known; }
    void onPeerView(const ViewSnapshot& view, const Ipv4Endpoint&) override
    {
        known.targets = std::max(known.targets, view.targetsVersion);
        if (view.routes)
            known.config = std::max(known.config, view.routes->version());
    }
    void onPeerFailure(const Ipv4Endpoint&, const Error&) override { ++failures; }
    void onRelayConfirmation(const ViewStatus&, MonotonicTime receivedAt) override
    {
        confirmations.push_back(receivedAt);
    }

    KnownVersions known;
    int failures = 0;
    std::vector<MonotonicTime> confirmations;
};

struct Fixture {
    Fixture() { asio::co_spawn(context, feed.run(), asio::detached); }

    void announce(const Member& sender, const ViewStatus& announced)
    {
        feed.handleStatus(sender, announced);
        context.restart();
        context.run_for(20ms);
    }

    asio::io_context context;
    FakeClock clock;
    ScriptedPeers peers;
    RecordingObserver observer;
    RelayFeed feed { context, peers, observer, clock };
};

ViewSnapshot view(std::uint64_t targets, std::uint64_t config)
{
    return { .routes = routeTable(config), .targets = {}, .complete = false, .targetsVersion = StoreVersion(targets) };
}

} // namespace

TEST_CASE("RelayFeed fetches announced changes and confirms the view with the time of the announcement")
{
    Fixture fixture;
    const MonotonicTime announcedAt = fixture.clock.now();
    fixture.peers.results.emplace_back(view(30, 4));
    fixture.announce(relay(1), status(30, 28, 4));
    CHECK(fixture.peers.calls == std::vector<Ipv4Endpoint> { relay(1).viewAddress });
    CHECK(fixture.observer.known == KnownVersions { .targets = StoreVersion(30), .config = ConfigVersion(4) });
    CHECK(fixture.observer.confirmations == std::vector<MonotonicTime> { announcedAt });
}

// Guards against one read by each follower whenever a relay hears from the store, also when no target has changed.
TEST_CASE("RelayFeed reads nothing when a relay has no newer change")
{
    Fixture fixture;
    fixture.observer.known = { .targets = StoreVersion(30), .config = ConfigVersion(4) };
    fixture.announce(relay(1), status(900, 30, 4));
    CHECK(fixture.peers.calls.empty());
    CHECK(fixture.observer.confirmations.size() == 1);
}

// Guards against a view that counts as confirmed although its changes never arrived.
TEST_CASE("RelayFeed confirms nothing when the changes could not be fetched, and tries again at the next heartbeat")
{
    Fixture fixture;
    fixture.announce(relay(1), status(30, 28, 4));
    CHECK(fixture.observer.failures == 1);
    CHECK(fixture.observer.confirmations.empty());

    SECTION("a relay that has less than it announced")
    {
        fixture.peers.results.emplace_back(std::optional<ViewSnapshot>());
        fixture.announce(relay(1), status(30, 28, 4));
        CHECK(fixture.observer.confirmations.empty());
    }
    SECTION("another relay")
    {
        fixture.peers.results.emplace_back(view(31, 4));
        fixture.announce(relay(2), status(31, 28, 4));
        CHECK(fixture.peers.calls.back() == relay(2).viewAddress);
        CHECK(fixture.observer.confirmations.size() == 1);
    }
}

// Guards against two reads of the same changes, which both relays announce.
TEST_CASE("RelayFeed reads changes that several relays announce once")
{
    Fixture fixture;
    fixture.peers.results.emplace_back(view(30, 4));
    fixture.announce(relay(1), status(30, 28, 4));
    fixture.announce(relay(2), status(29, 28, 4));
    CHECK(fixture.peers.calls.size() == 1);
    CHECK(fixture.observer.confirmations.size() == 2);
}
