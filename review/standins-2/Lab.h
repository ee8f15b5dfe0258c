#pragma once

// Before boost/asio.hpp, which uses std::exchange.
#include <utility>

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

// Stand-ins for the users' platform, written for review/6 to review/10: its store, hosts, clients, routers and operator
// in one process, and the balancers as processes of their own.
namespace lab {

namespace asio = boost::asio;
using json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

// Header of a packet as the users' pages describe it.
struct Packet {
    std::uint32_t destination = 0;
    std::uint32_t source = 0;
    std::uint16_t destinationPort = 0;
    std::uint16_t sourcePort = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint8_t flags = 0;
    std::uint32_t echo = 0;
    std::string data {};
    std::uint32_t sum = 0;
};

enum Flag : std::uint8_t { Ack = 8, Rst = 16, Syn = 64, Fin = 128 };

std::string encode(const Packet&);
bool decode(const char* bytes, std::size_t size, Packet&);
// The sum over what only the two ends of a flow may write.
std::uint32_t sumOf(const Packet&);

// Client address and port, service address and port.
using FlowKey = std::tuple<std::uint32_t, std::uint16_t, std::uint32_t, std::uint16_t>;

struct Bounds {
    int configMs = 3000;
    int drainMs = 3000;
    // 0: operators do not evacuate zones.
    int evacuationMs = 0;
    double coldOver = 0;
    double coldSlack = 0;
    int stableWindowMs = 4000;
    int graceS = 6;
};

struct Options {
    std::string caseName;
    std::string folder;
    std::string program;
    bool trouble = true;
    unsigned seed = 1;
};

class Lab;

// The platform's store: lists and watches over HTTP/1.1.
class Store {
public:
    explicit Store(Lab&);
    bool open(const std::string& address);
    // Both return the revision of the change.
    std::uint64_t put(const std::string& kind, const std::string& name, const json& spec);
    std::uint64_t remove(const std::string& kind, const std::string& name);
    // Connections that are open now and carried nothing for at least this long transport nothing any more; they are not
    // closed. New ones work. Returns their number.
    std::size_t silenceOpenConnections(Milliseconds idleFor = Milliseconds(0));
    // A drill: keeps a copy; goes away; comes back from the copy, with the revisions of the copy and a higher era.
    void keepCopy();
    void goAway();
    void comeBackFromCopy();
    std::size_t callsOnSilentConnections() const { return m_callsOnSilentConnections; }

private:
    struct Object {
        json spec;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        json object;
        bool deleted = false;
    };

    struct Connection {
        bool silent = false;
        bool waiting = false;
        Time lastUse;
    };

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(asio::ip::tcp::socket, std::shared_ptr<Connection>);
    asio::awaitable<std::string> answer(const std::string& target);
    static json bodyOf(const std::string& name, const Object&);

    Lab& m_lab;
    asio::ip::tcp::acceptor m_acceptor;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Change> m_changes;
    std::uint64_t m_revision = 100;
    std::map<std::string, std::map<std::string, Object>> m_copy;
    std::uint64_t m_copyRevision = 0;
    int m_era = 1;
    bool m_away = false;
    // Connections from before the store went away are cut.
    int m_awayCount = 0;
    // History begins here.
    std::uint64_t m_historyFrom = 0;
    std::vector<std::weak_ptr<Connection>> m_connections;
    std::size_t m_callsOnSilentConnections = 0;
};

struct HostOptions {
    std::uint64_t key = 0;
    std::string service;
    std::string zone;
    std::string address;
    unsigned slots = 3;
    // Time that one request takes.
    Milliseconds work { 20 };
    // Requests a second that it bears while it is cold; 0: as many as when warm.
    double coldPerSecond = 0;
};

// One run of a host of the users' platform.
class Host {
public:
    Host(Lab&, const HostOptions&, Milliseconds cold);
    bool open();
    const HostOptions& options() const { return m_options; }
    std::string name() const;
    bool holds(const FlowKey& key) const { return m_flows.contains(key); }
    bool worksOn(const FlowKey&) const;
    bool isCold() const { return Clock::now() < m_coldUntil; }
    Time coldUntil() const { return m_coldUntil; }
    // The same run becomes cold, as hosts of an evacuated zone do.
    void becomeCold(Milliseconds time);
    // Writes its entry, if more than its sequence has changed.
    void announce();
    void drain();
    // Writes its entry also if nothing has changed, as after a restore of the store.
    void writeAgain();
    std::string state() const { return m_draining ? "draining" : "ready"; }

private:
    struct Flow {
        std::uint32_t sequence = 0;
        std::uint32_t echo = 0;
        std::uint32_t openedThrough = 0;
        unsigned copy = 0;
        Time openingArrived;
        bool open = false;
        // The id of the request that it works on; 0 if none.
        std::uint64_t working = 0;
        std::uint32_t nextFromClient = 0;
        std::uint32_t nextToClient = 0;
        std::string response;
    };

    asio::awaitable<void> receive();
    asio::awaitable<void> heartbeat();
    asio::awaitable<void> work();
    void handle(const Packet&, std::uint32_t balancer);
    void handleRequest(const FlowKey&, Flow&, const Packet&);
    void send(const FlowKey&, std::uint8_t flags, std::uint32_t sequence, std::uint32_t ack, std::uint32_t echo,
        const std::string& data = {});

    Lab& m_lab;
    HostOptions m_options;
    std::uint64_t m_bornMs;
    Time m_coldUntil;
    bool m_draining = false;
    std::uint64_t m_sequence = 0;
    json m_written;
    asio::ip::udp::socket m_socket;
    std::map<FlowKey, Flow> m_flows;
    std::deque<FlowKey> m_queue;
    std::mt19937 m_random;
};

struct Balancer {
    std::string name;
    std::string zone;
    std::string address;
    std::uint32_t number = 0;
    int pid = 0;
    bool inRotation = false;
    int misses = 0;
    // A signal was sent to it.
    bool disturbed = false;
};

// A client's try: one flow with one request.
struct Try {
    std::uint64_t id = 0;
    FlowKey key;
    std::string zone;
    std::string route;
    Time started;
    std::vector<Time> copiesSent;
    std::uint32_t sequence = 0;
    std::uint32_t hostSequence = 0;
    std::uint32_t echo = 0;
    bool open = false;
    bool answered = false;
    bool ended = false;
    bool accepted = false;
    // Requests before this one on the same flow.
    unsigned requestsBefore = 0;
};

// A reset that a balancer sent on a flow which its host holds.
struct SystemReset {
    std::string route;
    FlowKey key;
    Time time;
    // The client was waiting for an answer on the flow, and gets none.
    bool waiting = false;
    // The host was at work on that request.
    bool atWork = false;
};

// The opening packet of a request, as the host saw it that took it.
struct Arrival {
    std::uint64_t id = 0;
    std::string host;
    std::string hostZone;
    std::string service;
    std::string route;
    std::string balancer;
    Time sent;
    Time arrived;
    bool hostCold = false;
};

struct TrafficOptions {
    std::string zone;
    std::string route;
    std::string address;
    std::uint16_t port = 0;
    double perSecond = 10;
    // A flow carries so many requests, with pauses between them.
    unsigned requestsPerFlow = 1;
    Milliseconds pause { 0 };
    // A client gives a request up after this time.
    Milliseconds deadline { 4000 };
};

class Lab {
public:
    Lab(asio::io_context&, const Options&);
    ~Lab();

    asio::io_context& context() { return m_context; }
    Store& store() { return m_store; }
    const Options& options() const { return m_options; }
    std::mt19937& random() { return m_random; }
    std::string address(int third, int last) const;
    const std::vector<Arrival>& arrivals() const { return m_arrivals; }
    std::vector<Balancer>& balancers() { return m_balancers; }
    std::vector<std::unique_ptr<Host>>& hosts() { return m_hosts; }
    const std::map<std::uint64_t, std::shared_ptr<Try>>& tries() const { return m_tries; }
    const std::vector<SystemReset>& systemResets() const { return m_systemResets; }

    bool openNetwork(const std::vector<std::string>& zones);
    Host& addHost(HostOptions, Milliseconds cold = Milliseconds(0));
    void addBalancer(const std::string& zone, const Bounds&);
    void signalBalancer(Balancer&, int signal);
    // Stops a balancer with SIGTERM and starts it again once it has ended.
    asio::awaitable<void> restartBalancer(std::size_t index);
    // Returns false if not all balancers are ready in time.
    asio::awaitable<bool> waitUntilReady(Milliseconds);
    asio::awaitable<void> sleep(Milliseconds);
    void startTraffic(const TrafficOptions&);
    void stopTraffic() { m_stopping = true; }
    bool anyBalancerEnded();

    // Writes a line with the time since the start of traffic into the record.
    void note(const std::string&);
    double seconds(Time) const;
    void markStart() { m_start = Clock::now(); }

    void onArrival(Arrival);
    void onForgedPacket(const std::string& what);
    // What a client sent of a flow.
    std::shared_ptr<Try> findTry(const FlowKey&) const;
    std::string balancerName(std::uint32_t address) const;
    std::size_t forgedPackets() const { return m_forged; }
    void endBalancers();

private:
    struct ClientMachine {
        std::string zone;
        std::uint32_t address = 0;
        std::unique_ptr<asio::ip::udp::socket> socket;
        std::uint16_t nextPort = 2000;
    };

    asio::awaitable<void> probe(std::size_t index);
    asio::awaitable<bool> isReady(const Balancer&);
    asio::awaitable<void> runTraffic(TrafficOptions);
    asio::awaitable<void> runTry(std::shared_ptr<Try>, TrafficOptions, ClientMachine&);
    // Sends one request until it is answered, reset or given up. Returns its size.
    asio::awaitable<std::uint32_t> sendRequest(
        std::shared_ptr<Try>, TrafficOptions, ClientMachine&, std::uint32_t sequence);
    asio::awaitable<void> receive(ClientMachine&);
    void handleAtClient(ClientMachine&, const Packet&);
    void sendFromClient(ClientMachine&, const Packet&);
    std::string settingsOf(const Balancer&, const Bounds&) const;
    void startProcess(Balancer&);

    asio::io_context& m_context;
    Options m_options;
    std::mt19937 m_random;
    int m_network = 0;
    std::string m_temporary;
    Store m_store;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<Balancer> m_balancers;
    std::vector<std::unique_ptr<ClientMachine>> m_clients;
    std::map<FlowKey, std::shared_ptr<Try>> m_flows;
    std::map<std::uint64_t, std::shared_ptr<Try>> m_tries;
    std::vector<Arrival> m_arrivals;
    std::vector<SystemReset> m_systemResets;
    std::FILE* m_record = nullptr;
    Time m_start;
    std::uint64_t m_nextTry = 1;
    std::size_t m_forged = 0;
    bool m_stopping = false;
};

inline constexpr std::uint16_t packetsPort = 8172;
inline constexpr std::uint16_t readyPort = 8167;
inline constexpr std::uint16_t controlPort = 8166;
inline constexpr std::uint16_t storePort = 8169;
inline constexpr std::uint16_t hostPort = 8080;
inline constexpr int heartbeatMs = 770;

enum ExitCode : int { Held = 0, Broken = 1, CouldNotRun = 2 };

} // namespace lab
