#pragma once

#include <anvilwalk/process.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace anvilwalk {

// Removes flow records that are over, and counts the open flows, on a thread of its own.
class FlowHousekeeper {
public:
    FlowHousekeeper(
        std::shared_ptr<FlowTable>, SlotRouter&, const Clock&, std::function<RoutingStatePointer()> routingState);
    ~FlowHousekeeper();
    FlowHousekeeper(const FlowHousekeeper&) = delete;
    FlowHousekeeper& operator=(const FlowHousekeeper&) = delete;

private:
    void run();
    void expireRecords();

    std::shared_ptr<FlowTable> m_flows;
    SlotRouter& m_router;
    const Clock& m_clock;
    std::function<RoutingStatePointer()> m_routingState;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopped = false;
    std::thread m_thread;
};

} // namespace anvilwalk
