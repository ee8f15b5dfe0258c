#pragma once

#include "Host.h"
#include "StoreModel.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <pcg_random.hpp>
#include <vector>

namespace anvilwalk::soak {

struct HostFleetOptions {
    std::vector<std::string> dataCentres;
    std::uint64_t seed = 0;
    // From the mark of a leaving host until it ends.
    std::chrono::milliseconds drainTime { 4500 };
    // Breaks promises on purpose.
    bool hideDrains = false;
    bool runTwice = false;
};

// The hosts of all services: they come, go and fail, and the store says so.
class HostFleet {
public:
    HostFleet(boost::asio::io_context&, const HostFleetOptions&, const SoakNetwork&, StoreModel&, Promises&,
        const BalancerLinks&);

    void add(const ServiceName&);
    // Each of these takes one of the hosts that are whole; none if a service would be left with too few.
    void crash(std::uint32_t pick);
    // Ends and starts again at once under its id.
    void restart(std::uint32_t pick);
    // Ends; a host of another service gets its address.
    void reuseAddress(std::uint32_t pick);
    void drain(std::uint32_t pick);
    void goDark(std::uint32_t pick, std::chrono::milliseconds duration);
    // A third of the entries lapses; those of living hosts come back by restoreEntries.
    void lapseEntries();
    void restoreEntries();
    const std::vector<std::unique_ptr<Host>>& hosts() const { return m_hosts; }

private:
    Host* pickWhole(std::uint32_t pick);
    Host& start(const HostOptions&);
    HostOptions makeOptions(const ServiceName&, const Ipv4Endpoint&);
    Ipv4Endpoint nextEndpoint();
    void end(HostRun);
    Host* find(HostRun);
    void publish(const Host&);

    boost::asio::io_context& m_context;
    HostFleetOptions m_options;
    SoakNetwork m_network;
    StoreModel& m_store;
    Promises& m_promises;
    const BalancerLinks& m_links;
    pcg32 m_random;
    std::vector<ServiceName> m_services;
    std::uint32_t m_runs = 0;
    std::size_t m_places = 0;
    std::vector<std::unique_ptr<Host>> m_hosts;
};

} // namespace anvilwalk::soak
