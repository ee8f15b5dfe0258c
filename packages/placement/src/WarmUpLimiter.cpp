#include <anvilwalk/placement/WarmUpLimiter.h>

#include <algorithm>
#include <cmath>

namespace anvilwalk {

namespace {

    // Time over which openings are counted.
    constexpr std::chrono::seconds window { 1 };

} // namespace

WarmUpLimiter::WarmUpLimiter(const WarmUpLimiterOptions& options)
    : m_options(options)
{
}

void WarmUpLimiter::setRoutes(const RouteTable& routes)
{
    m_limits.clear();
    for (const WarmUpLimit& limit : routes.warmUpLimits()) {
        const double half = std::floor((limit.flowsPerSecond * m_options.factor + m_options.slack) / 2);
        const auto most = static_cast<double>(m_options.maxOpeningsPerSecond);
        m_limits[limit.service] = static_cast<std::size_t>(std::clamp(half, 0.0, most));
    }
}

void WarmUpLimiter::setMembers(const std::vector<BalancerId>& members, MonotonicTime now)
{
    const std::size_t count = std::min(members.size(), m_options.ownerCandidates);
    const auto end = members.begin() + static_cast<std::ptrdiff_t>(count);
    m_membersAt = now;
    if (m_candidates.empty()
        || !std::equal(members.begin(), end, m_candidates.back().members.begin(), m_candidates.back().members.end()))
        m_candidates.push_back({ .members = { members.begin(), end }, .since = now });
    while (m_candidates.size() > 1 && now - m_candidates[1].since > m_options.settleTime)
        m_candidates.pop_front();
}

const std::size_t* WarmUpLimiter::limitOf(const Target& target, MonotonicTime now) const
{
    if (m_limits.empty() || now >= target.coldUntil)
        return nullptr;
    const auto found = m_limits.find(target.record.service);
    return found == m_limits.end() ? nullptr : &found->second;
}

bool WarmUpLimiter::mayOpen(const Target& target, MonotonicTime now) const
{
    const std::size_t* limit = limitOf(target, now);
    if (limit == nullptr)
        return true;
    if (*limit == 0 || !isOwner(target, now))
        return false;
    const auto found = m_openingTimes.find(target.token);
    if (found == m_openingTimes.end() || found->second.size() < *limit)
        return true;
    const std::deque<MonotonicTime>& times = found->second;
    return now - times[times.size() - *limit] > window;
}

void WarmUpLimiter::recordOpening(const Target& target, MonotonicTime now)
{
    const std::size_t* limit = limitOf(target, now);
    if (limit == nullptr)
        return;
    ++m_openings;
    std::deque<MonotonicTime>& times = m_openingTimes[target.token];
    times.push_back(now);
    while (times.size() > *limit)
        times.pop_front();
}

bool WarmUpLimiter::isCandidate(MonotonicTime now) const
{
    if (m_candidates.empty() || now - m_options.startedAt < m_options.startupTime
        || now - m_membersAt > m_options.maxMembersAge)
        return false;
    const std::vector<BalancerId>& members = m_candidates.back().members;
    return members.size() > 1 && std::find(members.begin(), members.end(), m_options.balancer) != members.end();
}

bool WarmUpLimiter::isOwner(const Target& target, MonotonicTime now) const
{
    if (target.record.dataCentre != m_options.dataCentre || !isCandidate(now))
        return false;
    for (std::size_t index = 0; index < m_candidates.size(); ++index) {
        const bool isOver
            = index + 1 < m_candidates.size() && now - m_candidates[index + 1].since > m_options.settleTime;
        const std::vector<BalancerId>& members = m_candidates[index].members;
        if (!isOver && (members.size() < 2 || ownerOf(target, members) != m_options.balancer))
            return false;
    }
    return true;
}

const BalancerId& WarmUpLimiter::ownerOf(const Target& target, const std::vector<BalancerId>& members)
{
    // Rendezvous hash: when the members change, only the targets of those that are gone or new get another owner.
    return *std::max_element(members.begin(), members.end(), [&](const BalancerId& a, const BalancerId& b) {
        return hashText(a.value(), target.token.value()) < hashText(b.value(), target.token.value());
    });
}

void WarmUpLimiter::expire(MonotonicTime now)
{
    absl::erase_if(
        m_openingTimes, [&](const auto& entry) { return entry.second.empty() || now - entry.second.back() > window; });
}

} // namespace anvilwalk
