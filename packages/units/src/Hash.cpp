#include <anvilwalk/units.h>

#include <xxhash.h>

namespace anvilwalk {

std::uint64_t hashBytes(const void* data, std::size_t size, std::uint64_t seed) { return XXH64(data, size, seed); }

} // namespace anvilwalk
