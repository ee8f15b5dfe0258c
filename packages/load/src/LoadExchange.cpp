#include <anvilwalk/load/LoadExchange.h>

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace anvilwalk {

namespace asio = boost::asio;
using udp = asio::ip::udp;

LoadExchange::LoadExchange(const LoadExchangeOptions& options, asio::io_context& context, const MemberList& members,
    TargetCatalogue& targets, const Clock& clock)
    : m_options(options)
    , m_members(members)
    , m_clock(clock)
    , m_socket(context)
    , m_timer(context)
    , m_sampler(targets)
    , m_collector(LoadCollectorOptions {}, targets)
    , m_sharedLoad(SharedLoadOptions {}, targets)
{
}

Status LoadExchange::open()
{
    boost::system::error_code error;
    m_socket.open(udp::v4(), error);
    if (!error)
        m_socket.bind(
            udp::endpoint(asio::ip::address_v4(m_options.address.address.value), m_options.address.port), error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        return Error { .code = ErrorCode::Unavailable,
            .message = "cannot receive load reports at " + m_options.address.toString() + ": " + error.message() };
    return std::monostate {};
}

void LoadExchange::setEnabled(bool enabled)
{
    // Responses from before are not part of the first report.
    if (enabled && !m_enabled)
        (void)m_sampler.sample(m_clock.now());
    m_enabled = enabled;
}

asio::awaitable<void> LoadExchange::receive()
{
    std::array<char, maxLoadMessageBytes> buffer {};
    for (;;) {
        udp::endpoint source;
        boost::system::error_code error;
        const std::size_t size = co_await m_socket.async_receive_from(
            asio::buffer(buffer), source, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        // Other errors report that an earlier datagram was not delivered; a receiver that is away is left out soon.
        if (!error)
            handle(std::string_view(buffer.data(), size));
    }
}

void LoadExchange::handle(std::string_view bytes)
{
    const Result<LoadMessage> message = decodeLoadMessage(bytes);
    if (!isOk(message)) {
        ++m_counters.malformed;
        if (m_onMalformed)
            m_onMalformed(errorOf(message));
        return;
    }
    ++m_counters.received;
    if (!m_enabled)
        return;
    const MonotonicTime now = m_clock.now();
    if (const auto* report = std::get_if<LoadReport>(&valueOf(message))) {
        if (report->header.dataCentre == m_members.self().dataCentre)
            m_collector.handle(*report, now);
        return;
    }
    const auto& summary = std::get<LoadSummary>(valueOf(message));
    if (summary.header.dataCentre == m_members.self().dataCentre)
        m_sharedLoad.handle(summary, now);
}

asio::awaitable<void> LoadExchange::run()
{
    for (;;) {
        m_timer.expires_after(m_options.interval);
        co_await m_timer.async_wait(asio::use_awaitable);
        const MonotonicTime now = m_clock.now();
        m_sharedLoad.expire(now);
        if (m_enabled)
            tick(now);
    }
}

void LoadExchange::tick(MonotonicTime now)
{
    const std::vector<Member> members = m_members.localMembers();
    const LoadReport report { .header
        = { .sender = m_members.self().id, .dataCentre = m_members.self().dataCentre, .sequence = ++m_sequence },
        .targets = m_sampler.sample(now) };
    m_sharedLoad.recordOwnReport(report.targets);
    if (members.size() == 1)
        return;
    const std::vector<std::string> parts = encodeLoadMessage(report);
    bool isCollector = false;
    for (std::size_t index = 0; index < std::min(members.size(), m_options.collectors); ++index) {
        if (members[index].id == m_members.self().id) {
            isCollector = true;
            m_collector.handle(report, now);
            continue;
        }
        send(parts, members[index]);
        ++m_counters.reportsSent;
    }
    if (isCollector)
        sendSummary(members, now);
}

void LoadExchange::sendSummary(const std::vector<Member>& members, MonotonicTime now)
{
    LoadSummary summary = m_collector.summarize(now);
    summary.header
        = { .sender = m_members.self().id, .dataCentre = m_members.self().dataCentre, .sequence = m_sequence };
    m_sharedLoad.handle(summary, now);
    const std::vector<std::string> parts = encodeLoadMessage(summary);
    std::size_t bytes = 0;
    for (const std::string& part : parts)
        bytes += part.size();
    if (!takeFromBudget(bytes * (members.size() - 1), now))
        return;
    for (const Member& member : members) {
        if (member.id != m_members.self().id)
            send(parts, member);
    }
    ++m_counters.summariesSent;
}

bool LoadExchange::takeFromBudget(std::size_t bytes, MonotonicTime now)
{
    const auto rate = static_cast<double>(m_options.maxSummaryBytesPerSecond);
    const double earned = std::chrono::duration<double>(now - std::exchange(m_budgetAt, now)).count() * rate;
    // A summary that exceeds the rate of one second waits until enough has been saved.
    m_budgetBytes = std::min(m_budgetBytes + earned, std::max(rate, static_cast<double>(bytes)));
    if (m_budgetBytes < static_cast<double>(bytes))
        return false;
    m_budgetBytes -= static_cast<double>(bytes);
    return true;
}

void LoadExchange::send(const std::vector<std::string>& parts, const Member& member)
{
    const udp::endpoint destination(asio::ip::address_v4(member.viewAddress.address.value), m_options.address.port);
    for (const std::string& part : parts) {
        boost::system::error_code error;
        m_socket.send_to(asio::buffer(part), destination, 0, error);
        if (error)
            ++m_counters.sendFailures;
        else
            m_counters.bytesSent += part.size();
    }
}

} // namespace anvilwalk
