#include <anvilwalk-edge/PacketLoop.h>
#include <fakes/FakeClock.h>

#include <anvilwalk/units/SocketAddress.h>

#include <arpa/inet.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

constexpr std::uint32_t loopback = INADDR_LOOPBACK;

// Every datagram is a packet without a header.
class PlainFormat final : public PacketFormat {
public:
    std::size_t maxPacketBytes() const override { return 64; }
    std::size_t headroomBytes() const override { return 0; }
    std::variant<PacketView, DropReason> parse(std::span<const std::uint8_t> bytes) const override
    {
        return PacketView(bytes, {});
    }
    std::string_view requestId(const PacketView&) const override { return {}; }
    void prepareForTarget(std::span<std::uint8_t>, const ForwardToTarget&) const override { }
    std::size_t writeReset(const PacketFields&, std::span<std::uint8_t>) const override { return 0; }
};

class ForwardEverything final : public PacketRouter {
public:
    explicit ForwardEverything(const Ipv4Endpoint& target)
        : m_target(target)
    {
    }
    Decision route(const PacketView&, MonotonicTime) override
    {
        return ForwardToTarget { .target = {}, .tunnel = m_target, .service = {}, .token = {}, .targetKey = {} };
    }

private:
    Ipv4Endpoint m_target;
};

struct IgnoreForwards final : ForwardObserver {
    void onForwarded(const PacketView&, const ForwardToTarget&) override { }
};

udp::socket openSocket(asio::io_context& context)
{
    return { context, udp::endpoint(asio::ip::address_v4(loopback), 0) };
}

Ipv4Endpoint endpointOf(const udp::socket& socket)
{
    return { .address = { loopback }, .port = socket.local_endpoint().port() };
}

std::size_t countReceived(udp::socket& socket)
{
    socket.non_blocking(true);
    std::array<char, 64> buffer {};
    boost::system::error_code error;
    std::size_t count = 0;
    while (socket.receive(asio::buffer(buffer), 0, error) > 0 && !error)
        ++count;
    return count;
}

// A packet loop between a client and a target on loopback addresses.
struct Fixture {
    Fixture()
    {
        udp::socket unused = openSocket(context);
        address = endpointOf(unused);
        unused.close();
        loop = std::make_unique<PacketLoop>(
            PacketLoopOptions { .address = address }, context, format, router, observer, clock);
        REQUIRE(isOk(loop->open()));
    }

    void sendPackets(std::size_t count)
    {
        for (std::size_t sent = 0; sent < count; ++sent)
            client.send_to(asio::buffer("packet"), udp::endpoint(asio::ip::address_v4(loopback), address.port));
    }

    asio::io_context context;
    udp::socket client = openSocket(context);
    udp::socket target = openSocket(context);
    Ipv4Endpoint address;
    PlainFormat format;
    ForwardEverything router { endpointOf(target) };
    IgnoreForwards observer;
    FakeClock clock;
    std::unique_ptr<PacketLoop> loop;
};

} // namespace

// Guards against requests that are cut off by a planned stop: the fabric sends packets until the process has ended.
TEST_CASE("PacketLoop forwards the packets that wait in its socket before the process ends")
{
    Fixture fixture;
    fixture.sendPackets(100);
    fixture.loop->drain();
    CHECK(countReceived(fixture.target) == 100);
    fixture.loop->drain();
    CHECK(fixture.loop->counters().received == 100);
}

TEST_CASE("PacketLoop forwards packets while the io_context runs")
{
    Fixture fixture;
    asio::co_spawn(fixture.context, fixture.loop->run(), asio::detached);
    fixture.sendPackets(70);
    fixture.context.run_for(50ms);
    CHECK(countReceived(fixture.target) == 70);
}
