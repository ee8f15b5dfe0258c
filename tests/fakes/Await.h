#pragma once

#include <chrono>
#include <thread>

namespace anvilwalk::fakes {

// Waits until a condition holds that other threads bring about. False if it does not hold in time.
template <class Condition>
bool await(Condition condition, std::chrono::milliseconds timeout = std::chrono::milliseconds(10'000))
{
    constexpr std::chrono::milliseconds pollInterval { 2 };
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace anvilwalk::fakes
