#pragma once

#include <anvilwalk/units/Ids.h>
#include <anvilwalk/units/StrongId.h>

#include <cstdint>

namespace anvilwalk {

// Counts how often the store was restored from an older copy. After a restore the store assigns revisions again that it
// had assigned before, to other changes.
using StoreEra = StrongId<struct StoreEraTag, std::uint32_t>;

// A StoreVersion holds the era in its upper bits and the revision in its lower ones, so that every version of a later
// era is newer than all versions of the eras before.
inline constexpr unsigned storeRevisionBits = 40;
inline constexpr std::uint64_t maxStoreRevision = (std::uint64_t { 1 } << storeRevisionBits) - 1;
inline constexpr std::uint64_t maxStoreEra = (std::uint64_t { 1 } << (64 - storeRevisionBits)) - 1;

constexpr StoreVersion makeStoreVersion(StoreEra era, std::uint64_t revision)
{
    return StoreVersion((std::uint64_t { era.value() } << storeRevisionBits) | (revision & maxStoreRevision));
}

constexpr StoreEra eraOf(StoreVersion version)
{
    return StoreEra(static_cast<std::uint32_t>(version.value() >> storeRevisionBits));
}

constexpr std::uint64_t revisionOf(StoreVersion version) { return version.value() & maxStoreRevision; }

} // namespace anvilwalk
