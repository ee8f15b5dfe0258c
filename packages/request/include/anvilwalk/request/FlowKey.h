#pragma once

#include <anvilwalk/units.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace anvilwalk {

enum class Protocol : std::uint8_t {
    Tcp = 6,
    Udp = 17,
};

// Address, protocol and port under which clients reach a service.
struct ServiceAddress {
    Ipv4Address address;
    std::uint16_t port = 0;
    Protocol protocol = Protocol::Tcp;

    friend constexpr auto operator<=>(const ServiceAddress&, const ServiceAddress&) = default;

    // "address:port/tcp" or "address:port/udp".
    std::string toString() const;
    // Parses the form of toString; nothing on any other text.
    static std::optional<ServiceAddress> parse(std::string_view text);

    template <class HashState>
    friend HashState AbslHashValue(HashState state, const ServiceAddress& a) // NOLINT(readability-identifier-naming)
    {
        return HashState::combine(std::move(state), a.address.value, a.port, a.protocol);
    }
};

// The 5-tuple of a flow, as sent by the client. Addresses and ports are in host byte order.
struct FlowKey {
    Ipv4Address source;
    Ipv4Address destination;
    std::uint16_t sourcePort = 0;
    std::uint16_t destinationPort = 0;
    Protocol protocol = Protocol::Tcp;

    friend constexpr auto operator<=>(const FlowKey&, const FlowKey&) = default;

    ServiceAddress serviceAddress() const
    {
        return { .address = destination, .port = destinationPort, .protocol = protocol };
    }

    // Equal on all balancers; the slot of a flow is derived from it.
    std::uint64_t hash() const;
};

// Hash functor for containers with flows as keys.
struct FlowKeyHash {
    std::size_t operator()(const FlowKey& key) const { return key.hash(); }
};

} // namespace anvilwalk
