#include <anvilwalk/request.h>

#include <array>

namespace anvilwalk {

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
