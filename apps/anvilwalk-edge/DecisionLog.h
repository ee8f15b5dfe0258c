#pragma once

#include "PacketFormat.h"
#include "PacketLoop.h"
#include "ResponseHistogram.h"
#include "RoutingView.h"

#include <anvilwalk/eventlog.h>
#include <anvilwalk/placement.h>

#include <string>

namespace anvilwalk {

// Logs placement decisions and changes of target state, with the inputs of each decision. A line of kind "request"
// maps a request id to its flow.
class DecisionLog final : public PlacementObserver, public ForwardObserver {
public:
    DecisionLog(EventLog&, const PacketFormat&);

    // Sets the view whose version and age are logged with each decision.
    void setView(const RoutingView& view) { m_view = &view; }

    void onPlaced(const PlacementEvent&) override;
    void onRefused(const RefusalEvent&) override;
    void onSuspected(const Target&, const FlowKey&) override;
    void onRecovered(const Target&) override;
    void onAbsent(const Target&) override;
    void onResponse(const Target&, Duration) override;
    void onForwarded(const PacketView&, const ForwardToTarget&) override;

    const ResponseHistogram& responses() const { return m_responses; }

private:
    void addFlow(const FlowKey&);
    void addView();

    EventLog& m_log;
    const PacketFormat& m_format;
    const RoutingView* m_view = nullptr;
    ResponseHistogram m_responses;
};

// Formats a flow as "client>service" for log lines, for example "100.64.0.7:40001>198.18.0.1:443".
std::string flowName(const FlowKey&);

} // namespace anvilwalk
