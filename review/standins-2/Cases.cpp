#include "Cases.h"

#include <algorithm>
#include <csignal>

namespace lab {

json configOf(int version, const std::vector<RouteOptions>& routes, double coldStartS, double coldPerSecond)
{
    json list = json::array();
    std::set<std::string> names;
    for (const RouteOptions& route : routes) {
        list.push_back({ { "name", route.name }, { "host", route.address },
            { "path_prefix", "/" + std::to_string(route.port) + "/" }, { "route_type", "unsafe" },
            { "timeout_ms", 4000 }, { "target_latency_ms", 600 }, { "priority", 1 }, { "service", route.service },
            { "max_attempts", 2 } });
        names.insert(route.service);
    }
    json services = json::array();
    for (const std::string& name : names)
        services.push_back({ { "name", name }, { "health_path", "/health" }, { "max_flows", 2000 },
            { "protocol", "h1" }, { "tls", false }, { "cold_start_s", coldStartS }, { "cold_per_s", coldPerSecond } });
    return { { "version", version }, { "routes", std::move(list) }, { "services", std::move(services) },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } } };
}

namespace {

    void noteRequests(Lab& lab)
    {
        std::map<std::uint64_t, const Arrival*> arrivals;
        for (const Arrival& arrival : lab.arrivals())
            arrivals[arrival.id] = &arrival;
        for (const auto& [id, attempt] : lab.tries()) {
            char start[64];
            std::snprintf(start, sizeof(start), "sent %.3f", lab.seconds(attempt->started));
            std::string line = "request " + std::to_string(id) + " of route " + attempt->route + " from "
                + attempt->zone + " " + start + ", ";
            const auto arrival = arrivals.find(id);
            if (arrival != arrivals.end())
                line += "run by " + arrival->second->host + " in " + arrival->second->hostZone + " through "
                    + arrival->second->balancer;
            else
                line += attempt->accepted ? "run on the flow of the request before" : "not run";
            lab.note(line + (attempt->answered ? ", answered" : ", not answered"));
        }
    }

} // namespace

void noteCounts(Lab& lab)
{
    noteRequests(lab);
    std::size_t accepted = 0;
    std::size_t answered = 0;
    for (const auto& [id, attempt] : lab.tries()) {
        accepted += attempt->accepted ? 1 : 0;
        answered += attempt->answered ? 1 : 0;
    }
    lab.note("clients sent " + std::to_string(lab.tries().size()) + " requests, hosts ran " + std::to_string(accepted)
        + ", answered in time " + std::to_string(answered));
    std::map<std::string, std::size_t> byHost;
    for (const Arrival& arrival : lab.arrivals())
        ++byHost[arrival.hostZone + " " + arrival.host];
    for (const auto& [host, count] : byHost)
        lab.note("host " + host + " took " + std::to_string(count) + " flows");
}

std::string describe(const Lab& lab, const Arrival& arrival)
{
    char times[64];
    std::snprintf(
        times, sizeof(times), "sent %.3f arrived %.3f", lab.seconds(arrival.sent), lab.seconds(arrival.arrived));
    return "request " + std::to_string(arrival.id) + " of route " + arrival.route + " " + times + " at host "
        + arrival.host + " of " + arrival.service + " in " + arrival.hostZone + " through " + arrival.balancer;
}

namespace {

    constexpr std::uint16_t servicePort = 8443;

    // The bounds of the deployments whose operators evacuate zones.
    constexpr Bounds evacuationBounds { .configMs = 5000,
        .drainMs = 5000,
        .evacuationMs = 5000,
        .coldOver = 1.5,
        .coldSlack = 5,
        .stableWindowMs = 5000,
        .graceS = 6 };

    const std::vector<std::string> threeZones { "zone-a", "zone-b", "zone-c" };

    // Starts three balancers and some hosts in each of three zones. Returns false if they are not ready in time.
    asio::awaitable<bool> startThreeZones(Lab& lab, int hostsInZone, json config)
    {
        if (!lab.openNetwork(threeZones))
            co_return false;
        lab.store().put("config", "main", config);
        for (const std::string& zone : threeZones) {
            for (int number = 0; number < hostsInZone; ++number)
                lab.addHost({ .key = 0x100000 + lab.random()() % 0xfffff00000ULL,
                    .service = "recharge",
                    .zone = zone,
                    .address = {} });
        }
        // They were started in turn, as in a rolling restart, so they do not read the store at the same moments.
        for (int number = 0; number < 3; ++number) {
            for (const std::string& zone : threeZones)
                lab.addBalancer(zone, evacuationBounds);
            co_await lab.sleep(Milliseconds(1000));
        }
        co_return co_await lab.waitUntilReady(Milliseconds(15000));
    }

    struct Evacuation {
        std::string zone;
        Time acknowledged;
        Time takenBack;
        // When open connections went silent; the start of time without trouble.
        Time silent;
    };

    bool breaksEvacuation(const Arrival& arrival, const Evacuation& evacuation)
    {
        const Time due = evacuation.acknowledged + Milliseconds(evacuationBounds.evacuationMs);
        const Time inTouch = evacuation.silent + Milliseconds(evacuationBounds.stableWindowMs);
        return arrival.hostZone == evacuation.zone && arrival.sent > std::max(due, inTouch)
            && arrival.arrived < evacuation.takenBack;
    }

} // namespace

// Open connections go silent about when the operator evacuates a zone.
asio::awaitable<int> runEvacuation(Lab& lab)
{
    const json config
        = configOf(7, { { .name = "r-topup", .address = "127.0.0.9", .port = servicePort, .service = "recharge" } });
    if (!co_await startThreeZones(lab, 3, config))
        co_return CouldNotRun;
    lab.markStart();
    lab.note("balancers are ready, traffic starts");
    for (const std::string& zone : threeZones)
        lab.startTraffic(
            { .zone = zone, .route = "r-topup", .address = "127.0.0.9", .port = servicePort, .perSecond = 40 });
    co_await lab.sleep(Milliseconds(7000));
    std::vector<Evacuation> evacuations;
    for (const std::string& zone : threeZones) {
        co_await lab.sleep(Milliseconds(lab.random()() % 3000));
        Evacuation evacuation { .zone = zone, .acknowledged = {}, .takenBack = {}, .silent = {} };
        if (lab.options().trouble) {
            lab.store().silenceOpenConnections();
            evacuation.silent = Clock::now();
            lab.note("open connections to the store go silent; new ones work");
        }
        lab.store().put("evacuations", zone, json::object());
        evacuation.acknowledged = Clock::now();
        lab.note("evacuation of " + zone + " acknowledged");
        co_await lab.sleep(Milliseconds(12000));
        lab.store().remove("evacuations", zone);
        evacuation.takenBack = Clock::now();
        lab.note("evacuation of " + zone + " taken back");
        evacuations.push_back(evacuation);
        co_await lab.sleep(Milliseconds(8000));
    }
    lab.stopTraffic();
    co_await lab.sleep(Milliseconds(4000));
    noteCounts(lab);
    lab.note("calls on silent connections: " + std::to_string(lab.store().callsOnSilentConnections()));
    std::size_t broken = 0;
    std::size_t inEvacuations = 0;
    for (const Evacuation& evacuation : evacuations) {
        std::size_t ofZone = 0;
        Time last = evacuation.acknowledged;
        for (const Arrival& arrival : lab.arrivals()) {
            if (arrival.hostZone == evacuation.zone && arrival.sent > evacuation.acknowledged
                && arrival.arrived < evacuation.takenBack) {
                ++inEvacuations;
                last = std::max(last, arrival.arrived);
            }
            if (!breaksEvacuation(arrival, evacuation))
                continue;
            ++ofZone;
            lab.note("EVAC broken: " + describe(lab, arrival));
        }
        broken += ofZone;
        lab.note("evacuation of " + evacuation.zone + " acknowledged at "
            + std::to_string(lab.seconds(evacuation.acknowledged)) + ": last request there "
            + std::to_string(lab.seconds(last) - lab.seconds(evacuation.acknowledged)) + " s later, "
            + std::to_string(ofZone) + " too late");
    }
    lab.note("EVAC broken " + std::to_string(broken) + " times");
    co_return broken > 0 ? Broken : Held;
}

namespace {

    constexpr double coldPerSecond = 4;
    constexpr double coldStartS = 10;
    constexpr Milliseconds coldStart(10000);
    // The shortest deadline of the users' sheets for requests that may run once at most.
    constexpr Milliseconds clientDeadline(2500);

    // The most openings of a cold host in one second.
    struct ColdPeak {
        std::string host;
        std::string zone;
        std::size_t most = 0;
        Time end;
    };

    std::vector<ColdPeak> coldPeaks(const Lab& lab)
    {
        std::map<std::string, std::vector<const Arrival*>> byHost;
        for (const Arrival& arrival : lab.arrivals()) {
            if (arrival.hostCold)
                byHost[arrival.host].push_back(&arrival);
        }
        std::vector<ColdPeak> peaks;
        for (auto& [host, arrivals] : byHost) {
            std::sort(arrivals.begin(), arrivals.end(),
                [](const Arrival* a, const Arrival* b) { return a->arrived < b->arrived; });
            ColdPeak peak { .host = host, .zone = arrivals.front()->hostZone, .most = 0, .end = {} };
            for (const Arrival* last : arrivals) {
                // Both sent and arrived inside the second that ends with this arrival.
                const Time begin = last->arrived - Milliseconds(1000);
                const auto count = static_cast<std::size_t>(
                    std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival* arrival) {
                        return arrival->sent > begin && arrival->arrived <= last->arrived;
                    }));
                if (count <= peak.most)
                    continue;
                peak.most = count;
                peak.end = last->arrived;
            }
            peaks.push_back(peak);
        }
        return peaks;
    }

    // Compares the peaks with the limit.
    int judgeColdHosts(Lab& lab)
    {
        noteCounts(lab);
        const double limit = coldPerSecond * evacuationBounds.coldOver + evacuationBounds.coldSlack;
        lab.note("limit of a cold host: " + std::to_string(limit) + " requests in one second");
        std::size_t broken = 0;
        for (const ColdPeak& peak : coldPeaks(lab)) {
            const bool over = static_cast<double>(peak.most) > limit;
            broken += over ? 1 : 0;
            lab.note(std::string(over ? "FAILBACK broken: " : "") + "cold host " + peak.host + " of " + peak.zone
                + " got " + std::to_string(peak.most) + " requests in the second up to "
                + std::to_string(lab.seconds(peak.end)));
        }
        std::size_t lost = 0;
        std::size_t taken = 0;
        for (const Arrival& arrival : lab.arrivals()) {
            taken += arrival.hostCold ? 1 : 0;
            lost += arrival.hostCold && !lab.tries().at(arrival.id)->answered ? 1 : 0;
        }
        lab.note("cold hosts took " + std::to_string(taken) + " requests; clients gave up " + std::to_string(lost)
            + " of these without an answer");
        lab.note("FAILBACK broken at " + std::to_string(broken) + " hosts");
        return broken > 0 ? Broken : Held;
    }

} // namespace

// The hosts of an evacuated zone have become cold when the evacuation is taken back.
asio::awaitable<int> runFailback(Lab& lab)
{
    const std::vector<std::string> zones { "zone-a", "zone-b" };
    const std::string address = "127.0.0.9";
    if (!lab.openNetwork(zones))
        co_return CouldNotRun;
    lab.store().put("config", "main",
        configOf(7, { { .name = "r-topup", .address = address, .port = servicePort, .service = "recharge" } },
            coldStartS, coldPerSecond));
    const auto addHost = [&](const std::string& zone, Milliseconds cold) -> Host& {
        return lab.addHost({ .key = 0x100000 + lab.random()() % 0xfffff00000ULL,
                               .service = "recharge",
                               .zone = zone,
                               .address = {},
                               .coldPerSecond = coldPerSecond },
            cold);
    };
    for (const std::string& zone : zones) {
        addHost(zone, Milliseconds(0));
        addHost(zone, Milliseconds(0));
    }
    for (int number = 0; number < 4; ++number) {
        for (const std::string& zone : zones)
            lab.addBalancer(zone, evacuationBounds);
    }
    if (!co_await lab.waitUntilReady(Milliseconds(15000)))
        co_return CouldNotRun;
    lab.markStart();
    lab.note("balancers are ready, traffic starts");
    for (const std::string& zone : zones)
        lab.startTraffic({ .zone = zone,
            .route = "r-topup",
            .address = address,
            .port = servicePort,
            .perSecond = 90,
            .deadline = clientDeadline });
    co_await lab.sleep(Milliseconds(6000));
    // A host that starts anew: the balancers have to keep its limit in any case.
    const Host& fresh = addHost("zone-b", coldStart);
    lab.note("host " + fresh.name() + " starts in zone-b, cold for 10 s");
    co_await lab.sleep(Milliseconds(12000));
    lab.store().put("evacuations", "zone-a", json::object());
    lab.note("evacuation of zone-a acknowledged");
    co_await lab.sleep(Milliseconds(9000));
    if (lab.options().trouble) {
        for (const auto& host : lab.hosts()) {
            if (host->options().zone != "zone-a")
                continue;
            host->becomeCold(coldStart);
            lab.note("host " + host->name() + " of zone-a has become cold, for 10 s");
        }
    }
    co_await lab.sleep(Milliseconds(1300));
    lab.store().remove("evacuations", "zone-a");
    lab.note("evacuation of zone-a taken back");
    co_await lab.sleep(Milliseconds(14000));
    lab.stopTraffic();
    co_await lab.sleep(clientDeadline + Milliseconds(1000));
    co_return judgeColdHosts(lab);
}

// Hosts drain while balancers that followed relays have to read the store again, over connections that were idle.
asio::awaitable<int> runFollowers(Lab& lab)
{
    constexpr Bounds bounds {};
    constexpr int balancers = 8;
    constexpr int hosts = 8;
    constexpr int drainingHosts = 3;
    constexpr Milliseconds drainGap(300);
    const std::string address = "127.0.0.9";
    if (!lab.openNetwork({ "zone-a" }))
        co_return CouldNotRun;
    lab.store().put("config", "main",
        configOf(7, { { .name = "r-booking", .address = address, .port = servicePort, .service = "despacho" } }));
    for (int number = 0; number < hosts; ++number)
        lab.addHost({ .key = 0x100000 + lab.random()() % 0xfffff00000ULL,
            .service = "despacho",
            .zone = "zone-a",
            .address = {} });
    for (int number = 0; number < balancers; ++number)
        lab.addBalancer("zone-a", bounds);
    if (!co_await lab.waitUntilReady(Milliseconds(15000)))
        co_return CouldNotRun;
    lab.markStart();
    lab.note("balancers are ready, traffic starts");
    lab.startTraffic(
        { .zone = "zone-a", .route = "r-booking", .address = address, .port = servicePort, .perSecond = 300 });
    co_await lab.sleep(Milliseconds(10000));
    if (lab.options().trouble) {
        const std::size_t count = lab.store().silenceOpenConnections(Milliseconds(5000));
        lab.note(std::to_string(count) + " connections to the store that were idle for 5 s go silent; others work");
    }
    co_await lab.sleep(Milliseconds(10000));
    // The youngest balancer is stopped as planned.
    lab.signalBalancer(lab.balancers().back(), SIGTERM);
    lab.note("SIGTERM to " + lab.balancers().back().name);
    co_await lab.sleep(Milliseconds(900));
    std::map<std::string, Time> drained;
    for (int number = 0; number < drainingHosts; ++number) {
        Host& host = *lab.hosts()[static_cast<std::size_t>(number)];
        host.drain();
        drained[host.name()] = Clock::now();
        lab.note("host " + host.name() + " drains, acknowledged");
        co_await lab.sleep(drainGap);
    }
    co_await lab.sleep(Milliseconds(8000));
    lab.stopTraffic();
    co_await lab.sleep(Milliseconds(4000));
    noteCounts(lab);
    lab.note("calls on silent connections: " + std::to_string(lab.store().callsOnSilentConnections()));
    std::size_t broken = 0;
    for (const auto& [host, acknowledged] : drained) {
        std::size_t late = 0;
        Time last = acknowledged;
        for (const Arrival& arrival : lab.arrivals()) {
            if (arrival.host != host || arrival.arrived <= acknowledged)
                continue;
            last = std::max(last, arrival.arrived);
            if (arrival.sent <= acknowledged + Milliseconds(bounds.drainMs)
                || arrival.balancer == lab.balancers().back().name)
                continue;
            ++late;
            lab.note("DRAIN broken: " + describe(lab, arrival));
        }
        broken += late;
        lab.note("host " + host + ": last request came "
            + std::to_string(std::chrono::duration<double>(last - acknowledged).count())
            + " s after the acknowledgement, " + std::to_string(late) + " too late");
    }
    lab.note("DRAIN broken " + std::to_string(broken) + " times");
    co_return broken > 0 ? Broken : Held;
}

// The store comes back from an older copy while balancers are restarted in turn.
asio::awaitable<int> runRestore(Lab& lab)
{
    constexpr Bounds bounds {};
    const std::string address = "127.0.0.9";
    const RouteOptions oldRoute { .name = "r-old", .address = address, .port = servicePort, .service = "despacho" };
    const RouteOptions newRoute { .name = "r-new", .address = address, .port = servicePort + 1, .service = "despacho" };
    if (!lab.openNetwork({ "zone-a" }))
        co_return CouldNotRun;
    lab.store().put("config", "main", configOf(7, { oldRoute }));
    for (int number = 0; number < 4; ++number)
        lab.addHost({ .key = 0x100000 + lab.random()() % 0xfffff00000ULL,
            .service = "despacho",
            .zone = "zone-a",
            .address = {},
            .slots = 8,
            .work = Milliseconds(300) });
    for (int number = 0; number < 4; ++number)
        lab.addBalancer("zone-a", bounds);
    if (!co_await lab.waitUntilReady(Milliseconds(15000)))
        co_return CouldNotRun;
    lab.markStart();
    lab.note("balancers are ready, traffic starts");
    lab.startTraffic({ .zone = "zone-a",
        .route = oldRoute.name,
        .address = address,
        .port = oldRoute.port,
        .perSecond = 4,
        .requestsPerFlow = 20,
        .pause = Milliseconds(300) });
    co_await lab.sleep(Milliseconds(4000));
    lab.store().keepCopy();
    lab.note("the store's copy is of this time");
    lab.store().put("config", "main", configOf(8, { oldRoute, newRoute }));
    lab.note("configuration 8 with route r-new acknowledged");
    co_await lab.sleep(Milliseconds(1000));
    lab.startTraffic({ .zone = "zone-a",
        .route = newRoute.name,
        .address = address,
        .port = newRoute.port,
        .perSecond = 4,
        .requestsPerFlow = 20,
        .pause = Milliseconds(300) });
    co_await lab.sleep(Milliseconds(4000));
    const Milliseconds away(500);
    asio::co_spawn(lab.context(), lab.restartBalancer(0), asio::detached);
    co_await lab.sleep(Milliseconds(1300) - away);
    if (lab.options().trouble) {
        lab.store().goAway();
        lab.note("the store is away");
        co_await lab.sleep(away);
        lab.store().comeBackFromCopy();
        lab.note("the store is back, from the copy");
        co_await lab.sleep(Milliseconds(300));
        for (const auto& host : lab.hosts())
            host->writeAgain();
        lab.note("the hosts have written their entries again");
        co_await lab.sleep(Milliseconds(2700));
        lab.store().put("config", "main", configOf(8, { oldRoute, newRoute }));
        lab.note("the operator has written configuration 8 again");
    }
    co_await lab.sleep(Milliseconds(8000));
    lab.stopTraffic();
    co_await lab.sleep(Milliseconds(5000));
    noteCounts(lab);
    std::size_t waiting = 0;
    std::size_t atWork = 0;
    for (const SystemReset& reset : lab.systemResets()) {
        waiting += reset.waiting ? 1 : 0;
        atWork += reset.atWork ? 1 : 0;
        lab.note("FLOW broken: a balancer reset an open flow of route " + reset.route + " at "
            + std::to_string(lab.seconds(reset.time)) + (reset.waiting ? ", its client waited for an answer" : "")
            + (reset.atWork ? ", its host was at work on the request" : ""));
    }
    lab.note("FLOW broken " + std::to_string(lab.systemResets().size()) + " times, " + std::to_string(waiting)
        + " requests never answered, " + std::to_string(atWork) + " of them run");
    co_return lab.systemResets().empty() ? Held : Broken;
}

} // namespace lab
