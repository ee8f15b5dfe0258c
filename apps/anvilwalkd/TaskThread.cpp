#include "TaskThread.h"

#include <utility>

namespace anvilwalk {

TaskThread::TaskThread()
    : m_thread([this] { run(); })
{
}

TaskThread::~TaskThread()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void TaskThread::post(std::function<void()> task)
{
    {
        const std::lock_guard lock(m_mutex);
        m_tasks.push_back(std::move(task));
    }
    m_changed.notify_all();
}

void TaskThread::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopped) {
        if (m_tasks.empty()) {
            m_changed.wait(lock);
            continue;
        }
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace anvilwalk
