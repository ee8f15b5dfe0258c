#include <anvilwalk/request.h>

#include <array>

namespace anvilwalk {

std::string ServiceAddress::toString() const
{
    const Ipv4Endpoint endpoint { .address = address, .port = port };
    return endpoint.toString() + (protocol == Protocol::Tcp ? "/tcp" : "/udp");
}

std::optional<ServiceAddress> ServiceAddress::parse(std::string_view text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const std::string_view protocolName = text.substr(slash + 1);
    if (protocolName != "tcp" && protocolName != "udp")
        return std::nullopt;
    const auto endpoint = Ipv4Endpoint::parse(text.substr(0, slash));
    if (!endpoint)
        return std::nullopt;
    return ServiceAddress { .address = endpoint->address,
        .port = endpoint->port,
        .protocol = protocolName == "tcp" ? Protocol::Tcp : Protocol::Udp };
}

std::uint64_t FlowKey::hash() const
{
    // A fixed byte order keeps the hash equal on all machines.
    const std::array<std::uint64_t, 2> words {
        (static_cast<std::uint64_t>(source.value) << 32) | destination.value,
        (static_cast<std::uint64_t>(sourcePort) << 32) | (static_cast<std::uint64_t>(destinationPort) << 16)
            | static_cast<std::uint64_t>(protocol),
    };
    return hashBytes(words.data(), sizeof(words));
}

} // namespace anvilwalk
