#pragma once

#include <cstddef>
#include <string_view>

namespace anvilwalk {

// Why a packet was not forwarded. Each reason has its own counter.
enum class DropReason {
    Truncated,
    BadLength,
    BadVersion,
    IpOptions,
    Fragment,
    UnsupportedProtocol,
    UnknownAddress,
    AddressedToBalancer,
    BadRelayHeader,
    // The balancer has not heard from a live peer recently; its tables may be old.
    StaleState,
    // No table or no target for the service.
    NoTarget,
    NewFlowLimit,
    OpenFlowLimit,
    TableFull,
    TooManyRelays,
    // The owner of the slot is not reachable.
    NoOwner,
    // An opening packet that reuses the tuple of a closed flow whose target is leaving.
    ReusedTuple,
    // A packet of an open flow carries no token.
    NoToken,
    // The token names no target that this balancer knows.
    UnknownToken,
    // The flow's target has ended.
    TargetGone,
    Count,
};

inline constexpr std::size_t dropReasonCount = static_cast<std::size_t>(DropReason::Count);

// Name of a reason as it appears in metrics and reports, for example "ip_options".
std::string_view toString(DropReason reason);

} // namespace anvilwalk
