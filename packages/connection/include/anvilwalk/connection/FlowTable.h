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
    // Minimum number of flows the table can hold; see FlowTable::capacity. The memory is reserved on construction.
    std::size_t capacity = 1'000'000;
    // Number of shards, each with its own lock; must be a power of two.
    std::size_t shards = 64;
    // Time after its last packet for which a closed record is kept.
    std::chrono::milliseconds closedLinger { 60'000 };
};

// Result of FlowTable::insert, assign and observe.
struct InsertResult {
    enum class Kind {
        Inserted,
        // The flow already had a record: insert keeps it, assign replaces it, observe updates it.
        Existing,
        Full,
    };
    Kind kind = Kind::Full;
    // The record now in the table; unset if the shard of the flow is full.
    std::optional<FlowRecord> record;
};

struct FlowEntry {
    FlowKey key;
    FlowRecord record;
};

// Sharded hash table of flow records with a fixed capacity and one lock per shard. Thread-safe.
class FlowTable {
public:
    explicit FlowTable(const FlowTableOptions&);
    ~FlowTable();
    FlowTable(const FlowTable&) = delete;
    FlowTable& operator=(const FlowTable&) = delete;

    // Returns the record of a flow. The caller passes FlowKey::hash() so that it is computed once per packet.
    std::optional<FlowRecord> find(const FlowKey&, std::uint64_t hash) const;

    // Like find, but also updates the time of the last packet; a closing packet marks the record as closed.
    std::optional<FlowRecord> touch(const FlowKey&, std::uint64_t hash, PacketKind, MonotonicTime now);

    // Adds a record if the flow has none. A Confirmed record replaces an Observed one.
    InsertResult insert(const FlowKey&, std::uint64_t hash, const FlowRecord&, MonotonicTime now);

    // Adds the record or replaces the existing one. Used when the backup confirms the target of a flow.
    InsertResult assign(const FlowKey&, std::uint64_t hash, const FlowRecord&, MonotonicTime now);

    // Records an opening packet of a stable slot. Adds the record, or marks the existing one as opened now and not
    // closed, keeping its kind. Inserted means a new flow: there was no record or it was closed.
    InsertResult observe(const FlowKey&, std::uint64_t hash, const FlowRecord&, MonotonicTime now);

    // Whether the shard of this hash can take another record.
    bool hasRoom(std::uint64_t hash) const;

    // Removes records idle for longer than their service's deadline, and closed ones after closedLinger. Returns
    // the number removed. Locks one shard at a time.
    std::size_t expire(MonotonicTime now, const std::function<std::chrono::milliseconds(ServiceId)>& idleDeadline);

    // Removes the records for which the predicate holds. Returns the number removed.
    std::size_t eraseIf(const std::function<bool(const FlowEntry&)>& predicate);

    // Calls the visitor for every record with the lock of its shard held.
    void visit(const std::function<void(const FlowEntry&)>& visitor) const;

    std::size_t size() const;
    std::size_t capacity() const;
    // Bytes reserved for keys and records, excluding the locks.
    std::size_t memoryBytes() const;

    // Converts a time to the 32-bit millisecond timestamps of FlowRecord, which wrap around.
    static std::uint32_t toMilliseconds(MonotonicTime);

private:
    struct Shard;
    Shard& shardOf(std::uint64_t hash) const;

    FlowTableOptions m_options;
    std::size_t m_shardCapacity;
    std::vector<std::unique_ptr<Shard>> m_shards;
};

} // namespace anvilwalk
