#pragma once

#include <chrono>
#include <functional>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace anvilwalk::soak {

// Calls a function once after a delay, in the thread of the io_context.
void runAfter(boost::asio::io_context&, std::chrono::milliseconds delay, std::function<void()>);

// Ends after a delay.
boost::asio::awaitable<void> pauseFor(boost::asio::io_context&, std::chrono::milliseconds delay);

} // namespace anvilwalk::soak
