// Stand-ins for the users' platform, hosts, clients and routers, for the cases of the review. One thread, one loop.
// Written without any code of the product, so that a fault of that code shows.
#pragma once

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace review {

using json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using namespace std::chrono_literals;

// Bounds of the site cordeles-hq.
constexpr auto stableWindow = 4000ms;
constexpr auto drainBound = 3000ms;
constexpr auto configBound = 3000ms;
constexpr auto heartbeat = 770ms;
// Slack for the measurement itself: the stand-ins run on the real clock of a busy machine.
constexpr auto measureSlack = 150ms;

enum ExitCode : int { Held = 0, Broken = 1, CannotRun = 2 };

inline int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// --- Record ---------------------------------------------------------------------------------------------------------

class Record {
public:
    explicit Record(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
        , m_start(Clock::now())
    {
        if (m_file == nullptr)
            throw std::runtime_error("cannot write " + path);
    }
    ~Record() { std::fclose(m_file); }
    double seconds(Time time) const { return std::chrono::duration<double>(time - m_start).count(); }
    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        char text[512];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        std::fprintf(m_file, "%9.4f %s\n", seconds(Clock::now()), text);
        std::fflush(m_file);
    }

private:
    std::FILE* m_file;
    Time m_start;
};

// --- Loop -----------------------------------------------------------------------------------------------------------

class Loop {
public:
    using Handler = std::function<void()>;

    void onReadable(int descriptor, Handler handler) { m_readers[descriptor] = std::move(handler); }
    void onWritable(int descriptor, Handler handler) { m_writers[descriptor] = std::move(handler); }
    void clearWritable(int descriptor) { m_writers.erase(descriptor); }
    void forget(int descriptor)
    {
        m_readers.erase(descriptor);
        m_writers.erase(descriptor);
    }
    void after(std::chrono::milliseconds delay, Handler handler)
    {
        m_timers.emplace(Clock::now() + delay, std::move(handler));
    }
    void every(std::chrono::milliseconds interval, Handler handler)
    {
        after(interval, [this, interval, handler] {
            handler();
            every(interval, handler);
        });
    }
    void runFor(std::chrono::milliseconds time)
    {
        const Time end = Clock::now() + time;
        while (Clock::now() < end)
            step(end);
    }

private:
    void step(Time end)
    {
        std::vector<pollfd> entries;
        for (const auto& [descriptor, handler] : m_readers)
            entries.push_back({ .fd = descriptor, .events = POLLIN, .revents = 0 });
        for (const auto& [descriptor, handler] : m_writers)
            entries.push_back({ .fd = descriptor, .events = POLLOUT, .revents = 0 });
        Time until = end;
        if (!m_timers.empty())
            until = std::min(until, m_timers.begin()->first);
        const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(until - Clock::now()).count();
        const timespec limit { .tv_sec = std::max<int64_t>(wait, 0) / 1'000'000,
            .tv_nsec = std::max<int64_t>(wait, 0) % 1'000'000 * 1000 };
        ::ppoll(entries.data(), entries.size(), &limit, nullptr);
        for (const pollfd& entry : entries) {
            if (entry.revents == 0)
                continue;
            auto& handlers = (entry.events & POLLOUT) != 0 ? m_writers : m_readers;
            const auto found = handlers.find(entry.fd);
            if (found == handlers.end())
                continue;
            const Handler handler = found->second;
            handler();
        }
        while (!m_timers.empty() && m_timers.begin()->first <= Clock::now()) {
            const Handler handler = std::move(m_timers.begin()->second);
            m_timers.erase(m_timers.begin());
            handler();
        }
    }

    std::map<int, Handler> m_readers;
    std::map<int, Handler> m_writers;
    std::multimap<Time, Handler> m_timers;
};

// --- Addresses and sockets ------------------------------------------------------------------------------------------

struct Endpoint {
    uint32_t address = 0;
    uint16_t port = 0;
    auto operator<=>(const Endpoint&) const = default;
};

inline std::string addressText(uint32_t address)
{
    char text[INET_ADDRSTRLEN];
    const in_addr raw { .s_addr = htonl(address) };
    ::inet_ntop(AF_INET, &raw, text, sizeof text);
    return text;
}
inline std::string text(const Endpoint& endpoint)
{
    return addressText(endpoint.address) + ":" + std::to_string(endpoint.port);
}
inline sockaddr_in raw(const Endpoint& endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(endpoint.address);
    return address;
}

// Throws if the address is taken.
inline int bound(int type, const Endpoint& endpoint)
{
    const int descriptor = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (type == SOCK_STREAM)
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = raw(endpoint);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        throw std::runtime_error("cannot bind " + text(endpoint));
    }
    return descriptor;
}

constexpr uint16_t packetPort = 8172;
constexpr uint16_t readyPort = 8167;
constexpr uint16_t controlPort = 8166;
constexpr uint16_t metricsPort = 9464;
constexpr uint16_t heartbeatPort = 7720;
constexpr uint16_t storePort = 8169;
constexpr uint16_t hostPort = 8080;

// Loopback addresses of one run, 127.N.x.y. N is drawn until a network is free.
struct Network {
    uint32_t number = 0;

    uint32_t at(uint32_t subnet, uint32_t place) const { return 127U << 24U | number << 16U | subnet << 8U | place; }
    Endpoint store() const { return { at(1, 1), storePort }; }
    Endpoint host(uint32_t place) const { return { at(2, place + 1), hostPort }; }
    uint32_t client(uint32_t place) const { return at(3, place + 1); }
    uint32_t balancer(uint32_t place) const { return at(4, place + 1); }

    static Network findFree()
    {
        std::mt19937 random(static_cast<unsigned>(::getpid()) ^ static_cast<unsigned>(unixMs()));
        for (int attempt = 0; attempt < 50; ++attempt) {
            const Network network { .number = static_cast<uint32_t>(20 + random() % 220) };
            try {
                ::close(bound(SOCK_STREAM, network.store()));
                for (uint32_t place = 0; place < 16; ++place) {
                    ::close(bound(SOCK_DGRAM, { network.balancer(place), packetPort }));
                    ::close(bound(SOCK_STREAM, { network.balancer(place), metricsPort }));
                }
                return network;
            } catch (const std::runtime_error&) {
                continue;
            }
        }
        throw std::runtime_error("no free loopback network");
    }
};

// --- Packets --------------------------------------------------------------------------------------------------------

constexpr uint8_t SYN = 64;
constexpr uint8_t ACK = 8;
constexpr uint8_t FIN = 128;
constexpr uint8_t RST = 16;
constexpr std::size_t headBytes = 32;

struct Packet {
    Endpoint destination;
    Endpoint source;
    uint32_t sum = 0;
    uint32_t seq = 0;
    uint32_t ack = 0;
    uint8_t flags = 0;
    uint32_t echo = 0;
    std::string data;

    bool has(uint8_t flag) const { return (flags & flag) != 0; }
    // A keyed sum over all fields but echo, pad and BOUNCED.
    uint32_t keyedSum() const
    {
        uint64_t hash = 0x9e3779b97f4a7c15ULL;
        const auto mix = [&hash](uint64_t value) {
            hash = (hash ^ value) * 0xff51afd7ed558ccdULL;
            hash ^= hash >> 29U;
        };
        for (const uint64_t value :
            { uint64_t(destination.address), uint64_t(destination.port), uint64_t(source.address),
                uint64_t(source.port), uint64_t(seq), uint64_t(ack), uint64_t(flags & ~32U), uint64_t(data.size()) })
            mix(value);
        for (const char byte : data)
            mix(static_cast<uint8_t>(byte));
        return static_cast<uint32_t>(hash >> 16U) | 1U;
    }
};

template <class Number> void store(std::string& bytes, std::size_t at, Number value)
{
    for (std::size_t index = 0; index < sizeof(Number); ++index)
        bytes[at + index] = static_cast<char>(value >> 8U * (sizeof(Number) - 1 - index));
}
template <class Number> Number load(const char* bytes)
{
    Number value = 0;
    for (std::size_t index = 0; index < sizeof(Number); ++index)
        value = static_cast<Number>(static_cast<uint64_t>(value) << 8U | static_cast<uint8_t>(bytes[index]));
    return value;
}

inline std::string encode(const Packet& packet)
{
    std::string bytes(headBytes, '\0');
    store<uint32_t>(bytes, 0, packet.destination.address);
    store<uint32_t>(bytes, 4, packet.source.address);
    store<uint16_t>(bytes, 8, packet.destination.port);
    store<uint16_t>(bytes, 10, packet.source.port);
    store<uint16_t>(bytes, 12, static_cast<uint16_t>(packet.data.size()));
    store<uint32_t>(bytes, 14, packet.keyedSum());
    store<uint32_t>(bytes, 18, packet.seq);
    store<uint32_t>(bytes, 22, packet.ack);
    bytes[26] = static_cast<char>(packet.flags);
    store<uint32_t>(bytes, 28, packet.echo);
    return bytes + packet.data;
}
inline std::optional<Packet> decode(const char* bytes, std::size_t size)
{
    if (size < headBytes || size != headBytes + load<uint16_t>(bytes + 12))
        return std::nullopt;
    return Packet { .destination = { load<uint32_t>(bytes), load<uint16_t>(bytes + 8) },
        .source = { load<uint32_t>(bytes + 4), load<uint16_t>(bytes + 10) },
        .sum = load<uint32_t>(bytes + 14),
        .seq = load<uint32_t>(bytes + 18),
        .ack = load<uint32_t>(bytes + 22),
        .flags = static_cast<uint8_t>(bytes[26]),
        .echo = load<uint32_t>(bytes + 28),
        .data = std::string(bytes + headBytes, size - headBytes) };
}

class PacketSocket {
public:
    using Receiver = std::function<void(const char*, std::size_t, const Endpoint&)>;
    PacketSocket(Loop& loop, const Endpoint& endpoint, Receiver receiver)
        : m_loop(loop)
        , m_descriptor(bound(SOCK_DGRAM, endpoint))
    {
        const int bytes = 4 << 20;
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
        loop.onReadable(m_descriptor, [this, receiver = std::move(receiver)] {
            char buffer[2048];
            for (int count = 0; count < 64; ++count) {
                sockaddr_in from {};
                socklen_t length = sizeof from;
                const ssize_t size
                    = ::recvfrom(m_descriptor, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &length);
                if (size < 0)
                    return;
                receiver(buffer, static_cast<std::size_t>(size), { ntohl(from.sin_addr.s_addr), ntohs(from.sin_port) });
            }
        });
    }
    ~PacketSocket()
    {
        m_loop.forget(m_descriptor);
        ::close(m_descriptor);
    }
    void send(const std::string& bytes, const Endpoint& to) const
    {
        const sockaddr_in address = raw(to);
        ::sendto(
            m_descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    }

private:
    Loop& m_loop;
    int m_descriptor;
};

// --- The platform's store -------------------------------------------------------------------------------------------

// The store over HTTP/1.1: lists and watches, at its present revision or, where a call allows it, at an earlier one.
class Store {
public:
    Store(Loop& loop, const Endpoint& endpoint)
        : m_loop(loop)
        , m_listener(bound(SOCK_STREAM, endpoint))
    {
        ::listen(m_listener, 128);
        loop.onReadable(m_listener, [this] { accept(); });
        loop.every(10ms, [this] { tick(); });
    }

    // A call of the operator or of a host. The return is the acknowledgement.
    uint64_t put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        Object& object = m_objects[kind][name];
        if (object.revision != 0 && object.spec == spec)
            return object.revision;
        object.spec = spec;
        object.revision = ++m_revision;
        if (object.created == 0)
            object.created = m_revision;
        m_history.push_back({ m_revision, Clock::now(), kind, name, object, false });
        tick();
        return m_revision;
    }
    void remove(const std::string& kind, const std::string& name)
    {
        const auto found = m_objects[kind].find(name);
        if (found == m_objects[kind].end())
            return;
        ++m_revision;
        m_history.push_back({ m_revision, Clock::now(), kind, name, found->second, true });
        m_objects[kind].erase(found);
        tick();
    }
    // While the store is down, calls get no answer; those that wait are answered when it is back.
    void setDown(bool down)
    {
        m_down = down;
        tick();
    }
    bool isDown() const { return m_down; }
    bool contains(const std::string& kind, const std::string& name) const
    {
        const auto found = m_objects.find(kind);
        return found != m_objects.end() && found->second.contains(name);
    }
    // Calls with stale_ok are answered with what was true this long ago.
    void setLag(std::chrono::milliseconds lag) { m_lag = lag; }
    // Open connections go silent for good; new ones work.
    std::size_t silenceOpen()
    {
        std::size_t count = 0;
        for (auto& [descriptor, connection] : m_connections) {
            if (connection->silent)
                continue;
            connection->silent = true;
            m_loop.forget(descriptor);
            ++count;
        }
        return count;
    }
    uint64_t calls() const { return m_calls; }

private:
    struct Object {
        std::string spec;
        uint64_t revision = 0;
        uint64_t created = 0;
    };
    struct Change {
        uint64_t revision;
        Time time;
        std::string kind;
        std::string name;
        Object object;
        bool deleted;
    };
    struct Connection {
        std::string input;
        std::string output;
        bool silent = false;
        bool watching = false;
        std::string kind;
        uint64_t from = 0;
        bool stale = false;
        Time deadline;
    };

    static std::string body(const std::string& name, const Object& object)
    {
        return R"({"meta":{"name":)" + json(name).dump() + R"(,"revision":)" + std::to_string(object.revision)
            + R"(,"created_rev":)" + std::to_string(object.created) + R"(,"finalizers":[],"deleting":false},"spec":)"
            + object.spec + R"(,"status":null})";
    }
    uint64_t visible(bool stale) const
    {
        if (!stale || m_lag == 0ms)
            return m_revision;
        uint64_t revision = 1;
        for (const Change& change : m_history) {
            if (Clock::now() - change.time >= m_lag)
                revision = change.revision;
        }
        return revision;
    }
    std::string list(const std::string& kind, const std::string& after, bool stale) const
    {
        const uint64_t revision = visible(stale);
        std::map<std::string, Object> objects;
        for (const Change& change : m_history) {
            if (change.kind != kind || change.revision > revision)
                continue;
            if (change.deleted)
                objects.erase(change.name);
            else
                objects[change.name] = change.object;
        }
        std::string items;
        for (const auto& [name, object] : objects) {
            if (name > after)
                items += (items.empty() ? "" : ",") + body(name, object);
        }
        return R"({"items":[)" + items + R"(],"more":false,"as_of":)" + std::to_string(revision) + "}";
    }
    std::pair<std::string, bool> changes(const std::string& kind, uint64_t from, bool stale) const
    {
        const uint64_t revision = visible(stale);
        std::string events;
        for (const Change& change : m_history) {
            if (change.kind != kind || change.revision <= from || change.revision > revision)
                continue;
            events += (events.empty() ? "" : ",")
                + (R"({"deleted":)" + std::string(change.deleted ? "true" : "false") + R"(,"object":)")
                + body(change.name, change.object) + "}";
        }
        return { R"({"events":[)" + events + R"(],"as_of":)" + std::to_string(std::max(revision, from)) + "}",
            !events.empty() };
    }
    void accept()
    {
        for (;;) {
            const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor < 0)
                return;
            m_connections[descriptor] = std::make_unique<Connection>();
            m_loop.onReadable(descriptor, [this, descriptor] { read(descriptor); });
        }
    }
    void drop(int descriptor)
    {
        m_loop.forget(descriptor);
        m_connections.erase(descriptor);
        ::close(descriptor);
    }
    void read(int descriptor)
    {
        Connection& connection = *m_connections.at(descriptor);
        char buffer[8192];
        const ssize_t size = ::recv(descriptor, buffer, sizeof buffer, 0);
        if (size <= 0) {
            if (size == 0 || (errno != EAGAIN && errno != EINTR))
                drop(descriptor);
            return;
        }
        connection.input.append(buffer, static_cast<std::size_t>(size));
        const std::size_t end = connection.input.find("\r\n\r\n");
        if (end == std::string::npos || connection.watching)
            return;
        const std::string line = connection.input.substr(0, connection.input.find("\r\n"));
        connection.input.erase(0, end + 4);
        handle(descriptor, connection, line);
    }
    static std::string parameter(const std::string& query, const std::string& name)
    {
        std::size_t at = 0;
        while (at < query.size()) {
            const std::size_t end = std::min(query.find('&', at), query.size());
            const std::string part = query.substr(at, end - at);
            if (part.starts_with(name + "="))
                return part.substr(name.size() + 1);
            at = end + 1;
        }
        return {};
    }
    void handle(int descriptor, Connection& connection, const std::string& line)
    {
        ++m_calls;
        if (m_down) {
            // A connection on which an answer is lost returns nothing further.
            connection.silent = true;
            m_loop.forget(descriptor);
            return;
        }
        const std::size_t begin = line.find(' ') + 1;
        const std::string target = line.substr(begin, line.rfind(' ') - begin);
        const std::size_t mark = target.find('?');
        const std::string path = target.substr(0, mark);
        const std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
        const std::string prefix = "/api/objects/";
        if (!line.starts_with("GET ") || !path.starts_with(prefix)) {
            respond(descriptor, connection, 404, "{}");
            return;
        }
        connection.kind = path.substr(prefix.size());
        connection.stale = parameter(query, "stale_ok") == "1";
        const std::string watch = parameter(query, "watch");
        if (watch.empty()) {
            // Names of this deployment need no decoding.
            respond(descriptor, connection, 200, list(connection.kind, parameter(query, "after"), connection.stale));
            return;
        }
        connection.from = std::stoull(watch);
        const std::string wait = parameter(query, "wait_ms");
        connection.deadline = Clock::now() + std::chrono::milliseconds(wait.empty() ? 0 : std::stoll(wait));
        connection.watching = true;
        tick();
    }
    void tick()
    {
        if (m_down)
            return;
        std::vector<int> descriptors;
        for (const auto& [descriptor, connection] : m_connections) {
            if (connection->watching && !connection->silent)
                descriptors.push_back(descriptor);
        }
        for (const int descriptor : descriptors) {
            Connection& connection = *m_connections.at(descriptor);
            const auto [answer, any] = changes(connection.kind, connection.from, connection.stale);
            if (!any && Clock::now() < connection.deadline)
                continue;
            connection.watching = false;
            respond(descriptor, connection, 200, answer);
        }
    }
    void respond(int descriptor, Connection& connection, int status, const std::string& content)
    {
        connection.output += "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error")
            + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(content.size()) + "\r\n\r\n"
            + content;
        write(descriptor);
    }
    void write(int descriptor)
    {
        Connection& connection = *m_connections.at(descriptor);
        const ssize_t size = ::send(descriptor, connection.output.data(), connection.output.size(), MSG_NOSIGNAL);
        if (size > 0)
            connection.output.erase(0, static_cast<std::size_t>(size));
        if (connection.output.empty())
            m_loop.clearWritable(descriptor);
        else
            m_loop.onWritable(descriptor, [this, descriptor] { write(descriptor); });
    }

    Loop& m_loop;
    int m_listener;
    uint64_t m_revision = 1;
    std::chrono::milliseconds m_lag { 0 };
    bool m_down = false;
    uint64_t m_calls = 0;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::deque<Change> m_history;
    std::map<int, std::unique_ptr<Connection>> m_connections;
};

// --- Balancers ------------------------------------------------------------------------------------------------------

// One process of the role in the deploy file, with the settings that its template gives for the site cordeles-hq.
class Balancer {
public:
    Balancer(const Network& network, uint32_t number, std::string zone, std::vector<uint32_t> seeds, std::string folder)
        : m_network(network)
        , m_number(number)
        , m_zone(std::move(zone))
        , m_seeds(std::move(seeds))
        , m_folder(std::move(folder))
    {
    }
    ~Balancer() { kill(); }
    std::string name() const { return "front-" + m_zone + "-" + std::to_string(m_number); }
    const std::string& zone() const { return m_zone; }
    uint32_t address() const { return m_network.balancer(m_number); }
    Endpoint packets() const { return { address(), packetPort }; }
    Endpoint ready() const { return { address(), readyPort }; }
    bool isRunning() const { return m_pid > 0; }
    Time startedAt() const { return m_startedAt; }

    void start()
    {
        const std::string settings = m_folder + "/" + name() + ".toml";
        writeSettings(settings);
        const std::string program = std::filesystem::absolute("target/bin/anvilwalk-edge").string();
        if (::access(program.c_str(), X_OK) != 0)
            throw std::runtime_error("the build of the deploy file has not made target/bin/anvilwalk-edge");
        const std::string log = m_folder + "/" + name() + ".log";
        const pid_t parent = ::getpid();
        m_startedAt = Clock::now();
        m_pid = ::fork();
        if (m_pid == 0) {
            // No balancer outlives the case, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
                ::_exit(127);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::close(output);
            ::setenv("ANVILWALK_CONFIG", settings.c_str(), 1);
            ::execl(program.c_str(), program.c_str(), nullptr);
            ::_exit(127);
        }
        if (m_pid < 0)
            throw std::runtime_error("cannot start " + name());
    }
    void terminate() const
    {
        if (isRunning())
            ::kill(m_pid, SIGTERM);
    }
    // Whether the process has ended since the last call.
    bool hasEnded()
    {
        if (!isRunning() || ::waitpid(m_pid, nullptr, WNOHANG) != m_pid)
            return false;
        m_pid = 0;
        return true;
    }
    void kill()
    {
        if (!isRunning())
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }

private:
    void writeSettings(const std::string& path) const
    {
        const std::string ip = addressText(address());
        std::string seeds;
        for (const uint32_t seed : m_seeds)
            seeds += (seeds.empty() ? "\"" : ", \"") + text({ m_network.balancer(seed), controlPort }) + "\"";
        std::ofstream file(path);
        file << "[balancer]\nid = \"" << name() << "\"\ndata_centre = \"" << m_zone << "\"\n\n[listen]\npackets = \""
             << text(packets()) << "\"\nready = \"" << text(ready()) << "\"\nmetrics = \"" << ip << ":" << metricsPort
             << "\"\npeers = \"" << ip << ":" << controlPort << "\"\nheartbeats = \"" << ip << ":" << heartbeatPort
             << "\"\n\n[peers]\nseeds = [" << seeds << "]\n\n[store]\naddress = \"" << text(m_network.store())
             << "\"\n\n[limits]\nmemory_mb = 260\n\n[bounds]\nconfig_in_force_ms = " << configBound.count()
             << "\ncalm_window_ms = " << stableWindow.count() << "\nstop_seconds = 6\n";
    }

    Network m_network;
    uint32_t m_number;
    std::string m_zone;
    std::vector<uint32_t> m_seeds;
    std::string m_folder;
    pid_t m_pid = 0;
    Time m_startedAt;
};

// --- Routers --------------------------------------------------------------------------------------------------------

// The platform's routers: probe each balancer twice a second, and choose by a hash modulo the balancers in rotation.
class Routers {
public:
    Routers(Loop& loop, std::vector<std::unique_ptr<Balancer>>& balancers, Record& record)
        : m_loop(loop)
        , m_balancers(balancers)
        , m_record(record)
        , m_states(balancers.size())
    {
        for (std::size_t number = 0; number < balancers.size(); ++number)
            loop.after(std::chrono::milliseconds(number * 37 % 500), [this, number] { probe(number); });
    }
    bool isReady(std::size_t number) const { return m_states[number].inRotation; }
    bool allReady() const
    {
        for (std::size_t number = 0; number < m_states.size(); ++number) {
            if (m_balancers[number]->isRunning() && !m_states[number].inRotation)
                return false;
        }
        return true;
    }
    std::size_t choose(const std::string& zone, const Endpoint& source, const Endpoint& destination) const
    {
        std::vector<std::size_t> all;
        std::vector<std::size_t> ready;
        for (std::size_t number = 0; number < m_balancers.size(); ++number) {
            if (m_balancers[number]->zone() != zone)
                continue;
            all.push_back(number);
            if (m_states[number].inRotation)
                ready.push_back(number);
        }
        const auto& used = ready.size() * 2 < all.size() ? all : ready;
        uint64_t hash = (uint64_t(source.address) << 16U | source.port) * 0x9e3779b97f4a7c15ULL;
        hash = (hash ^ (uint64_t(destination.address) << 16U | destination.port)) * 0xff51afd7ed558ccdULL;
        return used[(hash >> 33U) % used.size()];
    }

private:
    struct State {
        bool inRotation = false;
        int misses = 0;
        int descriptor = -1;
        bool answered = false;
        std::string input;
    };

    void probe(std::size_t number)
    {
        State& state = m_states[number];
        state.answered = false;
        state.input.clear();
        state.descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in address = raw(m_balancers[number]->ready());
        ::connect(state.descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        m_loop.onWritable(state.descriptor, [this, &state, number] {
            m_loop.clearWritable(state.descriptor);
            const std::string request = "GET /api/ready HTTP/1.1\r\nHost: " + text(m_balancers[number]->ready())
                + "\r\nConnection: close\r\n\r\n";
            ::send(state.descriptor, request.data(), request.size(), MSG_NOSIGNAL);
            m_loop.onReadable(state.descriptor, [this, &state] {
                char buffer[1024];
                const ssize_t size = ::recv(state.descriptor, buffer, sizeof buffer, 0);
                if (size > 0)
                    state.input.append(buffer, static_cast<std::size_t>(size));
                else
                    m_loop.forget(state.descriptor);
                state.answered = state.input.starts_with("HTTP/1.1 200");
            });
        });
        m_loop.after(450ms, [this, &state, number] {
            m_loop.forget(state.descriptor);
            ::close(state.descriptor);
            judge(number, state);
            m_loop.after(50ms, [this, number] { probe(number); });
        });
    }
    void judge(std::size_t number, State& state)
    {
        const bool was = state.inRotation;
        state.misses = state.answered ? 0 : state.misses + 1;
        if (state.answered)
            state.inRotation = true;
        else if (state.misses >= 2)
            state.inRotation = false;
        if (state.inRotation != was)
            m_record.line("routers: %s %s rotation", m_balancers[number]->name().c_str(), was ? "leaves" : "joins");
    }

    Loop& m_loop;
    std::vector<std::unique_ptr<Balancer>>& m_balancers;
    Record& m_record;
    std::vector<State> m_states;
};

// --- Hosts ----------------------------------------------------------------------------------------------------------

struct FlowName {
    Endpoint client;
    Endpoint service;
    auto operator<=>(const FlowName&) const = default;
};

// A host of a service: takes packets behind 8 bytes with its id, answers clients directly.
class Host {
public:
    // An opening packet arrived through the balancer at this address.
    std::function<void(Host&, const Packet&, uint32_t balancer)> onOpening;
    std::function<void(Host&, const std::string& id)> onRun;

    Host(Loop& loop, const Network& network, uint32_t place, std::string service, std::string zone, uint64_t key)
        : m_loop(loop)
        , m_endpoint(network.host(place))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_key(key)
        , m_born(unixMs())
        , m_socket(std::make_unique<PacketSocket>(loop, m_endpoint,
              [this](const char* bytes, std::size_t size, const Endpoint& from) { receive(bytes, size, from); }))
    {
    }
    std::string name() const
    {
        char text[32];
        std::snprintf(text, sizeof text, "i-%08llx", static_cast<unsigned long long>(m_key));
        return text;
    }
    std::string spec(const std::string& state) const
    {
        return json {
            { "service", m_service }, { "address", text(m_endpoint) }, { "zone", m_zone }, { "version", "v1" },
            { "slots", 3 }, { "state", state }, { "cold_remaining_ms", 0 }, { "sequence", 4 }, { "born", m_born }
        }.dump();
    }
    const std::string& service() const { return m_service; }
    bool isAlive() const { return m_socket != nullptr; }
    void drain() { m_draining = true; }
    void exit() { m_socket.reset(); }
    void setWork(std::chrono::milliseconds work) { m_work = work; }
    // Whether the host holds this flow open, and neither end has begun to close it.
    bool holds(const FlowName& name) const
    {
        const auto found = m_flows.find(name);
        return isAlive() && found != m_flows.end() && found->second.open && !found->second.finSent;
    }
    std::size_t requestsInProgress() const { return m_running.size(); }
    const std::set<std::string>& running() const { return m_running; }

private:
    struct Flow {
        uint32_t seq = 0;
        uint32_t next = 0;
        uint32_t echo = 0;
        bool open = false;
        bool finSent = false;
        uint32_t lastRequest = 0;
        bool hasRequest = false;
        bool answered = false;
        std::string id;
        std::string answer;
        uint32_t answerSeq = 0;
        uint32_t received = 0;
    };

    void receive(const char* bytes, std::size_t size, const Endpoint& from)
    {
        if (size < 8)
            return;
        const auto intended = load<uint64_t>(bytes);
        if (intended != 0 && intended != m_key)
            return;
        const auto packet = decode(bytes + 8, size - 8);
        if (!packet || packet->sum != packet->keyedSum())
            return;
        if (packet->has(SYN))
            handleOpening(*packet, from);
        else
            handlePacket(*packet);
    }
    void handleOpening(const Packet& packet, const Endpoint& from)
    {
        if (onOpening)
            onOpening(*this, packet, from.address);
        Flow& flow = m_flows[{ packet.source, packet.destination }];
        if (flow.seq == 0) {
            flow.seq = static_cast<uint32_t>(m_key * 2654435761U) ^ packet.seq;
            flow.next = flow.seq + 1;
            flow.received = packet.seq + 1;
        }
        flow.echo = packet.echo;
        send(packet, flow, SYN | ACK, flow.seq, {});
    }
    void handlePacket(const Packet& packet)
    {
        const FlowName name { packet.source, packet.destination };
        const auto found = m_flows.find(name);
        if (found == m_flows.end()) {
            if (!packet.has(RST)) {
                Flow none;
                none.echo = packet.echo;
                send(packet, none, RST, packet.ack, {});
            }
            return;
        }
        Flow& flow = found->second;
        flow.echo = packet.echo;
        if (!flow.open) {
            if (packet.ack != flow.seq + 1)
                return;
            flow.open = true;
        }
        if (packet.has(RST)) {
            m_flows.erase(found);
            return;
        }
        if (packet.has(FIN)) {
            send(packet, flow, ACK | FIN, flow.next, {});
            m_flows.erase(found);
            return;
        }
        if (!packet.data.empty())
            handleRequest(name, flow, packet);
    }
    void handleRequest(const FlowName& name, Flow& flow, const Packet& packet)
    {
        if (flow.hasRequest && packet.seq == flow.lastRequest) {
            if (flow.answered)
                sendAnswer(name, flow);
            return;
        }
        if (packet.seq != flow.received)
            return;
        flow.hasRequest = true;
        flow.lastRequest = packet.seq;
        flow.received = packet.seq + static_cast<uint32_t>(packet.data.size());
        flow.answered = false;
        flow.id = packet.data.substr(0, packet.data.find(' '));
        m_running.insert(flow.id);
        if (onRun)
            onRun(*this, flow.id);
        m_loop.after(m_work, [this, name, id = flow.id] {
            m_running.erase(id);
            const auto found = m_flows.find(name);
            if (!isAlive() || found == m_flows.end() || found->second.id != id)
                return;
            Flow& flow = found->second;
            flow.answered = true;
            flow.answer = id + " done";
            flow.answerSeq = flow.next;
            flow.next += static_cast<uint32_t>(flow.answer.size());
            // A host that drains closes each flow after its next response.
            flow.finSent = m_draining;
            sendAnswer(name, flow);
        });
    }
    void sendAnswer(const FlowName& name, const Flow& flow)
    {
        Packet to;
        to.source = name.client;
        to.destination = name.service;
        send(to, flow, static_cast<uint8_t>(ACK | (flow.finSent ? FIN : 0)), flow.answerSeq, flow.answer);
    }
    void send(const Packet& request, const Flow& flow, uint8_t flags, uint32_t seq, const std::string& data)
    {
        if (!isAlive())
            return;
        Packet packet { .destination = request.source, .source = request.destination, .data = data };
        packet.seq = seq;
        packet.ack = flow.received;
        packet.flags = flags;
        packet.echo = flow.echo;
        m_socket->send(encode(packet), { request.source.address, packetPort });
    }

    Loop& m_loop;
    Endpoint m_endpoint;
    std::string m_service;
    std::string m_zone;
    uint64_t m_key;
    int64_t m_born;
    bool m_draining = false;
    std::chrono::milliseconds m_work { 50 };
    std::map<FlowName, Flow> m_flows;
    std::set<std::string> m_running;
    std::unique_ptr<PacketSocket> m_socket;
};

// --- Clients --------------------------------------------------------------------------------------------------------

// A client machine of a zone. Opens flows and sends requests on them.
class Client {
public:
    enum class End { Finished, NotOpened, Reset, ResetBySystem, Deadline };
    struct Flow {
        Endpoint source;
        Endpoint service;
        uint32_t seq = 0;
        uint32_t ack = 0;
        uint32_t echo = 0;
        bool open = false;
        bool ended = false;
        int copies = 0;
        // Balancer that the flow is sent to; none: the routers choose for each packet.
        std::optional<std::size_t> through;
        int requestsLeft = 1;
        std::chrono::milliseconds pause { 0 };
        std::string id;
        // The id of its request, if it is known before the flow opens.
        std::string fixedId;
        std::string request;
        std::chrono::milliseconds repeat { 200 };
        Time deadline;
        Time sentAt;
        uint64_t round = 0;
        std::function<void(Flow&, End)> onEnd;
        FlowName name() const { return { source, service }; }
    };
    using FlowPointer = std::shared_ptr<Flow>;
    // A reset of the system's own reached this flow, which was open for the client.
    std::function<void(Flow&)> onSystemReset;
    std::function<void(const Flow&)> onAnswer;

    Client(Loop& loop, const Network& network, Routers& routers, std::vector<std::unique_ptr<Balancer>>& balancers,
        uint32_t place, std::string zone)
        : m_loop(loop)
        , m_address(network.client(place))
        , m_routers(routers)
        , m_balancers(balancers)
        , m_zone(std::move(zone))
        , m_random(place + 1)
        , m_socket(loop, { m_address, packetPort },
              [this](const char* bytes, std::size_t size, const Endpoint&) { receive(bytes, size); })
    {
    }
    FlowPointer open(const Endpoint& service, int requests, std::chrono::milliseconds pause,
        std::optional<std::size_t> through = std::nullopt, std::function<void(Flow&, End)> onEnd = nullptr)
    {
        do
            m_nextPort = m_nextPort >= 60000 ? 1024 : static_cast<uint16_t>(m_nextPort + 1);
        while (m_flows.contains(m_nextPort));
        auto flow = std::make_shared<Flow>();
        flow->source = { m_address, m_nextPort };
        flow->service = service;
        flow->seq = static_cast<uint32_t>(m_random());
        flow->through = through;
        flow->requestsLeft = requests;
        flow->pause = pause;
        flow->sentAt = Clock::now();
        flow->onEnd = std::move(onEnd);
        m_flows[m_nextPort] = flow;
        sendOpening(flow);
        return flow;
    }
    // Opens a flow with one request through this balancer and returns the id that the request will have.
    std::string openNext(const Endpoint& service, std::size_t through)
    {
        const FlowPointer flow = open(service, 1, 0ms, through);
        flow->fixedId = addressText(m_address).substr(4) + "#x" + std::to_string(++m_requests);
        return flow->fixedId;
    }
    const std::string& zone() const { return m_zone; }
    std::size_t openFlows() const { return m_flows.size(); }

private:
    void transmit(const Flow& flow, uint8_t flags, uint32_t seq, uint32_t ack, const std::string& data)
    {
        Packet packet { .destination = flow.service, .source = flow.source, .data = data };
        packet.seq = seq;
        packet.ack = ack;
        packet.flags = flags;
        packet.echo = (flags & SYN) != 0 ? 0 : flow.echo;
        const std::size_t to = flow.through ? *flow.through : m_routers.choose(m_zone, flow.source, flow.service);
        m_socket.send(encode(packet), m_balancers[to]->packets());
    }
    void sendOpening(const FlowPointer& flow)
    {
        if (flow->open || flow->ended)
            return;
        static constexpr std::array waits { 200ms, 400ms, 800ms };
        if (flow->copies == static_cast<int>(waits.size())) {
            end(*flow, End::NotOpened);
            return;
        }
        transmit(*flow, SYN, flow->seq, static_cast<uint32_t>(flow->copies), {});
        m_loop.after(waits[static_cast<std::size_t>(flow->copies++)], [this, flow] { sendOpening(flow); });
    }
    void nextRequest(const FlowPointer& flow)
    {
        if (flow->ended)
            return;
        if (flow->requestsLeft == 0) {
            transmit(*flow, ACK | FIN, flow->seq, flow->ack, {});
            end(*flow, End::Finished);
            return;
        }
        --flow->requestsLeft;
        flow->id = !flow->fixedId.empty() ? flow->fixedId
                                          : addressText(m_address).substr(4) + "#" + std::to_string(++m_requests);
        flow->request = flow->id + " request";
        flow->repeat = 200ms;
        flow->deadline = Clock::now() + 2500ms;
        repeat(flow, ++flow->round);
    }
    void repeat(const FlowPointer& flow, uint64_t round)
    {
        if (flow->ended || flow->round != round)
            return;
        if (Clock::now() >= flow->deadline) {
            end(*flow, End::Deadline);
            return;
        }
        transmit(*flow, ACK, flow->seq, flow->ack, flow->request);
        m_loop.after(flow->repeat, [this, flow, round] { repeat(flow, round); });
        flow->repeat = std::min<std::chrono::milliseconds>(flow->repeat * 2, 1600ms);
    }
    void receive(const char* bytes, std::size_t size)
    {
        const auto packet = decode(bytes, size);
        if (!packet)
            return;
        const auto found = m_flows.find(packet->destination.port);
        if (found == m_flows.end() || found->second->service != packet->source)
            return;
        const FlowPointer flow = found->second;
        const bool fromSystem = packet->has(RST) && packet->sum == 0;
        if (!fromSystem && packet->sum != packet->keyedSum())
            return;
        if (packet->has(RST)) {
            if (fromSystem && flow->open) {
                // Taken only within 76,800 of the last ack.
                const auto distance = static_cast<int32_t>(packet->seq - flow->ack);
                if (std::abs(distance) > 76800)
                    return;
                if (onSystemReset)
                    onSystemReset(*flow);
            }
            end(*flow, fromSystem ? End::ResetBySystem : End::Reset);
        } else if (packet->has(SYN)) {
            if (flow->open)
                return;
            flow->open = true;
            flow->echo = packet->echo;
            flow->ack = packet->seq + 1;
            flow->seq += 1;
            nextRequest(flow);
        } else {
            takeAnswer(flow, *packet);
        }
    }
    void takeAnswer(const FlowPointer& flow, const Packet& packet)
    {
        if (!flow->open)
            return;
        flow->echo = packet.echo;
        if (!packet.data.empty() && packet.seq == flow->ack && packet.data == flow->id + " done") {
            flow->ack += static_cast<uint32_t>(packet.data.size());
            flow->seq += static_cast<uint32_t>(flow->request.size());
            ++flow->round;
            if (onAnswer)
                onAnswer(*flow);
            if (packet.has(FIN)) {
                transmit(*flow, ACK | FIN, flow->seq, flow->ack, {});
                end(*flow, End::Finished);
                return;
            }
            transmit(*flow, ACK, flow->seq, flow->ack, {});
            m_loop.after(flow->pause, [this, flow] { nextRequest(flow); });
        }
    }
    void end(Flow& flow, End how)
    {
        if (flow.ended)
            return;
        flow.ended = true;
        const FlowPointer kept = m_flows[flow.source.port];
        m_flows.erase(flow.source.port);
        if (flow.onEnd)
            flow.onEnd(flow, how);
    }

    Loop& m_loop;
    uint32_t m_address;
    Routers& m_routers;
    std::vector<std::unique_ptr<Balancer>>& m_balancers;
    std::string m_zone;
    std::mt19937 m_random;
    uint16_t m_nextPort = 1024;
    uint64_t m_requests = 0;
    std::map<uint16_t, FlowPointer> m_flows;
    PacketSocket m_socket;
};

// --- The deployment -------------------------------------------------------------------------------------------------

struct RouteLine {
    std::string name;
    Endpoint address;
    std::string service;
    std::string type;
};

// A deployment like the site cordeles-hq: three zones, balancers, hosts, the store and the routers.
class World {
public:
    World(int argc, char** argv, uint32_t balancerCount)
        : trouble(std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0")
        , record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt")
        , network(Network::findFree())
        , folder(makeFolder())
        , store(loop, network.store())
    {
        for (uint32_t number = 0; number < balancerCount; ++number)
            balancers.push_back(
                std::make_unique<Balancer>(network, number, zoneOf(number), std::vector<uint32_t> { 0, 1, 2 }, folder));
        routers = std::make_unique<Routers>(loop, balancers, record);
        loop.every(20ms, [this] { restartEnded(); });
        record.line("disruption: %s", trouble ? "yes" : "none (TROUBLE=0)");
    }
    ~World()
    {
        for (auto& balancer : balancers)
            balancer->kill();
        if (std::getenv("KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(folder);
        else
            std::fprintf(stderr, "logs: %s\n", folder.c_str());
    }
    static std::string zoneOf(uint32_t number) { return std::array { "lima-a", "lima-b", "lima-c" }[number % 3]; }

    Host& addHost(const std::string& service, uint64_t key)
    {
        const auto place = static_cast<uint32_t>(hosts.size());
        hosts.push_back(std::make_unique<Host>(loop, network, place, service, zoneOf(place), key));
        store.put("servers", hosts.back()->name(), hosts.back()->spec("ready"));
        record.line("host %s of %s starts", hosts.back()->name().c_str(), service.c_str());
        return *hosts.back();
    }
    Time putConfig(const std::vector<RouteLine>& routes)
    {
        json list = json::array();
        for (const RouteLine& route : routes)
            list.push_back({ { "name", route.name }, { "host", addressText(route.address.address) },
                { "path_prefix", "/" + std::to_string(route.address.port) + "/" }, { "route_type", route.type },
                { "timeout_ms", 2500 }, { "target_latency_ms", 250 }, { "priority", 1 }, { "service", route.service },
                { "max_attempts", 2 } });
        json services = json::array();
        for (const char* name : { "despacho", "fotos" })
            services.push_back({ { "name", name }, { "health_path", "/health" }, { "max_flows", 2000 },
                { "protocol", "h1" }, { "tls", false } });
        version += 1 + version % 3;
        const json config { { "version", version }, { "routes", list }, { "services", services },
            { "limits",
                { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 },
                    { "idle_timeout_ms", 15000 } } } };
        store.put("config", "main", config.dump());
        record.line("operator: configuration %llu acknowledged, %zu routes", static_cast<unsigned long long>(version),
            routes.size());
        return Clock::now();
    }
    void startBalancers()
    {
        for (auto& balancer : balancers)
            balancer->start();
        const Time limit = Clock::now() + 10s;
        while (!routers->allReady() && Clock::now() < limit)
            loop.runFor(50ms);
        if (!routers->allReady())
            throw std::runtime_error("the balancers do not become ready");
    }
    Balancer* balancerAt(uint32_t address)
    {
        for (auto& balancer : balancers) {
            if (balancer->address() == address)
                return balancer.get();
        }
        return nullptr;
    }
    // A process that ends is started again after a short delay, except when it is to stay away.
    void restartEnded()
    {
        for (auto& balancer : balancers) {
            if (!balancer->hasEnded())
                continue;
            record.line("%s has ended", balancer->name().c_str());
            Balancer* ended = balancer.get();
            loop.after(300ms, [this, ended] {
                ended->start();
                record.line("%s starts again", ended->name().c_str());
            });
        }
    }

    const bool trouble;
    Record record;
    Loop loop;
    Network network;
    std::string folder;
    Store store;
    std::vector<std::unique_ptr<Balancer>> balancers;
    std::unique_ptr<Routers> routers;
    std::vector<std::unique_ptr<Host>> hosts;
    uint64_t version = 4;

private:
    static std::string makeFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "anvilwalk-review-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr)
            throw std::runtime_error("cannot make a temporary folder");
        return name;
    }
};

// Runs a case and turns its result into the exit code.
inline int runCase(const std::function<bool()>& isBroken)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return isBroken() ? Broken : Held;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "the case could not run: %s\n", error.what());
        return CannotRun;
    }
}

} // namespace review
