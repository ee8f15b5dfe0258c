#include "Ticker.h"

namespace anvilwalk::standins {

Ticker::Ticker(boost::asio::io_context& context, std::chrono::milliseconds interval, std::function<void()> function)
    : m_interval(interval)
    , m_function(std::move(function))
    , m_timer(context)
{
    schedule();
}

void Ticker::schedule()
{
    m_timer.expires_after(m_interval);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        m_function();
        schedule();
    });
}

} // namespace anvilwalk::standins
