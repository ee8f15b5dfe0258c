#pragma once

#include <chrono>
#include <functional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace anvilwalk::standins {

// Calls a function at a fixed interval in the thread of an io_context, until it is destroyed.
class Ticker {
public:
    Ticker(boost::asio::io_context&, std::chrono::milliseconds interval, std::function<void()>);

private:
    void schedule();

    std::chrono::milliseconds m_interval;
    std::function<void()> m_function;
    boost::asio::steady_timer m_timer;
};

} // namespace anvilwalk::standins
