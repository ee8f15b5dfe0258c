#pragma once

#include <anvilwalk/units/Ipv4Endpoint.h>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace anvilwalk {

inline sockaddr_in toSocketAddress(const Ipv4Endpoint& endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(endpoint.address.value);
    return address;
}

inline Ipv4Endpoint toEndpoint(const sockaddr_in& address)
{
    return { .address = { ntohl(address.sin_addr.s_addr) }, .port = ntohs(address.sin_port) };
}

} // namespace anvilwalk
