#pragma once

#include <common/HttpClient.h>
#include <common/HttpServer.h>
#include <common/PacketSocket.h>
#include <common/Ticker.h>

#include <map>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace anvilwalk::standins {

// Faults that the fabric adds to packets from clients; each rate is a probability.
struct FabricFaults {
    double lossRate = 0;
    double duplicateRate = 0;
    // Delayed packets arrive late by up to maxDelay, behind packets sent after them.
    double delayRate = 0;
    std::chrono::milliseconds maxDelay { 50 };
};

struct FabricOptions {
    Ipv4Endpoint listen;
    Ipv4Endpoint control;
    HttpUrl platform;
    std::string dataCentre;
    std::uint64_t seed = 1;
    FabricFaults faults;
};

// Sprays clients' packets over the balancers that are ready, and passes balancers' packets on to clients. It learns
// the balancers from the platform's VM list and asks each whether it is ready.
class Fabric {
public:
    Fabric(boost::asio::io_context&, const FabricOptions&);

private:
    struct Balancer {
        Ipv4Endpoint packetEndpoint;
        HttpUrl readyUrl;
        bool ready = false;
        bool asking = false;
        std::uint64_t packets = 0;
    };

    struct LatePacket {
        std::vector<std::uint8_t> bytes;
        Ipv4Endpoint receiver;
    };

    void receive(std::span<const std::uint8_t>, const Ipv4Endpoint& sender);
    void passToClient(std::span<const std::uint8_t>);
    void spray(std::span<const std::uint8_t>);
    void sendCopy(std::span<const std::uint8_t>, const Ipv4Endpoint& receiver);
    Balancer* chooseBalancer();
    bool chance(double rate);
    void sendLatePackets();
    void pollVmList();
    void takeVmList(const HttpResult&);
    void pollReadiness();
    void handle(HttpExchange&);
    nlohmann::json describe() const;

    boost::asio::io_context& m_context;
    FabricOptions m_options;
    pcg32 m_random;
    // By name, so that the choice depends on the seed only.
    std::map<std::string, Balancer> m_balancers;
    std::size_t m_nextUnready = 0;
    std::multimap<std::chrono::steady_clock::time_point, LatePacket> m_latePackets;
    std::map<std::string, std::uint64_t> m_counts;
    PacketSocket m_socket;
    HttpServer m_server;
    Ticker m_lateTicker;
    Ticker m_listTicker;
    Ticker m_readyTicker;
};

} // namespace anvilwalk::standins
