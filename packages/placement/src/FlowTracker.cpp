#include <anvilwalk/placement/FlowTracker.h>

#include <algorithm>
#include <utility>

namespace anvilwalk {

namespace {

    // Targets answer opening packets immediately, so a single retransmission makes the target suspected.
    constexpr std::uint32_t openingRetransmissionWeight = suspicionThreshold;
    // Clients retransmit a request after 200 ms. A healthy target may exceed that occasionally under load.
    constexpr std::uint32_t requestRetransmissionWeight = 1;
    // The moving average of the response time gives a new sample a weight of 1/8.
    constexpr int responseSmoothing = 8;

    // Serial number arithmetic: whether a is after b modulo 2^32.
    bool isAfter(std::uint32_t a, std::uint32_t b) { return static_cast<std::int32_t>(a - b) > 0; }

    void decrement(std::uint32_t& count)
    {
        if (count > 0)
            --count;
    }

} // namespace

bool TriedTargets::contains(FlowToken token) const
{
    return std::find(tokens.begin(), tokens.begin() + count, token) != tokens.begin() + count;
}

void TriedTargets::add(FlowToken token)
{
    if (count < maximum)
        tokens[count++] = token;
}

FlowTracker::FlowTracker(const FlowTrackerOptions& options, TargetCatalogue& targets, PlacementObserver& observer)
    : m_observer(observer)
    , m_options(options)
    , m_targets(targets)
{
}

bool FlowTracker::isKnown(const FlowKey& key, FlowToken token) const
{
    const auto found = m_flows.find(key);
    return found != m_flows.end() && (found->second.token == token || found->second.tried.contains(token));
}

TriedTargets FlowTracker::triedTargets(const FlowKey& key) const
{
    const auto found = m_flows.find(key);
    return found == m_flows.end() || found->second.open ? TriedTargets {} : found->second.tried;
}

void FlowTracker::recordRetransmittedOpening(const FlowKey& key, MonotonicTime now)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end() || found->second.open)
        return;
    if (Target* target = m_targets.find(found->second.token))
        recordUnanswered(*target, key, openingRetransmissionWeight, now);
}

void FlowTracker::recordOpening(const FlowKey& key, FlowToken token, MonotonicTime now)
{
    auto found = m_flows.find(key);
    if (found != m_flows.end() && found->second.open) {
        // The client reuses the port for a new flow.
        release(found->second);
        m_flows.erase(found);
        found = m_flows.end();
    }
    if (found == m_flows.end()) {
        if (m_flows.size() >= m_options.capacity)
            return;
        found = m_flows.emplace(key, Flow {}).first;
    } else {
        release(found->second);
    }
    Flow& flow = found->second;
    flow.token = token;
    flow.lastSeen = now;
    if (!flow.tried.contains(token))
        flow.tried.add(token);
    if (TargetActivity* activity = activityOf(token))
        ++activity->pendingOpenings;
}

void FlowTracker::recordPacket(const PacketFields& fields, Target& target, MonotonicTime now)
{
    auto found = m_flows.find(fields.key);
    if (fields.kind == PacketKind::Closing) {
        if (found == m_flows.end())
            return;
        if (found->second.requestInProgress && !fields.reset
            && isAfter(fields.acknowledgement, found->second.acknowledgedAtRequest))
            addSample(target, now - found->second.requestStart, now);
        release(found->second);
        m_flows.erase(found);
        return;
    }
    if (found == m_flows.end()) {
        // The flow was opened through another balancer. A bare acknowledgement may be the last packet of a flow, so
        // only packets with a payload start tracking it.
        if (fields.payloadBytes == 0 || m_flows.size() >= m_options.capacity)
            return;
        found = m_flows.emplace(fields.key, Flow {}).first;
    }
    Flow& flow = found->second;
    flow.lastSeen = now;
    if (!flow.open || flow.token != target.token) {
        // The client has received the target's response to an opening packet that this balancer forwarded. A flow
        // opened through another balancer is no evidence that the target responds.
        if (!flow.open && flow.tried.contains(target.token))
            recordAnswer(target);
        open(flow, target);
    }
    if (flow.requestInProgress && isAfter(fields.acknowledgement, flow.acknowledgedAtRequest)) {
        addSample(target, now - flow.requestStart, now);
        endRequest(flow, &target);
    }
    if (fields.payloadBytes == 0)
        return;
    if (!flow.requestInProgress)
        startRequest(flow, target, fields, now);
    else if (fields.sequence == flow.requestSequence)
        recordUnanswered(target, fields.key, requestRetransmissionWeight, now);
}

void FlowTracker::open(Flow& flow, Target& target)
{
    release(flow);
    flow.token = target.token;
    flow.open = true;
    ++target.activity.openFlows;
}

void FlowTracker::addSample(Target& target, Duration sample, MonotonicTime now)
{
    TargetActivity& activity = target.activity;
    ++activity.responses;
    activity.responseTimeSum += sample;
    if (activity.responseTime == Duration::zero())
        activity.responseTime = sample;
    else
        activity.responseTime += (sample - activity.responseTime) / responseSmoothing;
    activity.lastResponse = now;
    recordAnswer(target);
    m_observer.onResponse(target, sample);
}

void FlowTracker::recordUnanswered(Target& target, const FlowKey& key, std::uint32_t weight, MonotonicTime now)
{
    TargetActivity& activity = target.activity;
    const bool wasSuspected = activity.suspicionLevel >= suspicionThreshold;
    activity.suspicionLevel += weight;
    activity.lastUnanswered = now;
    if (!wasSuspected && activity.suspicionLevel >= suspicionThreshold)
        m_observer.onSuspected(target, key);
}

void FlowTracker::recordAnswer(Target& target)
{
    if (std::exchange(target.activity.suspicionLevel, 0) >= suspicionThreshold)
        m_observer.onRecovered(target);
}

void FlowTracker::startRequest(Flow& flow, Target& target, const PacketFields& fields, MonotonicTime now)
{
    flow.requestInProgress = true;
    flow.requestSequence = fields.sequence;
    flow.acknowledgedAtRequest = fields.acknowledgement;
    flow.requestStart = now;
    ++target.activity.requestsInProgress;
}

void FlowTracker::endRequest(Flow& flow, Target* target)
{
    flow.requestInProgress = false;
    if (target != nullptr)
        decrement(target->activity.requestsInProgress);
}

void FlowTracker::release(Flow& flow)
{
    TargetActivity* activity = activityOf(flow.token);
    if (activity != nullptr) {
        if (flow.open)
            decrement(activity->openFlows);
        else
            decrement(activity->pendingOpenings);
        if (flow.requestInProgress)
            decrement(activity->requestsInProgress);
    }
    flow.open = false;
    flow.requestInProgress = false;
    flow.token = FlowToken();
}

void FlowTracker::remove(const FlowKey& key)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end())
        return;
    release(found->second);
    m_flows.erase(found);
}

void FlowTracker::expire(MonotonicTime now)
{
    for (auto at = m_flows.begin(); at != m_flows.end();) {
        Flow& flow = at->second;
        if (flow.requestInProgress && now - flow.requestStart >= m_options.requestTimeout) {
            Target* target = m_targets.find(flow.token);
            endRequest(flow, target);
        }
        const auto timeout = flow.open ? m_idleTimeout : m_options.openingTimeout;
        if (now - flow.lastSeen < timeout) {
            ++at;
            continue;
        }
        release(flow);
        m_flows.erase(at++);
    }
}

TargetActivity* FlowTracker::activityOf(FlowToken token)
{
    Target* target = token == FlowToken() ? nullptr : m_targets.find(token);
    return target == nullptr ? nullptr : &target->activity;
}

} // namespace anvilwalk
