#pragma once

#include "SoakNetwork.h"
#include "WirePacket.h"

#include <anvilwalk/units.h>
#include <common/PacketSocket.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace anvilwalk::soak {

struct HostOptions {
    // Digits of the name after "i-" are the key in hexadecimal.
    std::uint64_t key = 0;
    // Start of this run, milliseconds since 1970.
    std::uint64_t bornMs = 0;
    ServiceName service;
    Ipv4Endpoint endpoint;
    std::string dataCentre;
    std::chrono::milliseconds work { 20 };
};

// One run of a back end of the users' platform: takes packets behind a prefix with its key, answers clients directly.
class Host {
public:
    Host(boost::asio::io_context&, const HostOptions&, HostRun, Promises&, const BalancerLinks&);
    ~Host();
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;

    HostRun run() const { return m_run; }
    std::string name() const;
    const HostOptions& options() const { return m_options; }
    // What it says of itself in the store.
    nlohmann::json entry() const;
    void drain() { m_draining = true; }
    bool isDraining() const { return m_draining; }
    // A dark host reads no packets and sends none.
    void setDark(bool dark) { m_dark = dark; }
    bool isDark() const { return m_dark; }
    // Breaks a promise on purpose: each request runs once more.
    void runTwice() { m_runsTwice = true; }

private:
    struct Flow {
        std::uint32_t hostSequence = 0;
        std::uint32_t token = 0;
        bool open = false;
        std::uint32_t lastRequestSequence = 0;
        std::uint64_t lastRequest = 0;
        bool answered = false;
        bool finSent = false;
    };

    void receive(std::span<const std::uint8_t>, const Ipv4Endpoint& sender);
    void handleOpening(const WirePacket&, const Ipv4Endpoint& sender);
    void handlePacket(const WirePacket&);
    void handleRequest(Flow&, const WirePacket&);
    void finishRequest(const FlowKey&, std::uint64_t id);
    void answer(Flow&, const FlowKey&);
    void send(const FlowKey&, const Flow&, std::uint8_t flags, std::string payload = {});
    void refuse(const WirePacket&);

    boost::asio::io_context& m_context;
    HostOptions m_options;
    HostRun m_run;
    Promises& m_promises;
    const BalancerLinks& m_links;
    bool m_draining = false;
    bool m_dark = false;
    bool m_runsTwice = false;
    std::map<FlowKey, Flow> m_flows;
    // Lives as long as the host; work that ends later is dropped.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
    standins::PacketSocket m_socket;
};

} // namespace anvilwalk::soak
