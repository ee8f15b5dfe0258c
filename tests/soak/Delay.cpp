#include "Delay.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <utility>

namespace anvilwalk::soak {

namespace asio = boost::asio;

void runAfter(asio::io_context& context, std::chrono::milliseconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(context, delay);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code error) {
        if (!error)
            action();
    });
}

asio::awaitable<void> pauseFor(asio::io_context& context, std::chrono::milliseconds delay)
{
    asio::steady_timer timer(context, delay);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace anvilwalk::soak
