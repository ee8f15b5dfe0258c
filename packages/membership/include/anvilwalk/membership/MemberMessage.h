#pragma once

#include <anvilwalk/membership/Member.h>
#include <anvilwalk/units.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace anvilwalk {

enum class MemberMessageKind : std::uint8_t {
    // The sender is running; sent regularly.
    Heartbeat,
    // Asks any balancer for members of the sender's data centre.
    Query,
    // Answers a query.
    Introduction,
};

// Datagram between balancers.
struct MemberMessage {
    MemberMessageKind kind = MemberMessageKind::Heartbeat;
    Member sender;
    // The sender is stopping and must not be relied on any more.
    bool leaving = false;
    // The sender has a complete view.
    bool hasView = false;
    // The sender follows the store and passes changes on to followers.
    bool relay = false;
    // The sender waits for a read of targets that is not stale.
    bool needsCurrentTargets = false;
    ViewStatus view {};
    // Number of members of the data centre that the sender hears from, itself included.
    std::uint32_t memberCount = 1;
    // Longest-running members of the receiver's data centre that the sender knows.
    std::vector<Member> members {};

    friend bool operator==(const MemberMessage&, const MemberMessage&) = default;
};

// Largest encoded message, in bytes; fits into one datagram without fragmentation.
inline constexpr std::size_t maxMemberMessageBytes = 1400;

// Encodes a message as CBOR.
std::string encodeMemberMessage(const MemberMessage&);

// InvalidArgument: the bytes are not a message of this format.
Result<MemberMessage> decodeMemberMessage(std::string_view bytes);

} // namespace anvilwalk
