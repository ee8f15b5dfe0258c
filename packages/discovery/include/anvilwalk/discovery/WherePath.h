#pragma once

#include <anvilwalk/units.h>

#include <optional>
#include <string>
#include <string_view>

namespace anvilwalk {

// A query for the target that a new connection would get.
struct WhereQuery {
    Ipv4Endpoint client;
    Ipv4Endpoint service;

    friend bool operator==(const WhereQuery&, const WhereQuery&) = default;
};

// Start of the paths of such queries.
inline constexpr std::string_view wherePrefix = "/v1/where/";

// Returns the HTTP path of a query, "/v1/where/CLIENT/SERVICE" with both as address:port.
std::string wherePath(const WhereQuery&);

// Parses such a path. Returns nullopt on any other text.
std::optional<WhereQuery> parseWherePath(std::string_view path);

} // namespace anvilwalk
