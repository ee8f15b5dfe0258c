#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace anvilwalk {

// A thread that runs blocking tasks sequentially.
class TaskThread {
public:
    TaskThread();
    // Waits for the current task to finish and discards queued tasks.
    ~TaskThread();
    TaskThread(const TaskThread&) = delete;
    TaskThread& operator=(const TaskThread&) = delete;

    void post(std::function<void()> task);

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks;
    bool m_stopped = false;
    std::thread m_thread;
};

} // namespace anvilwalk
