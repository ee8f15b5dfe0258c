#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace anvilwalk {

// Returns the 64-bit xxHash (XXH64) of a byte sequence. The result is equal on all balancers.
std::uint64_t hashBytes(const void* data, std::size_t size, std::uint64_t seed = 0);

inline std::uint64_t hashText(std::string_view text, std::uint64_t seed = 0)
{
    return hashBytes(text.data(), text.size(), seed);
}

} // namespace anvilwalk
