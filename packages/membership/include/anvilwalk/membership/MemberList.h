#pragma once

#include <anvilwalk/membership/Member.h>
#include <anvilwalk/membership/MemberMessage.h>
#include <anvilwalk/units.h>

#include <absl/container/flat_hash_map.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace anvilwalk {

// How a balancer learns of changes in the store.
enum class MemberRole : std::uint8_t {
    // Follows the store for itself only: the data centre is too small for relays, or no other member is known.
    Independent,
    // Follows the store and passes changes on.
    Relay,
    // Receives changes from relays.
    Follower,
};

std::string_view toString(MemberRole);

// What a message has changed in a member list.
struct MemberListChange {
    // The sender was not known to be running before.
    bool newSender = false;
    // Members were introduced that were not known before.
    bool introduced = false;
};

struct MemberListOptions {
    // Number of balancers of a data centre that follow the store. Two, so that one can fail without a gap.
    std::size_t relayCount = 2;
    // Number of the longest-running members that exchange heartbeats with all members: the relays and their successors.
    std::size_t hubCount = 4;
    // Number of the longest-running members that are introduced to others. More than the hubs, so that others know
    // successors when all hubs fail at once.
    std::size_t introductionCount = 8;
    // In a data centre with fewer members, every balancer follows the store itself.
    std::size_t minMembersForRelays = 8;
    // A member that has not been heard of for this long is considered stopped. Longer than three heartbeat intervals,
    // because datagrams are lost occasionally.
    std::chrono::milliseconds memberTimeout { 3500 };
    // Heartbeats are also sent to a successor of a hub that has been silent for this long; two heartbeat intervals.
    std::chrono::milliseconds hubSilence { 2200 };
    // The timeout for members of other data centres, which are known only from their queries. Longer than the interval
    // of these.
    std::chrono::milliseconds remoteMemberTimeout { 6000 };
    // Limits the memory that forged messages can use.
    std::size_t maxMembers = 4096;
};

// The running balancers that this one knows, and the roles that follow from them. Relays are the longest-running
// members with a complete view: they change rarely, and all balancers agree on them without an election. Balancers may
// disagree for a while; then more or fewer of them follow the store than necessary, which costs calls but no
// correctness.
class MemberList {
public:
    MemberList(const MemberListOptions&, Member self);

    // Sets whether this balancer has a complete view and whether it is stopping.
    void setOwnState(bool hasView, bool leaving);
    // Applies any message from another balancer.
    MemberListChange handle(const MemberMessage&, MonotonicTime now);
    // Removes members that have not been heard of within their timeout.
    void expire(MonotonicTime now);

    MemberRole role() const;
    // Returns whether this balancer is among the longest-running members of its data centre.
    bool isHub() const;
    // Returns the members to which this balancer sends heartbeats: all if it is a hub, else the hubs.
    std::vector<Member> heartbeatDestinations(MonotonicTime now) const;
    // Returns the longest-running members of a data centre, at most introductionCount.
    std::vector<Member> introductionsFor(const DataCentreId&) const;
    // Returns the members of the own data centre that have been heard of, this balancer included, longest-running
    // first.
    std::vector<Member> localMembers() const;
    // Returns the number of members of the own data centre that have been heard of, this balancer included.
    std::uint32_t memberCount() const;
    // Returns whether any member of the own data centre waits for a read of targets that is not stale.
    bool anyNeedsCurrentTargets() const;

    const Member& self() const { return m_self; }

private:
    struct Entry {
        Member member;
        // A message of the member itself has arrived, not only another balancer's introduction.
        bool confirmed = false;
        bool hasView = false;
        bool needsCurrentTargets = false;
        // Count of members that it hears from; meaningful for hubs only.
        std::uint32_t memberCount = 1;
        MonotonicTime lastHeard;
    };

    // Returns whether the member was not known before.
    bool introduce(const Member&, MonotonicTime now);
    bool confirm(const MemberMessage&, MonotonicTime now);
    bool isLocal(const Member& member) const { return member.dataCentre == m_self.dataCentre; }
    std::vector<const Entry*> localEntries() const;
    // Returns whether the data centre has enough members for relays.
    bool usesRelays() const;

    MemberListOptions m_options;
    Member m_self;
    bool m_hasView = false;
    bool m_leaving = false;
    absl::flat_hash_map<std::string, Entry> m_entries;
};

} // namespace anvilwalk
