#include "Lab.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace lab {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

Store::Store(Lab& lab)
    : m_lab(lab)
    , m_acceptor(lab.context())
{
}

bool Store::open(const std::string& address)
{
    boost::system::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(address), storePort);
    m_acceptor.open(tcp::v4(), error);
    if (!error)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(256, error);
    if (error)
        return false;
    asio::co_spawn(m_lab.context(), accept(), asio::detached);
    return true;
}

json Store::bodyOf(const std::string& name, const Object& object)
{
    return { { "meta",
                 { { "name", name }, { "revision", object.revision }, { "created_rev", object.created },
                     { "finalizers", json::array() }, { "deleting", false } } },
        { "spec", object.spec }, { "status", nullptr } };
}

std::uint64_t Store::put(const std::string& kind, const std::string& name, const json& spec)
{
    Object& object = m_objects[kind][name];
    object.spec = spec;
    object.revision = ++m_revision;
    if (object.created == 0)
        object.created = m_revision;
    m_changes.push_back({ .revision = m_revision, .kind = kind, .object = bodyOf(name, object), .deleted = false });
    return m_revision;
}

std::uint64_t Store::remove(const std::string& kind, const std::string& name)
{
    const json body = bodyOf(name, m_objects[kind][name]);
    m_objects[kind].erase(name);
    m_changes.push_back({ .revision = ++m_revision, .kind = kind, .object = body, .deleted = true });
    return m_revision;
}

asio::awaitable<void> Store::accept()
{
    for (;;) {
        boost::system::error_code error;
        tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        auto connection = std::make_shared<Connection>();
        connection->lastUse = Clock::now();
        m_connections.push_back(connection);
        asio::co_spawn(m_lab.context(), serve(std::move(socket), connection), asio::detached);
    }
}

void Store::keepCopy()
{
    m_copy = m_objects;
    m_copyRevision = m_revision;
}

void Store::goAway()
{
    m_away = true;
    ++m_awayCount;
}

void Store::comeBackFromCopy()
{
    m_objects = m_copy;
    m_revision = m_copyRevision;
    m_historyFrom = m_copyRevision;
    m_changes.clear();
    ++m_era;
    m_away = false;
}

std::size_t Store::silenceOpenConnections(Milliseconds idleFor)
{
    std::size_t count = 0;
    for (const auto& known : m_connections) {
        const auto connection = known.lock();
        if (connection == nullptr)
            continue;
        if (idleFor > Milliseconds(0) && (connection->waiting || Clock::now() - connection->lastUse < idleFor))
            continue;
        connection->silent = true;
        ++count;
    }
    return count;
}

asio::awaitable<void> Store::serve(tcp::socket socket, std::shared_ptr<Connection> connection)
{
    const int openedAt = m_awayCount;
    beast::flat_buffer buffer;
    for (;;) {
        boost::system::error_code error;
        http::request<http::string_body> request;
        co_await http::async_read(socket, buffer, request, asio::redirect_error(asio::use_awaitable, error));
        if (error || m_away || openedAt != m_awayCount)
            co_return;
        connection->waiting = true;
        const std::string body = co_await answer(std::string(request.target()));
        connection->waiting = false;
        connection->lastUse = Clock::now();
        if (m_away || openedAt != m_awayCount)
            co_return;
        if (connection->silent) {
            // Nothing passes on this connection any more, and it is not closed either.
            ++m_callsOnSilentConnections;
            co_await m_lab.sleep(std::chrono::hours(1));
            co_return;
        }
        http::response<http::string_body> response(body.empty() ? http::status::gone : http::status::ok, 11);
        response.set(http::field::content_type, "application/json");
        response.set("Store-Era", std::to_string(m_era));
        response.keep_alive(request.keep_alive());
        response.body() = body;
        response.prepare_payload();
        co_await http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
    }
}

namespace {

    std::string parameter(const std::string& target, const std::string& name)
    {
        const std::size_t query = target.find('?');
        if (query == std::string::npos)
            return {};
        std::size_t at = query + 1;
        while (at < target.size()) {
            const std::size_t end = std::min(target.find('&', at), target.size());
            const std::string pair = target.substr(at, end - at);
            if (pair.starts_with(name + "="))
                return pair.substr(name.size() + 1);
            at = end + 1;
        }
        return {};
    }

} // namespace

asio::awaitable<std::string> Store::answer(const std::string& target)
{
    constexpr std::string_view prefix = "/api/objects/";
    if (!target.starts_with(prefix))
        co_return std::string();
    const std::string kind = target.substr(prefix.size(), target.find('?') - prefix.size());
    const std::string watch = parameter(target, "watch");
    if (watch.empty()) {
        json items = json::array();
        const std::string after = parameter(target, "after");
        for (const auto& [name, object] : m_objects[kind]) {
            if (name > after)
                items.push_back(bodyOf(name, object));
        }
        co_return json { { "items", std::move(items) }, { "more", false }, { "as_of", m_revision } }.dump();
    }
    const std::uint64_t from = std::stoull(watch);
    const std::string wait = parameter(target, "wait_ms");
    const Time deadline = Clock::now() + Milliseconds(wait.empty() ? 0 : std::stoll(wait));
    const int startedAt = m_awayCount;
    // History that is gone, or was never there.
    if (from < m_historyFrom || from > m_revision)
        co_return std::string();
    for (;;) {
        if (startedAt != m_awayCount)
            co_return std::string();
        json events = json::array();
        for (const Change& change : m_changes) {
            if (change.revision > from && change.kind == kind)
                events.push_back({ { "object", change.object }, { "deleted", change.deleted } });
        }
        if (!events.empty() || Clock::now() >= deadline)
            co_return json { { "events", std::move(events) }, { "as_of", m_revision } }.dump();
        co_await m_lab.sleep(Milliseconds(2));
    }
}

} // namespace lab
