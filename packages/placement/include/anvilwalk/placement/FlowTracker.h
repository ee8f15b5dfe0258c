#pragma once

#include <anvilwalk/placement/TargetCatalogue.h>
#include <anvilwalk/request.h>
#include <anvilwalk/units.h>

#include <absl/container/flat_hash_map.h>
#include <array>
#include <cstddef>
#include <cstdint>

namespace anvilwalk {

// A target is suspected of having failed once its suspicion level reaches this value.
inline constexpr std::uint32_t suspicionThreshold = 2;

struct FlowTrackerOptions {
    // Maximum number of tracked flows; further flows are forwarded untracked.
    std::size_t capacity = 50'000;
    // A request without a response for this long no longer counts as in progress.
    std::chrono::milliseconds requestTimeout { 5'000 };
    // An opening packet that no later packet of the flow follows within this time no longer counts as pending. Clients
    // give up after 1.4 s.
    std::chrono::milliseconds openingTimeout { 1'600 };
};

// Targets that an opening packet and its retransmissions were sent to.
struct TriedTargets {
    // The first packet and two retransmissions.
    static constexpr std::size_t maximum = 3;
    std::array<FlowToken, maximum> tokens {};
    std::size_t count = 0;

    bool contains(FlowToken) const;
    void add(FlowToken);
};

// Tracks the flows forwarded by this balancer to estimate the load of each target. The estimate is used only to choose
// targets for new flows; forwarding an open flow does not depend on it.
class FlowTracker {
public:
    FlowTracker(const FlowTrackerOptions&, TargetCatalogue&, PlacementObserver& = PlacementObserver::none());

    // Returns whether packets of the flow were forwarded to the target with this token.
    bool isKnown(const FlowKey&, FlowToken) const;
    // Returns the targets tried for a flow that is not open yet.
    TriedTargets triedTargets(const FlowKey&) const;
    // Records a retransmitted opening packet: the last target tried has not responded in time.
    void recordRetransmittedOpening(const FlowKey&, MonotonicTime now);
    // Records an opening packet that is forwarded to a target.
    void recordOpening(const FlowKey&, FlowToken, MonotonicTime now);
    // Records any later packet that is forwarded to the flow's target.
    void recordPacket(const PacketFields&, Target&, MonotonicTime now);
    // Sets the time without a packet after which an open flow is removed.
    void setIdleTimeout(std::chrono::milliseconds timeout) { m_idleTimeout = timeout; }
    // Removes idle flows and ends the requests that have timed out.
    void expire(MonotonicTime now);
    // Removes a flow that was reset.
    void remove(const FlowKey&);

    std::size_t size() const { return m_flows.size(); }

private:
    struct Flow {
        // Token of the flow's target or, while the flow is not open, of the last target tried.
        FlowToken token;
        TriedTargets tried {};
        bool open = false;
        bool requestInProgress = false;
        std::uint32_t requestSequence = 0;
        // Acknowledgement number that the client sent with its request.
        std::uint32_t acknowledgedAtRequest = 0;
        MonotonicTime requestStart;
        MonotonicTime lastSeen;
    };

    void open(Flow&, Target&);
    void addSample(Target&, Duration, MonotonicTime now);
    void recordUnanswered(Target&, const FlowKey&, std::uint32_t weight, MonotonicTime now);
    void recordAnswer(Target&);
    void startRequest(Flow&, Target&, const PacketFields&, MonotonicTime now);
    void endRequest(Flow&, Target*);
    void release(Flow&);
    TargetActivity* activityOf(FlowToken);

    PlacementObserver& m_observer;
    FlowTrackerOptions m_options;
    std::chrono::milliseconds m_idleTimeout { 15'000 };
    TargetCatalogue& m_targets;
    absl::flat_hash_map<FlowKey, Flow, FlowKeyHash> m_flows;
};

} // namespace anvilwalk
