#include "PlatformServer.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace anvilwalk::standins {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

namespace {

    constexpr const char* pathPrefix = "/apis/anvilwalk.example/v1/";
    constexpr std::chrono::milliseconds watchInterval { 5 };
    constexpr std::uint64_t defaultWatchSeconds = 30;

    std::uint64_t numberIn(const HttpRequest& request, const std::string& key, std::uint64_t fallback)
    {
        const auto found = request.query.find(key);
        if (found == request.query.end())
            return fallback;
        const std::string& text = found->second;
        std::uint64_t value = fallback;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    std::string textIn(const HttpRequest& request, const std::string& key)
    {
        const auto found = request.query.find(key);
        return found == request.query.end() ? "" : found->second;
    }

    bool isWrite(const HttpRequest& request) { return request.method != "GET"; }

} // namespace

PlatformServer::PlatformServer(boost::asio::io_context& context, const Ipv4Endpoint& endpoint, std::size_t historyLimit)
    : m_context(context)
    , m_table(historyLimit)
    , m_watchTimer(context)
    , m_server(context, endpoint, [this](const HttpExchangePointer& exchange) { handle(exchange); })
{
    scheduleWatches();
}

void PlatformServer::handle(const HttpExchangePointer& exchange)
{
    const std::string& path = exchange->request().path;
    if (path == "/control") {
        handleControl(exchange);
        return;
    }
    if (m_down) {
        ++m_callsWhileDown;
        exchange->closeWithoutAnswer();
        return;
    }
    const std::string prefix = pathPrefix;
    if (!path.starts_with(prefix)) {
        exchange->respond(404, R"({"message":"unknown path"})");
        return;
    }
    const std::string rest = path.substr(prefix.size());
    const auto slash = std::min(rest.find('/'), rest.size());
    const std::string name = slash < rest.size() ? rest.substr(slash + 1) : "";
    handleObject(exchange, { .kind = rest.substr(0, slash), .name = name });
}

void PlatformServer::handleControl(const HttpExchangePointer& exchange)
{
    const json body = json::parse(exchange->request().body.empty() ? "{}" : exchange->request().body, nullptr, false);
    if (!body.is_object()) {
        exchange->respond(400, R"({"message":"the body is not a JSON object"})");
        return;
    }
    m_down = body.value("down", m_down);
    m_delay = std::chrono::milliseconds(body.value("delayMs", static_cast<std::int64_t>(m_delay.count())));
    m_loseNextAnswers = body.value("loseNextAnswers", m_loseNextAnswers);
    m_loseKind = body.value("loseKind", m_loseKind);
    m_holdKind = body.value("holdKind", m_holdKind);
    if (body.contains("vmListLagMs"))
        m_table.setVmListLag(std::chrono::milliseconds(body["vmListLagMs"].get<std::int64_t>()));
    if (body.value("compact", false))
        m_table.compact();
    if (m_down)
        closeWatches();
    releaseHeld();
    exchange->respond(200, describe());
}

void PlatformServer::handleObject(const HttpExchangePointer& exchange, const ObjectPath& path)
{
    const HttpRequest& request = exchange->request();
    if (request.method == "GET" && path.name.empty() && textIn(request, "watch") == "true") {
        startWatch(exchange, path);
        return;
    }
    if (hold(exchange, path))
        return;
    std::string call;
    const ObjectTable::Answer result = apply(request, path, call);
    ++m_calls[path.kind][call];
    if (losesAnswer(request, path))
        exchange->closeWithoutAnswer();
    else
        answer(exchange, result);
}

bool PlatformServer::hold(const HttpExchangePointer& exchange, const ObjectPath& path)
{
    if (!isWrite(exchange->request()) || m_holdKind.empty() || path.kind != m_holdKind)
        return false;
    m_held.emplace_back(exchange, path);
    return true;
}

void PlatformServer::releaseHeld()
{
    for (const auto& [exchange, path] : std::exchange(m_held, {})) {
        if (m_down)
            exchange->closeWithoutAnswer();
        else
            handleObject(exchange, path);
    }
}

bool PlatformServer::losesAnswer(const HttpRequest& request, const ObjectPath& path)
{
    if (!isWrite(request) || m_loseNextAnswers == 0 || (!m_loseKind.empty() && path.kind != m_loseKind))
        return false;
    --m_loseNextAnswers;
    ++m_lostAnswers;
    return true;
}

ObjectTable::Answer PlatformServer::apply(const HttpRequest& request, const ObjectPath& path, std::string& call)
{
    const auto now = Clock::now();
    const bool hasName = !path.name.empty();
    if (request.method == "GET") {
        call = hasName ? "get" : "list";
        return hasName ? m_table.get(path.kind, path.name) : m_table.list(path.kind, now);
    }
    if (request.method == "DELETE" && hasName) {
        call = "delete";
        return m_table.remove(path.kind, path.name, textIn(request, "resourceVersion"), now);
    }
    const json object = json::parse(request.body, nullptr, false);
    if (!object.is_object()) {
        call = "invalid";
        return { 400, { { "message", "the body is not a JSON object" } } };
    }
    if (request.method == "POST" && !hasName) {
        call = "create";
        return m_table.create(path.kind, object, now);
    }
    if (request.method == "PUT" && hasName) {
        call = "update";
        return m_table.update(path.kind, path.name, object, now);
    }
    call = "invalid";
    return { 405, { { "message", "unsupported method" } } };
}

void PlatformServer::startWatch(const HttpExchangePointer& exchange, const ObjectPath& path)
{
    const HttpRequest& request = exchange->request();
    ++m_calls[path.kind]["watch"];
    const std::uint64_t version = numberIn(request, "resourceVersion", 0);
    if (!m_table.canWatchFrom(version)) {
        answer(exchange, { 410, { { "kind", "Status" }, { "code", 410 }, { "message", "the version is too old" } } });
        return;
    }
    const std::chrono::seconds timeout(numberIn(request, "timeoutSeconds", defaultWatchSeconds));
    exchange->beginStream();
    m_watches.push_back({ exchange, path.kind, version, Clock::now() + timeout });
}

void PlatformServer::answer(const HttpExchangePointer& exchange, const ObjectTable::Answer& result)
{
    if (m_delay.count() == 0) {
        exchange->respond(result.status, result.body.dump());
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_delay);
    timer->async_wait([this, timer, exchange, result](boost::system::error_code) {
        if (m_down)
            exchange->closeWithoutAnswer();
        else
            exchange->respond(result.status, result.body.dump());
    });
}

void PlatformServer::closeWatches()
{
    for (const Watch& watch : m_watches)
        watch.exchange->closeWithoutAnswer();
    m_watches.clear();
}

void PlatformServer::advanceWatches()
{
    const auto now = Clock::now();
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        // A compaction may overtake a watch that has not sent everything.
        if (!m_table.canWatchFrom(watch->version) && !m_table.eventsAfter(watch->kind, watch->version, now).empty())
            watch->end = now;
        for (const auto& event : m_table.eventsAfter(watch->kind, watch->version, now)) {
            watch->exchange->sendChunk(json { { "type", event.type }, { "object", event.object } }.dump() + "\n");
            watch->version = event.version;
        }
        if (now >= watch->end)
            watch->exchange->endStream();
        const bool finished = now >= watch->end || !watch->exchange->isOpen();
        watch = finished ? m_watches.erase(watch) : std::next(watch);
    }
}

void PlatformServer::scheduleWatches()
{
    m_watchTimer.expires_after(watchInterval);
    m_watchTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        advanceWatches();
        scheduleWatches();
    });
}

std::string PlatformServer::describe() const
{
    return json {
        { "down", m_down }, { "delayMs", m_delay.count() }, { "loseNextAnswers", m_loseNextAnswers },
        { "lostAnswers", m_lostAnswers }, { "callsWhileDown", m_callsWhileDown }, { "held", m_held.size() },
        { "openWatches", m_watches.size() }, { "calls", m_calls }
    }.dump();
}

} // namespace anvilwalk::standins
