#include <anvilwalk/process/objectapi/HttpObjectStore.h>

#include <utility>

#include <array>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <cctype>
#include <charconv>
#include <limits>
#include <optional>

namespace anvilwalk {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    using nlohmann::json;

    using SteadyTime = std::chrono::steady_clock::time_point;
    using HttpRequest = http::request<http::string_body>;

    constexpr const char* apiPath = "/apis/anvilwalk.example/v1/";

    // Determines the error of a call without a response: only a write may have taken effect.
    enum class CallKind {
        Read,
        Write,
    };

    std::string kindPath(const std::string& kind) { return apiPath + percentEncode(kind); }

    std::string objectPath(const std::string& kind, const std::string& name)
    {
        return kindPath(kind) + "/" + percentEncode(name);
    }

    std::optional<StoreVersion> parseVersion(const json& metadata)
    {
        const auto found = metadata.find("resourceVersion");
        if (found == metadata.end())
            return std::nullopt;
        if (found->is_number_unsigned())
            return StoreVersion(found->get<std::uint64_t>());
        if (!found->is_string())
            return std::nullopt;
        const auto& text = found->get_ref<const std::string&>();
        std::uint64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size() || text.empty())
            return std::nullopt;
        return StoreVersion(value);
    }

    std::optional<StoredObject> parseObject(const std::string& kind, const json& value)
    {
        if (!value.is_object())
            return std::nullopt;
        const auto metadata = value.find("metadata");
        if (metadata == value.end() || !metadata->is_object())
            return std::nullopt;
        const auto name = metadata->find("name");
        const auto version = parseVersion(*metadata);
        if (name == metadata->end() || !name->is_string() || !version)
            return std::nullopt;
        const auto spec = value.find("spec");
        return StoredObject { .kind = kind,
            .name = name->get<std::string>(),
            .version = *version,
            .spec = spec == value.end() ? json::object() : *spec };
    }

    std::optional<ObjectList> parseList(const std::string& kind, const json& value)
    {
        if (!value.is_object() || !value.contains("metadata") || !value.contains("items"))
            return std::nullopt;
        const json& items = value["items"];
        const auto version = value["metadata"].is_object() ? parseVersion(value["metadata"]) : std::nullopt;
        if (!version || !items.is_array())
            return std::nullopt;
        ObjectList list { .version = *version, .items = {} };
        for (const json& item : items) {
            auto object = parseObject(kind, item);
            if (!object)
                return std::nullopt;
            list.items.push_back(std::move(*object));
        }
        return list;
    }

    Error errorFromStatus(unsigned status, CallKind kind, const std::string& operation)
    {
        const std::string message = operation + ": HTTP status " + std::to_string(status);
        switch (status) {
        case 400:
        case 413:
        case 422:
            return { .code = ErrorCode::InvalidArgument, .message = message };
        case 404:
            return { .code = ErrorCode::NotFound, .message = message };
        case 409:
            return { .code = ErrorCode::Conflict, .message = message };
        case 410:
            return { .code = ErrorCode::Gone, .message = message };
        // The protocol defines that these two reject the request before it is executed.
        case 429:
        case 503:
            return { .code = ErrorCode::Unavailable, .message = message };
        default:
            break;
        }
        if (status < 500)
            return { .code = ErrorCode::Internal, .message = message };
        return { .code = kind == CallKind::Write ? ErrorCode::Unknown : ErrorCode::Unavailable, .message = message };
    }

    Error unavailable(const std::string& operation, const std::string& reason)
    {
        return { .code = ErrorCode::Unavailable, .message = operation + ": " + reason };
    }

    // A connection for a single request. Each operation blocks by running the private io_context, because Beast
    // supports timeouts only for asynchronous operations.
    class Exchange {
    public:
        Exchange(const Ipv4Endpoint& endpoint, SteadyTime deadline)
            : m_stream(m_context)
            , m_endpoint(asio::ip::address_v4(endpoint.address.value), endpoint.port)
        {
            m_stream.expires_at(deadline);
        }

        beast::error_code connect()
        {
            return run([this](auto& error) {
                m_stream.async_connect(m_endpoint, [&error](beast::error_code result) { error = result; });
            });
        }

        beast::error_code send(HttpRequest& request, std::size_t& bytesSent)
        {
            request.set(http::field::host, m_endpoint.address().to_string() + ":" + std::to_string(m_endpoint.port()));
            request.set(http::field::connection, "close");
            if (!request.body().empty())
                request.set(http::field::content_type, "application/json");
            request.prepare_payload();
            return run([&](auto& error) {
                http::async_write(m_stream, request, [&](beast::error_code result, std::size_t bytes) {
                    error = result;
                    bytesSent = bytes;
                });
            });
        }

        template <class Parser> beast::error_code receive(Parser& parser)
        {
            return run([&](auto& error) {
                http::async_read(
                    m_stream, m_buffer, parser, [&error](beast::error_code result, std::size_t) { error = result; });
            });
        }

        template <class Parser> beast::error_code receiveHeader(Parser& parser)
        {
            return run([&](auto& error) {
                http::async_read_header(
                    m_stream, m_buffer, parser, [&error](beast::error_code result, std::size_t) { error = result; });
            });
        }

        template <class Parser> beast::error_code receiveSome(Parser& parser)
        {
            return run([&](auto& error) {
                http::async_read_some(
                    m_stream, m_buffer, parser, [&error](beast::error_code result, std::size_t) { error = result; });
            });
        }

        // Closes the connection, so that the current or next operation fails. May be called from another thread.
        void abort()
        {
            asio::post(m_context, [this] { m_stream.close(); });
        }

    private:
        template <class Start> beast::error_code run(const Start& start)
        {
            beast::error_code error = asio::error::operation_aborted;
            m_context.restart();
            start(error);
            m_context.run();
            return error;
        }

        asio::io_context m_context { 1 };
        beast::tcp_stream m_stream;
        asio::ip::tcp::endpoint m_endpoint;
        beast::flat_buffer m_buffer;
    };

    // Sends a request and reads the whole response. Returns the body of a 2xx response as JSON.
    Result<json> sendRequest(
        const HttpObjectStoreOptions& options, HttpRequest request, CallKind kind, const std::string& operation)
    {
        const ErrorCode noResponseCode = kind == CallKind::Write ? ErrorCode::Unknown : ErrorCode::Unavailable;
        Exchange exchange(options.endpoint, std::chrono::steady_clock::now() + options.callDeadline);
        if (const auto error = exchange.connect())
            return unavailable(operation, "cannot connect to " + options.endpoint.toString() + ": " + error.message());
        std::size_t bytesSent = 0;
        if (const auto error = exchange.send(request, bytesSent)) {
            const ErrorCode code = bytesSent == 0 ? ErrorCode::Unavailable : noResponseCode;
            return Error { .code = code, .message = operation + ": sending failed: " + error.message() };
        }
        http::response_parser<http::string_body> parser;
        parser.body_limit(options.maxResponseBytes);
        if (const auto error = exchange.receive(parser))
            return Error { .code = noResponseCode,
                .message = operation + ": no complete response: " + error.message() };
        const unsigned status = parser.get().result_int();
        if (status < 200 || status > 299)
            return errorFromStatus(status, kind, operation);
        json body = json::parse(parser.get().body(), nullptr, false);
        if (body.is_discarded())
            return Error { .code = noResponseCode, .message = operation + ": the response is not JSON" };
        return body;
    }

    Result<StoredObject> parseObjectResponse(
        const Result<json>& body, const std::string& kind, CallKind callKind, const std::string& operation)
    {
        if (!isOk(body))
            return errorOf(body);
        auto object = parseObject(kind, valueOf(body));
        if (object)
            return std::move(*object);
        const ErrorCode code = callKind == CallKind::Write ? ErrorCode::Unknown : ErrorCode::Unavailable;
        return Error { .code = code, .message = operation + ": the response is not an object" };
    }

    HttpRequest makeRequest(http::verb verb, const std::string& target)
    {
        HttpRequest request(verb, target, 11);
        request.set(http::field::accept, "application/json");
        return request;
    }

    std::string serializeObject(
        const std::string& kind, const std::string& name, const json& spec, std::optional<StoreVersion> version)
    {
        json metadata { { "name", name } };
        if (version)
            metadata["resourceVersion"] = std::to_string(version->value());
        return json { { "kind", kind }, { "metadata", std::move(metadata) }, { "spec", spec } }.dump();
    }

    // Parsed line of a watch response. Both members are empty for a line to skip, such as a bookmark.
    struct WatchLine {
        std::optional<WatchEvent> event;
        std::optional<Error> error;
    };

    WatchLine parseWatchLine(const std::string& kind, const std::string& line, const std::string& operation)
    {
        const json value = json::parse(line, nullptr, false);
        if (!value.is_object() || !value.contains("type") || !value.contains("object"))
            return { .event = {}, .error = unavailable(operation, "an event is not valid") };
        const json& type = value["type"];
        if (type == "BOOKMARK")
            return {};
        if (type == "ERROR") {
            const bool gone = value["object"].is_object() && value["object"].value("code", 0) == 410;
            if (gone)
                return { .event = {},
                    .error = Error {
                        .code = ErrorCode::Gone, .message = operation + ": the version is no longer available" } };
            return { .event = {}, .error = unavailable(operation, "the store reported an error") };
        }
        auto object = parseObject(kind, value["object"]);
        WatchEvent event;
        if (type == "ADDED")
            event.type = WatchEvent::Type::Added;
        else if (type == "DELETED")
            event.type = WatchEvent::Type::Deleted;
        else if (type != "MODIFIED")
            object.reset();
        if (!object)
            return { .event = {}, .error = unavailable(operation, "an event is not valid") };
        event.object = std::move(*object);
        return { .event = std::move(event), .error = {} };
    }

    // Splits the body of a watch response into lines and passes the events to the handler.
    class WatchReader {
    public:
        WatchReader(std::string kind, std::string operation, const std::function<bool(const WatchEvent&)>& handler)
            : m_kind(std::move(kind))
            , m_operation(std::move(operation))
            , m_handler(handler)
        {
        }

        // Returns the result of the watch if it ends within these bytes.
        std::optional<Status> consume(std::string_view bytes)
        {
            m_pending += bytes;
            std::size_t start = 0;
            for (std::size_t end = 0; (end = m_pending.find('\n', start)) != std::string::npos; start = end + 1) {
                if (end == start)
                    continue;
                WatchLine line = parseWatchLine(m_kind, m_pending.substr(start, end - start), m_operation);
                if (line.error)
                    return *line.error;
                if (line.event && !m_handler(*line.event))
                    return std::monostate {};
            }
            m_pending.erase(0, start);
            return std::nullopt;
        }

    private:
        std::string m_kind;
        std::string m_operation;
        const std::function<bool(const WatchEvent&)>& m_handler;
        // Bytes of the incomplete last line.
        std::string m_pending;
    };

    Status readEvents(Exchange& exchange, WatchReader& reader, const std::string& operation, std::size_t maxBytes)
    {
        http::response_parser<http::buffer_body> parser;
        // boost::none is not usable: Boost 1.74 then rejects every response that has a Content-Length.
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        if (const auto error = exchange.receiveHeader(parser))
            return unavailable(operation, "no response: " + error.message());
        if (parser.get().result() != http::status::ok)
            return errorFromStatus(parser.get().result_int(), CallKind::Read, operation);
        std::array<char, 16'384> bytes {};
        std::size_t received = 0;
        while (!parser.is_done()) {
            parser.get().body().data = bytes.data();
            parser.get().body().size = bytes.size();
            const auto error = exchange.receiveSome(parser);
            const std::size_t count = bytes.size() - parser.get().body().size;
            received += count;
            if (received > maxBytes)
                return unavailable(operation, "the response is too long");
            if (const auto end = reader.consume({ bytes.data(), count }))
                return *end;
            if (error && error != http::error::need_buffer)
                return unavailable(operation, "connection lost: " + error.message());
        }
        return std::monostate {};
    }

} // namespace

HttpObjectStore::HttpObjectStore(const HttpObjectStoreOptions& options)
    : m_options(options)
{
}

Result<Ipv4Endpoint> HttpObjectStore::parseUrl(std::string_view url)
{
    constexpr std::string_view scheme = "http://";
    std::string_view rest = url;
    if (rest.substr(0, scheme.size()) == scheme) {
        rest.remove_prefix(scheme.size());
        if (!rest.empty() && rest.back() == '/')
            rest.remove_suffix(1);
        if (const auto endpoint = Ipv4Endpoint::parse(rest))
            return *endpoint;
    }
    return Error { .code = ErrorCode::InvalidArgument,
        .message = "\"" + std::string(url) + "\" is not a URL of the form http://ADDRESS:PORT" };
}

Result<StoredObject> HttpObjectStore::get(const std::string& kind, const std::string& name)
{
    const std::string operation = "get " + kind + "/" + name;
    const auto body
        = sendRequest(m_options, makeRequest(http::verb::get, objectPath(kind, name)), CallKind::Read, operation);
    return parseObjectResponse(body, kind, CallKind::Read, operation);
}

Result<ObjectList> HttpObjectStore::list(const std::string& kind)
{
    const std::string operation = "list " + kind;
    const auto body = sendRequest(m_options, makeRequest(http::verb::get, kindPath(kind)), CallKind::Read, operation);
    if (!isOk(body))
        return errorOf(body);
    auto list = parseList(kind, valueOf(body));
    if (!list)
        return unavailable(operation, "the response is not a list");
    return std::move(*list);
}

Result<StoredObject> HttpObjectStore::create(const std::string& kind, const std::string& name, const json& spec)
{
    const std::string operation = "create " + kind + "/" + name;
    HttpRequest request = makeRequest(http::verb::post, kindPath(kind));
    request.body() = serializeObject(kind, name, spec, std::nullopt);
    return parseObjectResponse(
        sendRequest(m_options, std::move(request), CallKind::Write, operation), kind, CallKind::Write, operation);
}

Result<StoredObject> HttpObjectStore::update(
    const std::string& kind, const std::string& name, const json& spec, StoreVersion expected)
{
    const std::string operation = "update " + kind + "/" + name;
    HttpRequest request = makeRequest(http::verb::put, objectPath(kind, name));
    request.body() = serializeObject(kind, name, spec, expected);
    return parseObjectResponse(
        sendRequest(m_options, std::move(request), CallKind::Write, operation), kind, CallKind::Write, operation);
}

Status HttpObjectStore::remove(const std::string& kind, const std::string& name, StoreVersion expected)
{
    const std::string target = objectPath(kind, name) + "?resourceVersion=" + std::to_string(expected.value());
    const std::string operation = "remove " + kind + "/" + name;
    const auto body = sendRequest(m_options, makeRequest(http::verb::delete_, target), CallKind::Write, operation);
    if (!isOk(body))
        return errorOf(body);
    return std::monostate {};
}

Status HttpObjectStore::watch(const std::string& kind, StoreVersion from, std::chrono::milliseconds timeout,
    const std::function<bool(const WatchEvent&)>& handler)
{
    return watchUntilStopped(kind, from, timeout, handler, {});
}

Status HttpObjectStore::watchUntilStopped(const std::string& kind, StoreVersion from, std::chrono::milliseconds timeout,
    const std::function<bool(const WatchEvent&)>& handler, std::stop_token stop)
{
    const std::string operation = "watch " + kind;
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(timeout).count();
    const std::string target = kindPath(kind) + "?watch=true&resourceVersion=" + std::to_string(from.value())
        + "&timeoutSeconds=" + std::to_string(seconds);
    HttpRequest request = makeRequest(http::verb::get, target);

    Exchange exchange(
        m_options.endpoint, std::chrono::steady_clock::now() + std::chrono::seconds(seconds) + m_options.watchGrace);
    const std::stop_callback abortOnStop(stop, [&exchange] { exchange.abort(); });
    if (const auto error = exchange.connect())
        return unavailable(operation, "cannot connect to " + m_options.endpoint.toString() + ": " + error.message());
    std::size_t bytesSent = 0;
    if (const auto error = exchange.send(request, bytesSent))
        return unavailable(operation, "sending failed: " + error.message());
    WatchReader reader(kind, operation, handler);
    return readEvents(exchange, reader, operation, m_options.maxResponseBytes);
}

} // namespace anvilwalk
