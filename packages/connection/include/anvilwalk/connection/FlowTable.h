#pragma once

#include <anvilwalk/connection/FlowRecord.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace anvilwalk {

struct FlowTableOptions {
    // Least number of flows the table can hold; see FlowTable::capacity. The memory is reserved at once.
    std::size_t capacity = 1'000'000;
    // Number of independently locked parts; a power of two.
    std::size_t shards = 64;
    // Time a closed record stays.
    std::chrono::milliseconds closedLinger { 60'000 };
};

// Outcome of FlowTable::insert.
struct InsertResult {
    enum class Kind {
        Inserted,
        // A record for the flow exists; it was kept.
        Existing,
        Full,
    };
    Kind kind = Kind::Full;
    // The record now in the table; unset when the table is full.
    std::optional<FlowRecord> record;
};

struct FlowEntry {
    FlowKey key;
    FlowRecord record;
};

// Flow records in shards, each under its own lock, with fixed capacity. Safe for use by several threads.
class FlowTable {
public:
    explicit FlowTable(const FlowTableOptions&);
    ~FlowTable();
    FlowTable(const FlowTable&) = delete;
    FlowTable& operator=(const FlowTable&) = delete;

    // The record of a flow. The caller gives FlowKey::hash() so that it is computed once a packet.
    std::optional<FlowRecord> find(const FlowKey&, std::uint64_t hash) const;

    // Like find, and marks the flow as seen; a closing packet closes the record.
    std::optional<FlowRecord> touch(const FlowKey&, std::uint64_t hash, PacketKind, MonotonicTime now);

    // Adds a record unless one of the same kind exists. A Confirmed record replaces an Observed one.
    InsertResult insert(const FlowKey&, std::uint64_t hash, const FlowRecord&, MonotonicTime now);

    // Sets the target of a flow, whether or not a record exists. For a confirmation from a backup.
    InsertResult assign(const FlowKey&, std::uint64_t hash, const FlowRecord&, MonotonicTime now);

    // Notes an opening packet of a stable slot. Adds the record, or marks the existing one as opened now and not
    // closed, and keeps its kind. Inserted means a new flow: there was no record or it was closed.
    InsertResult observe(const FlowKey&, std::uint64_t hash, const FlowRecord&, MonotonicTime now);

    // Whether a new record of the flow would find room.
    bool hasRoom(std::uint64_t hash) const;

    // Removes records that are idle longer than their service's deadline, and closed ones after the linger
    // time. Returns the number removed. Each call holds one shard's lock at a time.
    std::size_t expire(MonotonicTime now, const std::function<std::chrono::milliseconds(ServiceId)>& idleDeadline);

    // Removes the records for which the predicate holds. Returns the number removed.
    std::size_t eraseIf(const std::function<bool(const FlowEntry&)>& predicate);

    // Calls the visitor for every record, one shard at a time.
    void visit(const std::function<void(const FlowEntry&)>& visitor) const;

    std::size_t size() const;
    std::size_t capacity() const;
    // Bytes reserved for keys and records, without the locks.
    std::size_t memoryBytes() const;

    // Milliseconds of a time on the clock of the records.
    static std::uint32_t toMilliseconds(MonotonicTime);

private:
    struct Shard;
    Shard& shardOf(std::uint64_t hash) const;

    FlowTableOptions m_options;
    std::size_t m_shardCapacity;
    std::vector<std::unique_ptr<Shard>> m_shards;
};

} // namespace anvilwalk
