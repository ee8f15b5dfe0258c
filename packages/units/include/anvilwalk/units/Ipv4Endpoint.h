#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace anvilwalk {

// An IPv4 address in host byte order.
struct Ipv4Address {
    std::uint32_t value = 0;

    friend constexpr auto operator<=>(const Ipv4Address&, const Ipv4Address&) = default;

    std::string toString() const;
    // Parses dotted-quad notation. Returns nullopt if the text is not exactly one address.
    static std::optional<Ipv4Address> parse(std::string_view text);
};

// An IPv4 address and a port, both in host byte order.
struct Ipv4Endpoint {
    Ipv4Address address;
    std::uint16_t port = 0;

    friend constexpr auto operator<=>(const Ipv4Endpoint&, const Ipv4Endpoint&) = default;

    std::string toString() const;
    // Parses "address:port" with a port from 1 to 65535. Returns nullopt on any other text.
    static std::optional<Ipv4Endpoint> parse(std::string_view text);
};

} // namespace anvilwalk
