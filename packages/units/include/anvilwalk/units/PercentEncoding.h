#pragma once

#include <string>
#include <string_view>

namespace anvilwalk {

// A text as one segment of a path or value of a query: letters, digits, "-", "." and "_" stay, other bytes become
// "%XX".
std::string percentEncode(std::string_view text);

} // namespace anvilwalk
