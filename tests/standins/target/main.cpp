#include "TargetHost.h"

#include <common/HttpServer.h>
#include <common/PacketSocket.h>
#include <common/Program.h>
#include <common/Ticker.h>

#include <stdexcept>

using namespace anvilwalk;
using nlohmann::json;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds tickInterval { 10 };
// Port on which clients receive packets.
constexpr std::uint16_t clientPort = 7000;

// Connects a target host to its tunnel socket and its HTTP endpoint.
class TargetProgram {
public:
    TargetProgram(boost::asio::io_context& context, const standins::TargetOptions& options, const Ipv4Endpoint& tunnel,
        const Ipv4Endpoint& endpoint)
        : m_host(options, Clock::now())
        , m_socket(context, tunnel, [this](auto packet, const Ipv4Endpoint&) { receive(packet); })
        , m_server(context, endpoint, [this](const auto& exchange) { handle(*exchange); })
        , m_ticker(context, tickInterval, [this] { tick(); })
    {
    }

private:
    void receive(std::span<const std::uint8_t> packet)
    {
        m_host.receive(packet, Clock::now());
        flush();
    }

    void tick()
    {
        m_host.tick(Clock::now());
        flush();
    }

    void flush()
    {
        for (const auto& segment : m_host.takeSegments())
            m_socket.send(segment.toPacket(), { segment.key.destination, clientPort });
    }

    void handle(standins::HttpExchange& exchange)
    {
        const auto& request = exchange.request();
        if (request.path == "/health") {
            exchange.respond(200, m_host.health(Clock::now()).dump());
        } else if (request.path == "/ledger") {
            exchange.respond(200, m_host.ledger().dump());
        } else if (request.path == "/control") {
            const json switches = json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
            if (switches.is_object())
                exchange.respond(200, m_host.control(switches, Clock::now()).dump());
            else
                exchange.respond(400, R"({"message":"the body is not a JSON object"})");
        } else {
            exchange.respond(404, R"({"message":"unknown path"})");
        }
    }

    standins::TargetHost m_host;
    standins::PacketSocket m_socket;
    standins::HttpServer m_server;
    standins::Ticker m_ticker;
};

} // namespace

// Stand-in for a host of one service.
int main(int argc, char* argv[])
{
    using std::chrono::milliseconds;
    cxxopts::Options options("standin_target", "Stand-in for a host of one service.");
    options.add_options()("host", "host name", cxxopts::value<std::string>())("service", "service name",
        cxxopts::value<std::string>())("service-address", "address:port of the service", cxxopts::value<std::string>())(
        "tunnel", "address:port for IP-in-UDP", cxxopts::value<std::string>())(
        "http", "address:port for /health, /control and /ledger", cxxopts::value<std::string>())(
        "slots", "requests run at once", cxxopts::value<std::size_t>()->default_value("3"))(
        "queue", "requests that may wait", cxxopts::value<std::size_t>()->default_value("10000"))(
        "service-ms", "time a request takes", cxxopts::value<int>()->default_value("5"))(
        "stream-interval-ms", "time between updates", cxxopts::value<int>()->default_value("500"))(
        "cold-ms", "slow time after the start", cxxopts::value<int>()->default_value("0"))(
        "seed", "random seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    return standins::runProgram(options, argc, argv, [](auto& context, const cxxopts::ParseResult& arguments) {
        const Ipv4Endpoint service = standins::endpointArgument(arguments, "service-address");
        const standins::TargetOptions target { .host = arguments["host"].as<std::string>(),
            .service = arguments["service"].as<std::string>(),
            .serviceAddress = service.address,
            .servicePort = service.port,
            .slots = arguments["slots"].as<std::size_t>(),
            .queueLimit = arguments["queue"].as<std::size_t>(),
            .serviceTime = milliseconds(arguments["service-ms"].as<int>()),
            .streamInterval = milliseconds(arguments["stream-interval-ms"].as<int>()),
            .coldTime = milliseconds(arguments["cold-ms"].as<int>()),
            .seed = arguments["seed"].as<std::uint64_t>() };
        auto program = std::make_shared<TargetProgram>(context, target, standins::endpointArgument(arguments, "tunnel"),
            standins::endpointArgument(arguments, "http"));
        return [program] {};
    });
}
