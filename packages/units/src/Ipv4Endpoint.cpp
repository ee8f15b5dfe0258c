#include <anvilwalk/units.h>

#include <arpa/inet.h>
#include <charconv>

namespace anvilwalk {

std::string Ipv4Address::toString() const
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        if (!text.empty())
            text += '.';
        text += std::to_string((value >> shift) & 0xff);
    }
    return text;
}

std::optional<Ipv4Address> Ipv4Address::parse(std::string_view text)
{
    // inet_pton stops at a null byte and would accept the text before it.
    if (text.find('\0') != std::string_view::npos)
        return std::nullopt;
    in_addr address {};
    if (inet_pton(AF_INET, std::string(text).c_str(), &address) != 1)
        return std::nullopt;
    return Ipv4Address { .value = ntohl(address.s_addr) };
}

std::string Ipv4Endpoint::toString() const { return address.toString() + ":" + std::to_string(port); }

std::optional<Ipv4Endpoint> Ipv4Endpoint::parse(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto address = Ipv4Address::parse(text.substr(0, colon));
    if (!address)
        return std::nullopt;
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc {} || end != digits.data() + digits.size() || port == 0)
        return std::nullopt;
    return Ipv4Endpoint { .address = *address, .port = port };
}

} // namespace anvilwalk
