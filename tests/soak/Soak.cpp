#include "Soak.h"

#include "Delay.h"

#include <algorithm>
#include <fmt/format.h>

namespace anvilwalk::soak {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr std::array<std::string_view, static_cast<std::size_t>(Sabotage::Count)> sabotageNames { "none",
        "reset-flow", "stray-packet", "wrong-service", "run-twice", "change-byte", "hide-drains", "hide-configs",
        "end-balancer", "stay-cut" };

    constexpr std::chrono::milliseconds processInterval { 50 };
    constexpr std::chrono::milliseconds restartDelay { 400 };
    // Time in which requests must be answered, after the recovery.
    constexpr std::chrono::milliseconds measuredTime { 4000 };
    // Time for the requests in progress to end.
    constexpr std::chrono::milliseconds closingTime { 1500 };
    constexpr std::size_t seedCount = 3;
    // One packet of this many is harmed by a sabotage.
    constexpr std::uint64_t sabotageEvery = 200;
    // Caller number of the socket that forges packets.
    constexpr std::size_t intruderNumber = 240;

    const std::vector<std::string> dataCentres { "lima-a", "lima-b", "lima-c" };

    const SoakService board { .name = ServiceName("board"), .address = { .address = { 0xc6120001 }, .port = 8443 } };
    const SoakService photos { .name = ServiceName("photos"), .address = { .address = { 0xc6120002 }, .port = 8443 } };

} // namespace

std::string_view toString(Sabotage sabotage) { return sabotageNames[static_cast<std::size_t>(sabotage)]; }

std::optional<Sabotage> parseSabotage(std::string_view name)
{
    const auto found = std::find(sabotageNames.begin(), sabotageNames.end(), name);
    if (found == sabotageNames.end())
        return std::nullopt;
    return static_cast<Sabotage>(found - sabotageNames.begin());
}

Soak::Soak(asio::io_context& context, const SoakOptions& options)
    : m_context(context)
    , m_options(options)
    , m_network { .number = options.network }
    , m_start(std::chrono::steady_clock::now())
    , m_promises(PromiseBounds {}, m_start)
    , m_store(context, m_network.store(), m_objects)
    , m_balancers(options.balancers)
    , m_fabric(context, m_network, options.balancers, options.seed,
          [this](std::size_t caller, std::span<const std::uint8_t> bytes, const Ipv4Endpoint& balancer) {
              send(caller, bytes, balancer);
          })
    , m_hosts(context,
          { .dataCentres = dataCentres,
              .seed = options.seed,
              .hideDrains = options.sabotage == Sabotage::HideDrains,
              .runTwice = options.sabotage == Sabotage::RunTwice },
          m_network, m_objects, m_promises, *this)
    , m_faults(context,
          { .balancers = m_balancers,
              .fabric = m_fabric,
              .store = m_store,
              .objects = m_objects,
              .hosts = m_hosts,
              .promises = m_promises },
          options.seed)
    , m_operator(
          context, operatorOptions(), m_network, options.balancers, m_objects, m_promises, m_fabric,
          [this](std::size_t balancer) { return probedRun(balancer); }, [this] { return m_faults.isStoreCalm(); })
    , m_processes(context, processInterval, [this] { watchProcesses(); })
{
    createBalancers();
    createUsers();
}

OperatorOptions Soak::operatorOptions() const
{
    OperatorOptions options { .services = { board, photos },
        .caller = m_options.callers,
        .seed = m_options.seed,
        .hideConfigs = m_options.sabotage == Sabotage::HideConfigs };
    if (m_options.sabotage == Sabotage::WrongService)
        std::swap(options.services[0].name, options.services[1].name);
    return options;
}

void Soak::createBalancers()
{
    for (std::size_t index = 0; index < m_options.balancers; ++index) {
        std::vector<std::size_t> seeds;
        for (std::size_t seed = 0; seed < std::min(seedCount, m_options.balancers); ++seed)
            seeds.push_back(seed * m_options.balancers / seedCount);
        BalancerPlace& place = m_balancers[index];
        place.process = std::make_unique<BalancerProcess>(BalancerProcessOptions { .program = m_options.program,
            .folder = m_options.folder,
            .number = index,
            .dataCentre = dataCentres[index % dataCentres.size()],
            .network = m_network,
            .seeds = std::move(seeds) });
        place.proxy = std::make_unique<StoreProxy>(m_context, m_network.storeProxy(index), m_network.store());
        startBalancer(place);
    }
}

void Soak::createUsers()
{
    for (std::size_t host = 0; host < m_options.boardHosts; ++host)
        m_hosts.add(board.name);
    for (std::size_t host = 0; host < m_options.photoHosts; ++host)
        m_hosts.add(photos.name);
    constexpr std::uint32_t boardRequests = 40;
    const std::vector<UserHabit> habits {
        { .service = board.name, .address = board.address, .requestsPerFlow = boardRequests },
        { .service = board.name, .address = board.address, .idempotent = false },
        { .service = photos.name, .address = photos.address, .idempotent = false },
        { .service = board.name, .address = board.address, .requestsPerFlow = boardRequests, .idempotent = false },
    };
    for (std::size_t number = 0; number < m_options.callers; ++number) {
        const std::uint64_t seed = hashText(fmt::format("caller {}", number), m_options.seed);
        PacketSink& network = *this;
        m_callers.push_back(std::make_unique<Caller>(m_context,
            CallerOptions { .number = number, .endpoint = m_network.caller(number), .seed = seed }, m_promises,
            network));
        for (std::size_t user = 0; user < m_options.usersPerCaller; ++user)
            m_callers.back()->addUser(habits[user % habits.size()]);
    }
}

void Soak::startBalancer(BalancerPlace& place)
{
    place.run = BalancerRun(++m_runs);
    place.process->start();
    m_promises.noteDisturbed(place.run, std::chrono::steady_clock::now());
}

void Soak::watchProcesses()
{
    for (BalancerPlace& place : m_balancers) {
        const auto end = place.process->takeEnd();
        if (!end || m_ending)
            continue;
        if (!end->expected)
            m_promises.balancerEnded(place.process->name(), end->how, std::chrono::steady_clock::now());
        runAfter(m_context, restartDelay, [this, &place] {
            if (!m_ending)
                startBalancer(place);
        });
    }
}

std::size_t Soak::indexOf(const Ipv4Endpoint& balancer) const
{
    std::size_t index = 0;
    while (index < m_balancers.size() && m_network.packets(index) != balancer)
        ++index;
    return index;
}

BalancerRun Soak::runAt(const Ipv4Endpoint& balancer) const
{
    const std::size_t index = indexOf(balancer);
    return index < m_balancers.size() ? m_balancers[index].run : BalancerRun();
}

bool Soak::reachesHosts(const Ipv4Endpoint& balancer) const
{
    const std::size_t index = indexOf(balancer);
    return index >= m_balancers.size() || !m_fabric.harm(index).cutOut;
}

std::optional<BalancerRun> Soak::probedRun(std::size_t balancer) const
{
    const BalancerPlace& place = m_balancers[balancer];
    if (!place.process->isRunning() || !m_fabric.isInRotation(balancer))
        return std::nullopt;
    return place.run;
}

void Soak::send(std::size_t caller, std::span<const std::uint8_t> bytes, const Ipv4Endpoint& balancer)
{
    if (caller < m_callers.size())
        m_callers[caller]->sendFrom(bytes, balancer);
    else
        m_operator.sendFrom(bytes, balancer);
}

void Soak::deliver(std::size_t caller, const FlowKey& key, std::vector<std::uint8_t> packet)
{
    if (++m_packets % sabotageEvery == 0)
        sabotagePacket(caller, key, packet);
    m_fabric.carry(caller, key, std::move(packet));
}

void Soak::sabotagePacket(std::size_t caller, const FlowKey& key, std::vector<std::uint8_t>& packet)
{
    const auto fields = decode(packet);
    if (!fields || fields->payload.empty() || m_hosts.hosts().empty())
        return;
    if (m_options.sabotage == Sabotage::ChangeByte) {
        packet.back() ^= 1U;
    } else if (m_options.sabotage == Sabotage::ResetFlow) {
        WirePacket reset { .source = key.destination,
            .destination = key.source,
            .sourcePort = key.destinationPort,
            .destinationPort = key.sourcePort,
            .flags = Reset };
        std::vector<std::uint8_t> bytes = encode(reset);
        constexpr std::size_t checksumAt = 14;
        std::fill_n(bytes.begin() + checksumAt, sizeof(std::uint32_t), std::uint8_t { 0 });
        standins::PacketSocket intruder(m_context, m_network.caller(intruderNumber), [](auto, const auto&) {});
        intruder.send(bytes, m_network.caller(caller));
    } else if (m_options.sabotage == Sabotage::StrayPacket) {
        std::vector<std::uint8_t> bytes(hostPrefixBytes);
        bytes.insert(bytes.end(), packet.begin(), packet.end());
        standins::PacketSocket intruder(m_context, m_network.caller(intruderNumber), [](auto, const auto&) {});
        intruder.send(bytes, m_hosts.hosts()[m_packets % m_hosts.hosts().size()]->options().endpoint);
    } else if (m_options.sabotage == Sabotage::EndBalancer) {
        m_balancers.front().process->killUnannounced();
    }
}

asio::awaitable<void> Soak::playFaults()
{
    const std::vector<Fault> faults
        = makeSchedule({ .seed = m_options.seed, .length = m_options.faultTime, .pause = m_options.faultPause });
    std::chrono::milliseconds lastEnd { 0 };
    for (const Fault& fault : faults) {
        const auto passed
            = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_start);
        if (fault.at > passed)
            co_await pauseFor(m_context, fault.at - passed);
        m_faults.play(fault);
        lastEnd = std::max(lastEnd, fault.at + fault.duration);
    }
    const auto passed
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_start);
    if (lastEnd > passed)
        co_await pauseFor(m_context, lastEnd - passed);
    m_faults.endAll();
}

asio::awaitable<void> Soak::run()
{
    co_await playFaults();
    if (m_options.sabotage == Sabotage::StayCut) {
        for (std::size_t index = 0; index < m_balancers.size(); ++index)
            m_fabric.harm(index).cutIn = true;
    }
    co_await pauseFor(m_context, m_options.recoveryBound / 2);
    if (m_options.sabotage == Sabotage::HideDrains)
        m_hosts.drain(0);
    co_await pauseFor(m_context, m_options.recoveryBound / 2);
    for (const auto& caller : m_callers)
        caller->expectAnswers();
    co_await pauseFor(m_context, measuredTime);
    for (const auto& caller : m_callers)
        caller->stop();
    co_await pauseFor(m_context, closingTime);
    m_ending = true;
    m_context.stop();
}

nlohmann::json Soak::report() const
{
    nlohmann::json faults = nlohmann::json::object();
    for (const auto& [kind, count] : m_faults.played())
        faults[std::string(toString(kind))] = count;
    nlohmann::json checks = nlohmann::json::object();
    for (std::size_t index = 0; index < promiseCount; ++index)
        checks[std::string(toString(static_cast<Promise>(index)))] = m_promises.checks()[index];
    nlohmann::json breaches = nlohmann::json::array();
    for (const Breach& breach : m_promises.breaches())
        breaches.push_back(
            { { "promise", toString(breach.promise) }, { "seconds", breach.seconds }, { "what", breach.what } });
    CallerCounts counts;
    for (const auto& caller : m_callers) {
        counts.answered += caller->counts().answered;
        counts.failed += caller->counts().failed;
        counts.retried += caller->counts().retried;
    }
    return { { "seed", m_options.seed }, { "balancers", m_options.balancers }, { "balancer_runs", m_runs },
        { "answered", counts.answered }, { "failed", counts.failed }, { "retried", counts.retried },
        { "configurations", m_operator.published() }, { "store_calls", m_store.calls() },
        { "sabotage", toString(m_options.sabotage) }, { "faults", std::move(faults) }, { "checks", std::move(checks) },
        { "breaches", std::move(breaches) } };
}

std::string Soak::summary() const
{
    const nlohmann::json all = report();
    std::string text = fmt::format("seed {}: {} balancers, {} starts, {} requests answered, {} failed, {} "
                                   "configurations\n",
        m_options.seed, m_options.balancers, m_runs, all["answered"].get<std::uint64_t>(),
        all["failed"].get<std::uint64_t>(), m_operator.published());
    for (const Breach& breach : m_promises.breaches())
        text += fmt::format("  {:7.3f} s  {}: {}\n", breach.seconds, toString(breach.promise), breach.what);
    return text + (kept() ? "all promises were kept\n" : "a promise was broken\n");
}

} // namespace anvilwalk::soak
