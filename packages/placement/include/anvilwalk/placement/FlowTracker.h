#pragma once

#include <anvilwalk/placement/TargetCatalogue.h>
#include <anvilwalk/request.h>
#include <anvilwalk/units.h>

#include <absl/container/flat_hash_map.h>
#include <array>
#include <cstddef>
#include <cstdint>

namespace anvilwalk {

// A target is doubted once its signs of not answering reach this weight.
inline constexpr std::uint32_t doubtThreshold = 2;

struct FlowTrackerOptions {
    // Flows beyond this number are forwarded without being tracked.
    std::size_t capacity = 50'000;
    // A request without an answer for this long no longer counts as in progress.
    std::chrono::milliseconds requestTimeout { 5'000 };
    // An opening packet without a later packet for this long no longer counts as pending. Clients give up after 1.4 s.
    std::chrono::milliseconds openingTimeout { 1'600 };
};

// Targets that the copies of one opening packet were sent to.
struct TriedTargets {
    // The first packet and its two copies.
    static constexpr std::size_t maximum = 3;
    std::array<FlowToken, maximum> tokens {};
    std::size_t count = 0;

    bool contains(FlowToken) const;
    void add(FlowToken);
};

// Follows the flows that pass this balancer, to estimate what each target has in progress. Only choices for new flows
// use it: a flow that is not tracked is forwarded all the same.
class FlowTracker {
public:
    FlowTracker(const FlowTrackerOptions&, TargetCatalogue&, PlacementObserver& = PlacementObserver::none());

    // The targets tried for a flow that is not open yet.
    TriedTargets triedTargets(const FlowKey&) const;
    // Another copy of the opening packet has arrived, so the last target tried has not answered in time.
    void noteRepeatedOpening(const FlowKey&, MonotonicTime now);
    // An opening packet is sent to a target.
    void noteOpening(const FlowKey&, FlowToken, MonotonicTime now);
    // A later packet is sent to the flow's target.
    void notePacket(const PacketFields&, Target&, MonotonicTime now);
    // A flow without a packet for this long is forgotten.
    void setIdleTimeout(std::chrono::milliseconds timeout) { m_idleTimeout = timeout; }
    // Forgets idle flows and overdue requests.
    void expire(MonotonicTime now);
    // Forgets a flow that was reset.
    void forget(const FlowKey&);

    std::size_t size() const { return m_flows.size(); }

private:
    struct KeyHash {
        std::size_t operator()(const FlowKey& key) const { return key.hash(); }
    };

    struct Flow {
        // The flow's target, or while it is not open the last one tried.
        FlowToken token;
        TriedTargets tried {};
        bool open = false;
        bool requestInProgress = false;
        std::uint32_t requestSequence = 0;
        // Acknowledgement that the client had sent at its request.
        std::uint32_t acknowledgedAtRequest = 0;
        MonotonicTime requestSince;
        MonotonicTime lastSeen;
    };

    void open(Flow&, Target&);
    void addSample(Target&, Duration, MonotonicTime now);
    void noteUnanswered(Target&, const FlowKey&, std::uint32_t weight, MonotonicTime now);
    void noteAnswered(Target&);
    void startRequest(Flow&, Target&, const PacketFields&, MonotonicTime now);
    void endRequest(Flow&, Target*);
    void release(Flow&);
    TargetActivity* activityOf(FlowToken);

    PlacementObserver& m_observer;
    FlowTrackerOptions m_options;
    std::chrono::milliseconds m_idleTimeout { 15'000 };
    TargetCatalogue& m_targets;
    absl::flat_hash_map<FlowKey, Flow, KeyHash> m_flows;
};

} // namespace anvilwalk
