#include "SlotQueue.h"

#include <utility>

namespace anvilwalk::standins {

bool SlotQueue::add(SlotJob job)
{
    if (m_waiting.size() >= m_queueLimit)
        return false;
    m_waiting.push_back(std::move(job));
    return true;
}

void SlotQueue::cancelWaiting(const FlowKey& flow)
{
    std::erase_if(m_waiting, [&flow](const SlotJob& job) { return job.flow == flow; });
}

std::vector<SlotJob> SlotQueue::startWaiting(Time now)
{
    std::vector<SlotJob> started;
    while (m_running.size() < m_slots && !m_waiting.empty()) {
        SlotJob job = std::move(m_waiting.front());
        m_waiting.pop_front();
        job.end = now + job.duration;
        m_running.push_back(job);
        started.push_back(std::move(job));
    }
    return started;
}

std::vector<SlotJob> SlotQueue::takeFinished(Time now)
{
    std::vector<SlotJob> finished;
    std::erase_if(m_running, [&](const SlotJob& job) {
        if (job.end > now)
            return false;
        finished.push_back(job);
        return true;
    });
    return finished;
}

} // namespace anvilwalk::standins
