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

// What an entry of the store says. Empty: it cannot be used, or its content is not needed.
using EntryContent = std::variant<std::monostate, TargetRecord, RouteTablePointer>;

// One entry of the store, or news of one.
struct StoreEntry {
    // Empty if not even the name can be read.
    std::string name;
    StoreVersion version;
    // The entry is no longer there. The version is that of its last content.
    bool removed = false;
    EntryContent content;
    // Why the content cannot be used; empty if it can.
    std::string problem;
};

struct StorePage {
    std::vector<StoreEntry> entries;
    // More entries follow after the last one's name.
    bool more = false;
    // Version of the store when it answered.
    StoreVersion version;
};

struct StoreChanges {
    // In the order in which they happened.
    std::vector<StoreEntry> entries;
    // The next watch continues from here.
    StoreVersion version;
};

// Whether an answer may come from a copy that is seconds behind; such answers cost less.
enum class ReadFreshness : std::uint8_t {
    Current,
    MayBeStale,
};

// Reads one kind of entry from the platform's store. Calls are made one after the other.
// Errors: Gone (the store no longer has the history asked for), Unavailable (no usable answer; nothing was changed).
class StoreReader {
public:
    virtual ~StoreReader() = default;

    // Entries whose names come after the given one, in order of their names. Empty: from the start.
    virtual boost::asio::awaitable<Result<StorePage>> list(std::string after) = 0;
    // Changes after a version; waits up to the given time for the first.
    virtual boost::asio::awaitable<Result<StoreChanges>> watch(
        StoreVersion from, std::chrono::milliseconds wait, ReadFreshness)
        = 0;
};

} // namespace anvilwalk
