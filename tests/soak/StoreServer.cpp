#include "StoreServer.h"

#include <charconv>

namespace anvilwalk::soak {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 10 };
    constexpr std::chrono::milliseconds slowDelay { 300 };
    // Longest staleness that can be asked for.
    constexpr std::chrono::seconds pastKept { 10 };
    constexpr std::string_view objectsPath = "/api/objects/";

    constexpr unsigned httpOk = 200;
    constexpr unsigned httpNotFound = 404;
    constexpr unsigned httpGone = 410;
    constexpr unsigned httpTooMany = 429;
    constexpr unsigned httpUnavailable = 503;

    std::uint64_t numberOf(const standins::HttpRequest& request, const std::string& name)
    {
        const auto found = request.query.find(name);
        std::uint64_t number = 0;
        if (found != request.query.end())
            std::from_chars(found->second.data(), found->second.data() + found->second.size(), number);
        return number;
    }

} // namespace

StoreServer::StoreServer(boost::asio::io_context& context, const Ipv4Endpoint& endpoint, StoreModel& model)
    : m_model(model)
    , m_server(context, endpoint, [this](const standins::HttpExchangePointer& exchange) { handle(exchange); })
    , m_ticker(context, tickInterval, [this] { tick(); })
{
}

void StoreServer::setMode(StoreMode mode)
{
    m_mode = mode;
    // Connections on which an answer was lost return nothing further.
    for (const auto& exchange : std::exchange(m_unanswered, {}))
        exchange->closeWithoutAnswer();
    if (mode == StoreMode::Serves || mode == StoreMode::Slow)
        return;
    for (const Watch& watch : std::exchange(m_watches, {})) {
        if (mode == StoreMode::Silent)
            m_unanswered.push_back(watch.exchange);
        else
            watch.exchange->closeWithoutAnswer();
    }
}

void StoreServer::dropHistory()
{
    m_model.dropHistory();
    for (const Watch& watch : std::exchange(m_watches, {}))
        watch.exchange->closeWithoutAnswer();
}

void StoreServer::handle(const standins::HttpExchangePointer& exchange)
{
    ++m_calls;
    switch (m_mode) {
    case StoreMode::Serves:
        serve(exchange);
        break;
    case StoreMode::Silent:
        m_unanswered.push_back(exchange);
        break;
    case StoreMode::Busy:
        exchange->respond(httpUnavailable, "{}");
        break;
    case StoreMode::Throttles:
        exchange->respond(httpTooMany, "{}");
        break;
    case StoreMode::Closes:
        exchange->closeWithoutAnswer();
        break;
    case StoreMode::Slow:
        m_delayed.push_back({ .exchange = exchange, .due = std::chrono::steady_clock::now() + slowDelay });
        break;
    }
}

void StoreServer::serve(const standins::HttpExchangePointer& exchange)
{
    const standins::HttpRequest& request = exchange->request();
    if (request.method != "GET" || !request.path.starts_with(objectsPath)) {
        exchange->respond(httpNotFound, "{}");
        return;
    }
    const std::string kind = request.path.substr(objectsPath.size());
    if (!request.query.contains("watch")) {
        const auto after = request.query.find("after");
        exchange->respond(
            httpOk, m_model.list(kind, after == request.query.end() ? std::string() : after->second).dump());
        return;
    }
    m_watches.push_back({ .exchange = exchange,
        .kind = kind,
        .after = numberOf(request, "watch"),
        .mayBeStale = numberOf(request, "stale_ok") == 1,
        .deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(numberOf(request, "wait_ms")) });
}

void StoreServer::tick()
{
    const Time now = std::chrono::steady_clock::now();
    m_past.push_back({ .time = now, .revision = m_model.revision() });
    while (now - m_past.front().time > pastKept)
        m_past.pop_front();
    for (auto& delayed : std::exchange(m_delayed, {})) {
        if (now >= delayed.due)
            serve(delayed.exchange);
        else
            m_delayed.push_back(std::move(delayed));
    }
    endWatches(now);
}

void StoreServer::endWatches(Time now)
{
    std::erase_if(m_watches, [&](const Watch& watch) {
        if (!watch.exchange->isOpen())
            return true;
        const auto body = m_model.changes(watch.kind, watch.after, visibleRevision(watch.mayBeStale, now));
        if (!body) {
            watch.exchange->respond(httpGone, "{}");
            return true;
        }
        if (body->at("events").empty() && now < watch.deadline)
            return false;
        watch.exchange->respond(httpOk, body->dump());
        return true;
    });
}

std::uint64_t StoreServer::visibleRevision(bool mayBeStale, Time now) const
{
    if (!mayBeStale || m_staleness == std::chrono::milliseconds(0))
        return m_model.revision();
    std::uint64_t revision = 0;
    for (const Past& past : m_past) {
        if (now - past.time >= m_staleness)
            revision = past.revision;
    }
    return revision;
}

} // namespace anvilwalk::soak
