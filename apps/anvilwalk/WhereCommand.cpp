#include "Commands.h"
#include "WhereTable.h"

#include <anvilwalk/discovery.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iostream>
#include <optional>

namespace anvilwalk {

namespace {

    namespace asio = boost::asio;

    constexpr std::chrono::milliseconds answerTimeout { 3000 };
    constexpr unsigned httpOk = 200;
    constexpr unsigned httpNotFound = 404;

    Result<HttpResponse> ask(const Ipv4Endpoint& balancer, const WhereQuery& query)
    {
        asio::io_context context;
        HttpGetClient client({ .server = balancer }, context);
        Result<HttpResponse> response = Error { .code = ErrorCode::Unavailable, .message = "no answer" };
        const auto run
            = [&]() -> asio::awaitable<void> { response = co_await client.get(wherePath(query), answerTimeout); };
        asio::co_spawn(context, run, asio::detached);
        context.run();
        return response;
    }

    std::optional<Ipv4Endpoint> readEndpoint(const char* option, const std::string& text)
    {
        const auto endpoint = Ipv4Endpoint::parse(text);
        if (!endpoint)
            std::cerr << "--" << option
                      << (text.empty() ? " is required" : " " + text + " is not an address with a port")
                      << ", for example --" << option << " 10.0.0.1:443.\n";
        return endpoint;
    }

} // namespace

ExitCode runWhere(const CommandOptions& options)
{
    const auto balancer = readEndpoint("balancer", options.balancer);
    const auto client = readEndpoint("client", options.client);
    const auto service = readEndpoint("service", options.service);
    if (!balancer || !client || !service)
        return ExitCode::Usage;
    const Result<HttpResponse> response = ask(*balancer, { .client = *client, .service = *service });
    if (!isOk(response)) {
        std::cerr << "The balancer at " << balancer->toString() << " does not answer: " << errorOf(response).message
                  << ". Use the metrics address of anvilwalk-edge.\n";
        return ExitCode::StoreUnavailable;
    }
    const unsigned status = valueOf(response).status;
    const std::string& body = valueOf(response).body;
    if (status != httpOk) {
        std::cerr << "The server at " << balancer->toString() << " answered with HTTP status " << status
                  << (status == httpNotFound ? "; it is no metrics address of an anvilwalk-edge that knows this command"
                                             : "")
                  << ".\n";
        return ExitCode::StoreUnavailable;
    }
    const Result<WhereTable> table = formatWhereAnswer(body);
    if (!isOk(table)) {
        std::cerr << "The answer of " << balancer->toString() << " cannot be read: " << errorOf(table).message << "\n";
        return ExitCode::StoreUnavailable;
    }
    std::cout << (options.json ? body : valueOf(table).text);
    return valueOf(table).placed ? ExitCode::Success : ExitCode::Incomplete;
}

} // namespace anvilwalk
