#include "Lab.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab {

using asio::ip::tcp;
using asio::ip::udp;

Lab::Lab(asio::io_context& context, const Options& options)
    : m_context(context)
    , m_options(options)
    , m_random(options.seed)
    , m_store(*this)
    , m_start(Clock::now())
{
    m_record = std::fopen((options.folder + "/record.txt").c_str(), "w");
    std::string pattern = std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
    if (const char* folder = ::mkdtemp(pattern.data()))
        m_temporary = folder;
}

Lab::~Lab()
{
    endBalancers();
    if (std::getenv("KEEP_LOGS") == nullptr && !m_temporary.empty())
        std::filesystem::remove_all(m_temporary);
    if (m_record != nullptr)
        std::fclose(m_record);
}

std::string Lab::address(int third, int last) const
{
    return "127." + std::to_string(m_network) + "." + std::to_string(third) + "." + std::to_string(last);
}

double Lab::seconds(Time time) const { return std::chrono::duration<double>(time - m_start).count(); }

void Lab::note(const std::string& line) { std::fprintf(m_record, "%9.3f %s\n", seconds(Clock::now()), line.c_str()); }

bool Lab::openNetwork(const std::vector<std::string>& zones)
{
    if (m_record == nullptr || m_temporary.empty())
        return false;
    // A part of the loopback range in which the store's port is free.
    constexpr int firstNetwork = 20;
    constexpr int networks = 200;
    bool opened = false;
    for (int attempt = 0; attempt < networks && !opened; ++attempt) {
        m_network = firstNetwork + (::getpid() + attempt) % networks;
        boost::system::error_code ignored;
        opened = m_store.open(address(250, 1));
    }
    if (!opened)
        return false;
    for (std::size_t index = 0; index < zones.size(); ++index) {
        auto client = std::make_unique<ClientMachine>();
        client->zone = zones[index];
        const auto own = asio::ip::make_address_v4(address(200, static_cast<int>(index) + 1));
        client->address = own.to_uint();
        client->socket = std::make_unique<udp::socket>(m_context);
        boost::system::error_code error;
        client->socket->open(udp::v4(), error);
        if (!error)
            client->socket->bind(udp::endpoint(own, packetsPort), error);
        if (error)
            return false;
        asio::co_spawn(m_context, receive(*client), asio::detached);
        m_clients.push_back(std::move(client));
    }
    return true;
}

Host& Lab::addHost(HostOptions options, Milliseconds cold)
{
    options.address = address(100, static_cast<int>(m_hosts.size()) + 1);
    m_hosts.push_back(std::make_unique<Host>(*this, options, cold));
    if (!m_hosts.back()->open())
        note("host " + m_hosts.back()->name() + " cannot use its address");
    return *m_hosts.back();
}

std::string Lab::settingsOf(const Balancer& balancer, const Bounds& bounds) const
{
    // The same keys as in platform/settings.toml.
    std::string seeds;
    for (int number = 1; number <= 3; ++number)
        seeds += (seeds.empty() ? "\"" : ", \"") + address(1, number) + ":" + std::to_string(controlPort) + "\"";
    std::string text = "[balancer]\nid = \"" + balancer.name + "\"\ndata_centre = \"" + balancer.zone + "\"\n"
        + "[listen]\npackets = \"" + balancer.address + ":8172\"\nready = \"" + balancer.address
        + ":8167\"\nmetrics = \"" + balancer.address + ":9464\"\npeers = \"" + balancer.address
        + ":8166\"\nheartbeats = \"" + balancer.address + ":7720\"\nload_reports = \"" + balancer.address
        + ":7721\"\n[peers]\nseeds = [" + seeds + "]\n[store]\naddress = \"" + address(250, 1) + ":8169\"\n"
        + "[limits]\nmemory_mb = 256\n[bounds]\nconfig_in_force_ms = " + std::to_string(bounds.configMs)
        + "\ndrain_in_force_ms = " + std::to_string(bounds.drainMs) + "\n";
    if (bounds.evacuationMs > 0)
        text += "evacuation_in_force_ms = " + std::to_string(bounds.evacuationMs) + "\n";
    if (bounds.coldOver > 0)
        text += "warm_up_factor = " + std::to_string(bounds.coldOver)
            + "\nwarm_up_slack = " + std::to_string(bounds.coldSlack) + "\n";
    return text + "calm_window_ms = " + std::to_string(bounds.stableWindowMs)
        + "\nstop_seconds = " + std::to_string(bounds.graceS) + "\n";
}

void Lab::addBalancer(const std::string& zone, const Bounds& bounds)
{
    Balancer balancer;
    const int number = static_cast<int>(m_balancers.size()) + 1;
    balancer.name = "front-" + zone + "-" + std::to_string(number);
    balancer.zone = zone;
    balancer.address = address(1, number);
    balancer.number = asio::ip::make_address_v4(balancer.address).to_uint();
    std::ofstream(m_temporary + "/" + balancer.name + ".toml") << settingsOf(balancer, bounds);
    startProcess(balancer);
    m_balancers.push_back(balancer);
    asio::co_spawn(m_context, probe(m_balancers.size() - 1), asio::detached);
}

void Lab::startProcess(Balancer& balancer)
{
    const std::string log = m_temporary + "/" + balancer.name + ".log";
    const std::string variable = "ANVILWALK_CONFIG=" + m_temporary + "/" + balancer.name + ".toml";
    balancer.pid = ::fork();
    if (balancer.pid != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    // The sockets of the stand-ins stay here.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    std::array<char*, 2> arguments { const_cast<char*>(m_options.program.c_str()), nullptr };
    std::array<char*, 2> environment { const_cast<char*>(variable.c_str()), nullptr };
    ::execve(m_options.program.c_str(), arguments.data(), environment.data());
    ::_exit(127);
}

asio::awaitable<void> Lab::restartBalancer(std::size_t index)
{
    signalBalancer(m_balancers[index], SIGTERM);
    note("SIGTERM to " + m_balancers[index].name);
    while (::waitpid(m_balancers[index].pid, nullptr, WNOHANG) != m_balancers[index].pid)
        co_await sleep(Milliseconds(20));
    m_balancers[index].pid = 0;
    co_await sleep(Milliseconds(100));
    startProcess(m_balancers[index]);
    note(m_balancers[index].name + " started again");
}

void Lab::signalBalancer(Balancer& balancer, int signal)
{
    balancer.disturbed = true;
    if (balancer.pid > 0)
        ::kill(balancer.pid, signal);
}

bool Lab::anyBalancerEnded()
{
    bool ended = false;
    for (Balancer& balancer : m_balancers) {
        if (balancer.pid <= 0 || ::waitpid(balancer.pid, nullptr, WNOHANG) != balancer.pid)
            continue;
        balancer.pid = 0;
        if (!balancer.disturbed) {
            note("balancer " + balancer.name + " ended by itself");
            ended = true;
        }
    }
    return ended;
}

void Lab::endBalancers()
{
    for (Balancer& balancer : m_balancers) {
        if (balancer.pid > 0)
            ::kill(balancer.pid, SIGKILL);
    }
    for (Balancer& balancer : m_balancers) {
        if (balancer.pid > 0)
            ::waitpid(balancer.pid, nullptr, 0);
        balancer.pid = 0;
    }
}

asio::awaitable<void> Lab::sleep(Milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

asio::awaitable<bool> Lab::isReady(const Balancer& balancer)
{
    // A probe that takes longer counts as a miss.
    const auto shared = std::make_shared<tcp::socket>(m_context);
    tcp::socket& socket = *shared;
    asio::steady_timer timer(m_context, Milliseconds(400));
    timer.async_wait([shared](const boost::system::error_code& error) {
        boost::system::error_code ignored;
        if (!error)
            shared->close(ignored);
    });
    boost::system::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(balancer.address), readyPort);
    co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return false;
    const std::string request
        = "GET /api/ready HTTP/1.1\r\nHost: " + balancer.address + "\r\nConnection: close\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(request), asio::redirect_error(asio::use_awaitable, error));
    std::array<char, 512> buffer {};
    const std::size_t size
        = co_await socket.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    timer.cancel();
    co_return !error && std::string_view(buffer.data(), size).starts_with("HTTP/1.1 200");
}

asio::awaitable<void> Lab::probe(std::size_t index)
{
    for (;;) {
        const Balancer balancer = m_balancers[index];
        const bool ready = co_await isReady(balancer);
        Balancer& known = m_balancers[index];
        known.misses = ready ? 0 : known.misses + 1;
        if (ready)
            known.inRotation = true;
        else if (known.misses >= 2)
            known.inRotation = false;
        co_await sleep(Milliseconds(500));
    }
}

asio::awaitable<bool> Lab::waitUntilReady(Milliseconds time)
{
    const Time end = Clock::now() + time;
    while (Clock::now() < end) {
        bool all = true;
        for (const Balancer& balancer : m_balancers)
            all = all && balancer.inRotation;
        if (all)
            co_return true;
        co_await sleep(Milliseconds(50));
    }
    co_return false;
}

void Lab::startTraffic(const TrafficOptions& options)
{
    asio::co_spawn(m_context, runTraffic(options), asio::detached);
}

asio::awaitable<void> Lab::runTraffic(TrafficOptions options)
{
    ClientMachine* client = nullptr;
    for (const auto& known : m_clients) {
        if (known->zone == options.zone)
            client = known.get();
    }
    std::exponential_distribution<double> gap(options.perSecond);
    Time next = Clock::now();
    while (!m_stopping) {
        next += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap(m_random)));
        const auto wait = std::chrono::duration_cast<Milliseconds>(next - Clock::now());
        if (wait > Milliseconds(0))
            co_await sleep(wait);
        auto attempt = std::make_shared<Try>();
        attempt->id = m_nextTry++;
        attempt->zone = options.zone;
        attempt->route = options.route;
        attempt->started = Clock::now();
        attempt->sequence = m_random();
        attempt->key = { client->address, client->nextPort++, asio::ip::make_address_v4(options.address).to_uint(),
            options.port };
        if (client->nextPort < 2000)
            client->nextPort = 2000;
        m_flows[attempt->key] = attempt;
        m_tries[attempt->id] = attempt;
        asio::co_spawn(m_context, runTry(attempt, options, *client), asio::detached);
    }
}

namespace {

    Packet packetOf(const Try& attempt, std::uint8_t flags, std::uint32_t sequence, std::uint32_t ack)
    {
        const auto& [client, clientPort, service, servicePort] = attempt.key;
        return { .destination = service,
            .source = client,
            .destinationPort = servicePort,
            .sourcePort = clientPort,
            .sequence = sequence,
            .acknowledgement = ack,
            .flags = flags,
            .echo = attempt.echo };
    }

} // namespace

asio::awaitable<void> Lab::runTry(std::shared_ptr<Try> attempt, TrafficOptions options, ClientMachine& client)
{
    // Copies of the opening packet follow after 200 and 600 ms; the try ends after 1.4 s.
    constexpr std::array<int, 4> copyTimes { 0, 200, 600, 1400 };
    for (std::size_t copy = 0; copy + 1 < copyTimes.size() && !attempt->open && !attempt->ended; ++copy) {
        attempt->copiesSent.push_back(Clock::now());
        sendFromClient(client, packetOf(*attempt, Syn, attempt->sequence, static_cast<std::uint32_t>(copy)));
        const Time end = attempt->started + Milliseconds(copyTimes[copy + 1]);
        while (!attempt->open && !attempt->ended && Clock::now() < end)
            co_await sleep(Milliseconds(1));
    }
    if (!attempt->open) {
        attempt->ended = true;
        co_return;
    }
    std::uint32_t next = attempt->sequence + 1;
    sendFromClient(client, packetOf(*attempt, Ack, next, attempt->hostSequence));
    for (unsigned number = 0; number < options.requestsPerFlow && !m_stopping; ++number) {
        if (number > 0) {
            co_await sleep(options.pause);
            if (attempt->ended)
                co_return;
            // A request of its own on the same flow.
            auto further = std::make_shared<Try>(*attempt);
            further->id = m_nextTry++;
            further->answered = false;
            further->accepted = false;
            further->started = Clock::now();
            further->requestsBefore = number;
            attempt = further;
            m_flows[attempt->key] = attempt;
            m_tries[attempt->id] = attempt;
        }
        next += co_await sendRequest(attempt, options, client, next);
        if (attempt->ended || !attempt->answered)
            break;
    }
    const bool wasReset = attempt->ended;
    attempt->ended = true;
    if (!wasReset)
        sendFromClient(client, packetOf(*attempt, Fin | Ack, next, attempt->hostSequence));
}

asio::awaitable<std::uint32_t> Lab::sendRequest(
    std::shared_ptr<Try> attempt, TrafficOptions options, ClientMachine& client, std::uint32_t sequence)
{
    Packet request = packetOf(*attempt, Ack, sequence, attempt->hostSequence);
    request.data = "POST /r HTTP/1.1\r\nX-Anvilwalk-Attempt-Id: " + std::to_string(attempt->id)
        + "\r\nContent-Length: 0\r\n\r\n";
    Milliseconds pause(200);
    while (!attempt->answered && !attempt->ended && Clock::now() < attempt->started + options.deadline) {
        request.echo = attempt->echo;
        sendFromClient(client, request);
        const Time end = std::min(Clock::now() + pause, attempt->started + options.deadline);
        while (!attempt->answered && !attempt->ended && Clock::now() < end)
            co_await sleep(Milliseconds(1));
        pause = std::min(pause * 2, Milliseconds(1600));
    }
    co_return static_cast<std::uint32_t>(request.data.size());
}

void Lab::sendFromClient(ClientMachine& client, const Packet& packet)
{
    // The routers: a hash over the balancers of the zone that are in rotation; all of the zone's if less than half are.
    std::vector<const Balancer*> zone;
    std::vector<const Balancer*> inRotation;
    for (const Balancer& balancer : m_balancers) {
        if (balancer.zone != client.zone)
            continue;
        zone.push_back(&balancer);
        if (balancer.inRotation)
            inRotation.push_back(&balancer);
    }
    const auto& chosen = inRotation.size() * 2 < zone.size() ? zone : inRotation;
    const std::size_t hash = (packet.source ^ packet.destination) * 2654435761U
        + (packet.sourcePort * 40503U ^ packet.destinationPort) * 2246822519U;
    const Balancer& balancer = *chosen[(hash >> 8) % chosen.size()];
    boost::system::error_code error;
    client.socket->send_to(
        asio::buffer(encode(packet)), udp::endpoint(asio::ip::address_v4(balancer.number), packetsPort), 0, error);
}

asio::awaitable<void> Lab::receive(ClientMachine& client)
{
    std::array<char, 2048> buffer {};
    for (;;) {
        udp::endpoint sender;
        boost::system::error_code error;
        const std::size_t size = co_await client.socket->async_receive_from(
            asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        Packet packet;
        if (!error && decode(buffer.data(), size, packet))
            handleAtClient(client, packet);
    }
}

void Lab::handleAtClient(ClientMachine&, const Packet& packet)
{
    const auto attempt = findTry({ packet.destination, packet.destinationPort, packet.source, packet.sourcePort });
    if (attempt == nullptr || attempt->ended)
        return;
    if ((packet.flags & Rst) != 0) {
        attempt->ended = true;
        // Hosts send resets with a sum of their own.
        if (packet.sum != 0 || !attempt->open)
            return;
        for (const auto& host : m_hosts) {
            if (!host->holds(attempt->key))
                continue;
            m_systemResets.push_back({ .route = attempt->route,
                .key = attempt->key,
                .time = Clock::now(),
                .waiting = !attempt->answered,
                .atWork = host->worksOn(attempt->key) });
        }
        return;
    }
    if (packet.sum != sumOf(packet)) {
        onForgedPacket("client got a packet that its sender did not write so");
        return;
    }
    if ((packet.flags & Syn) != 0) {
        if (attempt->open)
            return;
        // What it acknowledges next.
        attempt->hostSequence = packet.sequence + 1;
        attempt->echo = packet.echo;
        attempt->open = true;
        return;
    }
    attempt->echo = packet.echo;
    if (!packet.data.empty() && packet.sequence == attempt->hostSequence) {
        attempt->hostSequence += static_cast<std::uint32_t>(packet.data.size());
        attempt->answered = true;
    }
}

void Lab::onArrival(Arrival arrival) { m_arrivals.push_back(std::move(arrival)); }

void Lab::onForgedPacket(const std::string& what)
{
    ++m_forged;
    note(what);
}

std::shared_ptr<Try> Lab::findTry(const FlowKey& key) const
{
    const auto found = m_flows.find(key);
    return found == m_flows.end() ? nullptr : found->second;
}

std::string Lab::balancerName(std::uint32_t address) const
{
    for (const Balancer& balancer : m_balancers) {
        if (balancer.number == address)
            return balancer.name;
    }
    return "unknown";
}

} // namespace lab
