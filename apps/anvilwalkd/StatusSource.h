#pragma once

#include "ControlLoop.h"
#include "PacketWorker.h"

#include <anvilwalk/process.h>

#include <functional>
#include <memory>

namespace anvilwalk {

struct StatusSourceOptions {
    BalancerId balancer;
    Incarnation incarnation;
    ControlLoop& control;
    SlotRouter& router;
    std::shared_ptr<FlowTable> flows;
    const Clock& clock;
    // Bytes of messages sent to other balancers.
    std::function<std::uint64_t()> controlBytesSent;
    // Number of packets that the kernel did not accept for sending.
    std::function<std::uint64_t()> sendFailures;
};

// Collects the status and metrics of this balancer.
class StatusSource {
public:
    explicit StatusSource(const StatusSourceOptions&);

    peer::BalancerStatus status() const;
    MetricsSample metrics() const;

private:
    StatusSourceOptions m_options;
    MonotonicTime m_start;
};

} // namespace anvilwalk
