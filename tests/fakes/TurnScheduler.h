#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <pcg_random.hpp>

namespace anvilwalk::fakes {

// Serialises two threads and switches between them only where they call waitForTurn(), in an order determined by the
// seed, so that an interleaving can be reproduced.
class TurnScheduler {
public:
    explicit TurnScheduler(std::uint64_t seed)
        : m_random(seed)
        , m_turn(static_cast<int>(m_random(2)))
    {
    }

    // Blocks until it is the thread's turn. Thread 0 and 1 call it before each of their steps.
    void waitForTurn(int thread)
    {
        std::unique_lock lock(m_mutex);
        if (m_running == thread)
            scheduleNext();
        m_changed.wait(lock, [&] { return m_turn == thread && m_running == -1; });
        m_running = thread;
    }

    // Each thread calls it after its last step.
    void finish(int thread)
    {
        const std::lock_guard lock(m_mutex);
        m_finished[thread] = true;
        if (m_running == thread)
            scheduleNext();
        else if (m_turn == thread)
            m_turn = 1 - thread;
        m_changed.notify_all();
    }

private:
    void scheduleNext()
    {
        m_running = -1;
        m_turn = static_cast<int>(m_random(2));
        if (m_finished[m_turn])
            m_turn = 1 - m_turn;
        m_changed.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    pcg32 m_random;
    int m_turn;
    int m_running = -1;
    bool m_finished[2] = { false, false };
};

} // namespace anvilwalk::fakes
