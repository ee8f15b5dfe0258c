#pragma once

#include <anvilwalk/request.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace anvilwalk::standins {

// A request that waits for a slot or runs in one.
struct SlotJob {
    FlowKey flow;
    std::string id;
    std::chrono::milliseconds duration { 0 };
    std::chrono::steady_clock::time_point end;
};

// Runs requests in a fixed number of slots, first come, first served. Holds no threads and reads no clock.
class SlotQueue {
public:
    using Time = std::chrono::steady_clock::time_point;

    SlotQueue(std::size_t slots, std::size_t queueLimit)
        : m_slots(slots)
        , m_queueLimit(queueLimit)
    {
    }

    // False if the queue is full; the job then does not run.
    bool add(SlotJob);
    // Removes jobs of a flow that have not started; they do not run.
    void cancelWaiting(const FlowKey&);
    // Starts the waiting jobs that fit into the slots and returns them.
    std::vector<SlotJob> startWaiting(Time now);
    // Removes and returns the jobs that have ended.
    std::vector<SlotJob> takeFinished(Time now);
    std::size_t busySlots() const { return m_running.size(); }

private:
    std::size_t m_slots;
    std::size_t m_queueLimit;
    std::deque<SlotJob> m_waiting;
    std::vector<SlotJob> m_running;
};

} // namespace anvilwalk::standins
