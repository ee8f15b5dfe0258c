#pragma once

#include <anvilwalk/placement.h>
#include <anvilwalk/units.h>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace anvilwalk {

// Decoded content of a store entry. Empty if it is invalid or not needed.
using EntryContent = std::variant<std::monostate, TargetRecord, RouteTablePointer>;

// One entry of the store, or a change event for one.
struct StoreEntry {
    // Empty if the name cannot be decoded.
    std::string name;
    StoreVersion version;
    // The entry was deleted. The version is that of its last content.
    bool removed = false;
    EntryContent content;
    // Why the content is invalid; empty if it is valid.
    std::string error;
};

struct StorePage {
    std::vector<StoreEntry> entries;
    // Whether more entries follow the last one of this page.
    bool more = false;
    // Version of the store at the time of the response.
    StoreVersion version;
};

struct StoreChanges {
    // In the order of their commits.
    std::vector<StoreEntry> entries;
    // Version from which the next watch continues.
    StoreVersion version;
};

// Whether a read may be served from a replica that lags by seconds; such a read costs the store less.
enum class ReadFreshness : std::uint8_t {
    Current,
    MayBeStale,
};

// Reads one kind of entry from the platform's store. Calls must not overlap.
// Errors: Gone (the store has discarded the requested history), Unavailable (no usable response; no state was changed).
class StoreReader {
public:
    virtual ~StoreReader() = default;

    // Lists entries in name order, starting after the given name; an empty name starts at the first entry.
    virtual boost::asio::awaitable<Result<StorePage>> list(std::string after, ReadFreshness) = 0;
    // Returns the changes after a version; waits up to the given time for the first one.
    virtual boost::asio::awaitable<Result<StoreChanges>> watch(
        StoreVersion from, std::chrono::milliseconds wait, ReadFreshness)
        = 0;
};

} // namespace anvilwalk
