#include "Caller.h"

#include <common/HttpServer.h>
#include <common/PacketSocket.h>
#include <common/Program.h>
#include <common/Ticker.h>

#include <iostream>

using namespace anvilwalk;
using nlohmann::json;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds tickInterval { 10 };
// Port on which clients send and receive packets.
constexpr std::uint16_t clientPort = 7000;

// Connects a caller to its socket and its HTTP endpoint, and prints the report at the end.
class CallerProgram {
public:
    CallerProgram(boost::asio::io_context& context, const standins::CallerOptions& options, const Ipv4Endpoint& fabric,
        const Ipv4Endpoint& status)
        : m_context(context)
        , m_fabric(fabric)
        , m_caller(options, Clock::now())
        , m_socket(context, { options.self, clientPort }, [this](auto packet, const Ipv4Endpoint&) { receive(packet); })
        , m_server(context, status, [this](const auto& exchange) { handle(*exchange); })
        , m_ticker(context, tickInterval, [this] { tick(); })
    {
    }

    void finish() { m_caller.finish(); }

private:
    void receive(std::span<const std::uint8_t> packet)
    {
        m_caller.receive(packet, Clock::now());
        flush();
    }

    void tick()
    {
        m_caller.tick(Clock::now());
        flush();
        if (!m_caller.finished())
            return;
        std::cout << m_caller.report(Clock::now(), true).dump() << std::endl;
        m_context.stop();
    }

    void flush()
    {
        for (const auto& segment : m_caller.takeSegments())
            m_socket.send(segment.toPacket(), m_fabric);
    }

    void handle(standins::HttpExchange& exchange)
    {
        const auto& request = exchange.request();
        if (request.path == "/status") {
            exchange.respond(200, m_caller.report(Clock::now(), false).dump());
        } else if (request.path == "/control") {
            const json switches = json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
            if (switches.is_object())
                m_caller.control(switches);
            exchange.respond(switches.is_object() ? 200 : 400, "{}");
        } else {
            exchange.respond(404, R"({"message":"unknown path"})");
        }
    }

    boost::asio::io_context& m_context;
    Ipv4Endpoint m_fabric;
    standins::Caller m_caller;
    standins::PacketSocket m_socket;
    standins::HttpServer m_server;
    standins::Ticker m_ticker;
};

Ipv4Address addressArgument(const cxxopts::ParseResult& arguments, const std::string& name)
{
    const auto address = Ipv4Address::parse(arguments[name].as<std::string>());
    if (!address)
        throw std::runtime_error("--" + name + " is not an IPv4 address");
    return *address;
}

} // namespace

// Stand-in for clients of one service.
int main(int argc, char* argv[])
{
    using std::chrono::milliseconds;
    cxxopts::Options options("standin_caller", "Stand-in for clients of one service.");
    options.add_options()("bind", "own address", cxxopts::value<std::string>())(
        "fabric", "address:port of the fabric", cxxopts::value<std::string>())(
        "status", "address:port for /status and /control", cxxopts::value<std::string>())("service", "service name",
        cxxopts::value<std::string>())("service-address", "address:port of the service", cxxopts::value<std::string>())(
        "kind", "booking, report or photo", cxxopts::value<std::string>()->default_value("booking"))(
        "prefix", "first part of request ids", cxxopts::value<std::string>())(
        "streams", "streams held open", cxxopts::value<std::size_t>()->default_value("0"))(
        "flows-per-second", "other flows opened a second", cxxopts::value<double>()->default_value("0"))(
        "requests-per-flow", "requests on each of them", cxxopts::value<std::size_t>()->default_value("2"))(
        "think-ms", "longest pause between them", cxxopts::value<int>()->default_value("1000"))(
        "photo-bytes", "size of an upload", cxxopts::value<std::size_t>()->default_value("20000"))("deadline-ms",
        "a flow without progress for this long is broken", cxxopts::value<int>()->default_value("15000"))(
        "seed", "random seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    const auto start = [](auto& context, const cxxopts::ParseResult& arguments) -> std::function<void()> {
        const standins::CallerOptions caller { .self = addressArgument(arguments, "bind"),
            .service = arguments["service"].as<std::string>(),
            .serviceEndpoint = standins::endpointArgument(arguments, "service-address"),
            .kind = arguments["kind"].as<std::string>(),
            .idPrefix = arguments["prefix"].as<std::string>(),
            .streams = arguments["streams"].as<std::size_t>(),
            .flowsPerSecond = arguments["flows-per-second"].as<double>(),
            .requestsPerFlow = arguments["requests-per-flow"].as<std::size_t>(),
            .thinkTime = milliseconds(arguments["think-ms"].as<int>()),
            .photoBytes = arguments["photo-bytes"].as<std::size_t>(),
            .progressDeadline = milliseconds(arguments["deadline-ms"].as<int>()),
            .seed = arguments["seed"].as<std::uint64_t>() };
        auto program = std::make_shared<CallerProgram>(context, caller, standins::endpointArgument(arguments, "fabric"),
            standins::endpointArgument(arguments, "status"));
        return [program] { program->finish(); };
    };
    return standins::runProgram(options, argc, argv, start, false);
}
