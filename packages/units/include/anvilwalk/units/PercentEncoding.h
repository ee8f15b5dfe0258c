#pragma once

#include <string>
#include <string_view>

namespace anvilwalk {

// Percent-encodes a text for use as a URL path segment or query value. Letters, digits, "-", "." and "_" are not
// encoded, all other bytes become "%XX".
std::string percentEncode(std::string_view text);

} // namespace anvilwalk
