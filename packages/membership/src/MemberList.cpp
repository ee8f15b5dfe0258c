#include <anvilwalk/membership/MemberList.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace anvilwalk {

namespace {

    bool startedBefore(const Member& a, const Member& b)
    {
        return std::tie(a.startedMs, a.id) < std::tie(b.startedMs, b.id);
    }

} // namespace

std::string_view toString(MemberRole role)
{
    switch (role) {
    case MemberRole::Independent:
        return "independent";
    case MemberRole::Relay:
        return "relay";
    case MemberRole::Follower:
        return "follower";
    }
    return "unknown";
}

MemberList::MemberList(const MemberListOptions& options, Member self)
    : m_options(options)
    , m_self(std::move(self))
{
}

void MemberList::setOwnState(bool hasView, bool leaving)
{
    m_hasView = hasView;
    m_leaving = leaving;
}

MemberListChange MemberList::handle(const MemberMessage& message, MonotonicTime now)
{
    if (message.sender.id == m_self.id)
        return {};
    if (message.leaving) {
        m_entries.erase(message.sender.id.value());
        return {};
    }
    MemberListChange change { .newSender = confirm(message, now) };
    for (const Member& member : message.members) {
        // Introductions to members of other data centres are not needed.
        if (isLocal(member) && introduce(member, now))
            change.introduced = true;
    }
    return change;
}

bool MemberList::confirm(const MemberMessage& message, MonotonicTime now)
{
    introduce(message.sender, now);
    const auto found = m_entries.find(message.sender.id.value());
    if (found == m_entries.end())
        return false;
    const bool isNew = !found->second.confirmed || found->second.member.startedMs != message.sender.startedMs;
    found->second = { .member = message.sender,
        .confirmed = true,
        .hasView = message.hasView,
        .needsCurrentTargets = message.needsCurrentTargets,
        .memberCount = message.memberCount,
        .lastHeard = now };
    return isNew;
}

bool MemberList::introduce(const Member& member, MonotonicTime now)
{
    if (member.id == m_self.id || m_entries.size() >= m_options.maxMembers)
        return false;
    const auto [found, inserted]
        = m_entries.try_emplace(member.id.value(), Entry { .member = member, .lastHeard = now });
    // A member that has been heard of is not refreshed: two balancers that introduce a stopped member to each other
    // would keep it.
    if (inserted || !found->second.confirmed)
        found->second.lastHeard = now;
    return inserted;
}

void MemberList::expire(MonotonicTime now)
{
    absl::erase_if(m_entries, [&](const auto& entry) {
        const auto timeout = isLocal(entry.second.member) ? m_options.memberTimeout : m_options.remoteMemberTimeout;
        return now - entry.second.lastHeard >= timeout;
    });
}

std::vector<const MemberList::Entry*> MemberList::localEntries() const
{
    std::vector<const Entry*> entries;
    for (const auto& [id, entry] : m_entries) {
        if (isLocal(entry.member))
            entries.push_back(&entry);
    }
    return entries;
}

bool MemberList::usesRelays() const
{
    const std::vector<const Entry*> others = localEntries();
    // Hubs hear from more members than others do.
    std::size_t count = memberCount();
    for (const Entry* entry : others)
        count = std::max<std::size_t>(count, entry->memberCount);
    return count >= m_options.minMembersForRelays;
}

MemberRole MemberList::role() const
{
    if (!usesRelays())
        return MemberRole::Independent;
    const std::vector<const Entry*> others = localEntries();
    const auto before = std::count_if(others.begin(), others.end(),
        [this](const Entry* entry) { return entry->hasView && (!m_hasView || startedBefore(entry->member, m_self)); });
    return static_cast<std::size_t>(before) < m_options.relayCount ? MemberRole::Relay : MemberRole::Follower;
}

bool MemberList::isHub() const
{
    const std::vector<const Entry*> others = localEntries();
    const auto before = std::count_if(
        others.begin(), others.end(), [this](const Entry* entry) { return startedBefore(entry->member, m_self); });
    return static_cast<std::size_t>(before) < m_options.hubCount;
}

std::vector<Member> MemberList::heartbeatDestinations(MonotonicTime now) const
{
    std::vector<const Entry*> entries = localEntries();
    std::sort(entries.begin(), entries.end(),
        [](const Entry* a, const Entry* b) { return startedBefore(a->member, b->member); });
    const bool toAll = isHub() || m_leaving;
    std::size_t hubs = 0;
    std::vector<Member> destinations;
    for (const Entry* entry : entries) {
        if (!toAll && hubs == m_options.hubCount)
            break;
        destinations.push_back(entry->member);
        if (now - entry->lastHeard < m_options.hubSilence)
            ++hubs;
    }
    return destinations;
}

std::vector<Member> MemberList::introductionsFor(const DataCentreId& dataCentre) const
{
    std::vector<Member> members;
    for (const auto& [id, entry] : m_entries) {
        if (entry.member.dataCentre == dataCentre && entry.confirmed)
            members.push_back(entry.member);
    }
    if (dataCentre == m_self.dataCentre && !m_leaving)
        members.push_back(m_self);
    std::sort(members.begin(), members.end(), startedBefore);
    members.resize(std::min(members.size(), m_options.introductionCount));
    return members;
}

std::vector<Member> MemberList::localMembers() const
{
    std::vector<Member> members { m_self };
    for (const Entry* entry : localEntries()) {
        if (entry->confirmed)
            members.push_back(entry->member);
    }
    std::sort(members.begin(), members.end(), startedBefore);
    return members;
}

std::uint32_t MemberList::memberCount() const
{
    const std::vector<const Entry*> others = localEntries();
    const auto confirmed
        = std::count_if(others.begin(), others.end(), [](const Entry* entry) { return entry->confirmed; });
    return static_cast<std::uint32_t>(confirmed) + 1;
}

bool MemberList::anyNeedsCurrentTargets() const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
        [this](const auto& entry) { return isLocal(entry.second.member) && entry.second.needsCurrentTargets; });
}

} // namespace anvilwalk
