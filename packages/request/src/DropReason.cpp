#include <anvilwalk/request.h>

#include <array>

namespace anvilwalk {

std::string_view toString(DropReason reason)
{
    static constexpr std::array<std::string_view, dropReasonCount> names {
        "truncated",
        "bad_length",
        "bad_version",
        "ip_options",
        "fragment",
        "unsupported_protocol",
        "unknown_address",
        "addressed_to_balancer",
        "bad_relay_header",
        "stale_state",
        "no_target",
        "new_flow_limit",
        "open_flow_limit",
        "table_full",
        "too_many_relays",
        "no_owner",
        "reused_tuple",
        "no_token",
        "unknown_token",
        "target_gone",
    };
    const auto index = static_cast<std::size_t>(reason);
    return index < names.size() ? names[index] : std::string_view("unknown");
}

} // namespace anvilwalk
