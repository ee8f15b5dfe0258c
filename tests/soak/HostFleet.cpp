#include "HostFleet.h"

#include "Delay.h"

#include <algorithm>

namespace anvilwalk::soak {

using namespace std::chrono_literals;

namespace {

    constexpr const char* targetsKind = "servers";
    // An entry is removed after three heartbeats without one.
    constexpr std::chrono::milliseconds entryLifetime { 2300 };
    // An address may be used again after 2 s.
    constexpr std::chrono::milliseconds reuseDelay { 2500 };
    constexpr std::chrono::milliseconds replacementDelay { 1000 };
    constexpr std::size_t fewestWhole = 3;
    // Addresses of one subnet.
    constexpr std::size_t maxPlaces = 250;
    constexpr std::size_t lapsedShare = 3;

    std::uint64_t wallMilliseconds()
    {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                .count());
    }

} // namespace

HostFleet::HostFleet(boost::asio::io_context& context, const HostFleetOptions& options, const SoakNetwork& network,
    StoreModel& store, Promises& promises, const BalancerLinks& links)
    : m_context(context)
    , m_options(options)
    , m_network(network)
    , m_store(store)
    , m_promises(promises)
    , m_links(links)
    , m_random(options.seed)
{
}

void HostFleet::add(const ServiceName& service)
{
    if (std::find(m_services.begin(), m_services.end(), service) == m_services.end())
        m_services.push_back(service);
    publish(start(makeOptions(service, nextEndpoint())));
}

HostOptions HostFleet::makeOptions(const ServiceName& service, const Ipv4Endpoint& endpoint)
{
    constexpr unsigned keyBits = 40;
    const std::uint64_t random = static_cast<std::uint64_t>(m_random()) << 32U | m_random();
    return { .key = (random >> (64U - keyBits)) | 1U,
        .bornMs = wallMilliseconds(),
        .service = service,
        .endpoint = endpoint,
        .dataCentre = m_options.dataCentres[m_places % m_options.dataCentres.size()] };
}

Ipv4Endpoint HostFleet::nextEndpoint() { return m_network.host(m_places++ % maxPlaces); }

Host& HostFleet::start(const HostOptions& options)
{
    m_hosts.push_back(std::make_unique<Host>(m_context, options, HostRun(++m_runs), m_promises, m_links));
    if (m_options.runTwice)
        m_hosts.back()->runTwice();
    return *m_hosts.back();
}

void HostFleet::publish(const Host& host) { m_store.put(targetsKind, host.name(), host.entry()); }

Host* HostFleet::find(HostRun run)
{
    const auto found
        = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const auto& host) { return host->run() == run; });
    return found == m_hosts.end() ? nullptr : found->get();
}

void HostFleet::end(HostRun run)
{
    std::erase_if(m_hosts, [&](const auto& host) { return host->run() == run; });
}

Host* HostFleet::pickWhole(std::uint32_t pick)
{
    std::vector<Host*> whole;
    for (const auto& host : m_hosts) {
        if (!host->isDraining() && !host->isDark())
            whole.push_back(host.get());
    }
    if (whole.empty())
        return nullptr;
    Host* picked = whole[pick % whole.size()];
    const auto sameService = std::count_if(whole.begin(), whole.end(),
        [&](const Host* host) { return host->options().service == picked->options().service; });
    return static_cast<std::size_t>(sameService) > fewestWhole ? picked : nullptr;
}

void HostFleet::crash(std::uint32_t pick)
{
    const Host* host = pickWhole(pick);
    if (host == nullptr)
        return;
    const std::string name = host->name();
    const ServiceName service = host->options().service;
    end(host->run());
    runAfter(m_context, entryLifetime, [this, name] { m_store.remove(targetsKind, name); });
    runAfter(m_context, replacementDelay, [this, service] { add(service); });
}

void HostFleet::restart(std::uint32_t pick)
{
    const Host* host = pickWhole(pick);
    if (host == nullptr)
        return;
    HostOptions options = host->options();
    options.bornMs = std::max(wallMilliseconds(), options.bornMs + 1);
    end(host->run());
    publish(start(options));
}

void HostFleet::reuseAddress(std::uint32_t pick)
{
    const Host* host = pickWhole(pick);
    if (host == nullptr || m_services.size() < 2)
        return;
    const std::string name = host->name();
    const ServiceName service = host->options().service;
    const Ipv4Endpoint endpoint = host->options().endpoint;
    const ServiceName other = service == m_services[0] ? m_services[1] : m_services[0];
    end(host->run());
    runAfter(m_context, entryLifetime, [this, name] { m_store.remove(targetsKind, name); });
    runAfter(m_context, replacementDelay, [this, service] { add(service); });
    runAfter(m_context, reuseDelay, [this, endpoint, other] { publish(start(makeOptions(other, endpoint))); });
}

void HostFleet::drain(std::uint32_t pick)
{
    Host* host = pickWhole(pick);
    if (host == nullptr)
        return;
    host->drain();
    if (!m_options.hideDrains)
        publish(*host);
    m_promises.hostDrains(host->run(), std::chrono::steady_clock::now());
    runAfter(m_context, replacementDelay, [this, service = host->options().service] { add(service); });
    runAfter(m_context, m_options.drainTime, [this, run = host->run(), name = host->name()] {
        end(run);
        m_store.remove(targetsKind, name);
    });
}

void HostFleet::goDark(std::uint32_t pick, std::chrono::milliseconds duration)
{
    Host* host = pickWhole(pick);
    if (host == nullptr)
        return;
    host->setDark(true);
    // Shorter than the lifetime of an entry, so that the store goes on naming it.
    runAfter(m_context, std::min(duration, entryLifetime - 300ms), [this, run = host->run()] {
        if (Host* again = find(run))
            again->setDark(false);
    });
}

void HostFleet::lapseEntries()
{
    for (std::size_t index = 0; index < m_hosts.size(); index += lapsedShare)
        m_store.remove(targetsKind, m_hosts[index]->name());
}

void HostFleet::restoreEntries()
{
    for (const auto& host : m_hosts) {
        if (!m_store.contains(targetsKind, host->name()) && !(m_options.hideDrains && host->isDraining()))
            publish(*host);
    }
}

} // namespace anvilwalk::soak
