#include <anvilwalk/connection.h>

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <bit>
#include <mutex>
#include <stdexcept>

namespace anvilwalk {

namespace {

    // Key with its precomputed hash, so that a lookup does not hash the key again.
    struct HashedKey {
        FlowKey key;
        std::uint64_t hash;
    };

    struct KeyHash {
        using is_transparent = void; // NOLINT(readability-identifier-naming)
        std::size_t operator()(const FlowKey& key) const { return key.hash(); }
        std::size_t operator()(const HashedKey& key) const { return key.hash; }
    };

    struct KeyEqual {
        using is_transparent = void; // NOLINT(readability-identifier-naming)
        bool operator()(const FlowKey& a, const FlowKey& b) const { return a == b; }
        bool operator()(const FlowKey& a, const HashedKey& b) const { return a == b.key; }
        bool operator()(const HashedKey& a, const FlowKey& b) const { return a.key == b; }
    };

    using RecordMap = absl::flat_hash_map<FlowKey, FlowRecord, KeyHash, KeyEqual>;

    // absl::flat_hash_map keeps one control byte for each slot.
    constexpr std::size_t controlBytesPerSlot = 1;
    // absl::flat_hash_map grows when more than 7/8 of its slots are in use.
    constexpr std::size_t maxLoadNumerator = 7;
    constexpr std::size_t maxLoadDenominator = 8;
    // The shard is selected by high hash bits, because the map uses the low ones.
    constexpr unsigned shardHashShift = 48;

    std::uint32_t ageMs(std::uint32_t nowMs, std::uint32_t thenMs)
    {
        // Another thread may have updated the record after the caller read the clock, so the age can be negative.
        const auto age = static_cast<std::int32_t>(nowMs - thenMs);
        return age > 0 ? static_cast<std::uint32_t>(age) : 0;
    }

} // namespace

struct alignas(64) FlowTable::Shard {
    mutable std::mutex mutex;
    RecordMap records;
};

FlowTable::FlowTable(const FlowTableOptions& options)
    : m_options(options)
    , m_shardCapacity((options.capacity + options.shards - 1) / std::max<std::size_t>(options.shards, 1))
{
    if (options.capacity == 0)
        throw std::invalid_argument("The capacity of a flow table must be at least 1.");
    if (!std::has_single_bit(options.shards))
        throw std::invalid_argument("The number of shards of a flow table must be a power of two.");
    for (std::size_t i = 0; i < options.shards; ++i) {
        auto shard = std::make_unique<Shard>();
        shard->records.reserve(m_shardCapacity);
        m_shards.push_back(std::move(shard));
    }
    // The map rounds its capacity up; use all slots that it can fill without growing.
    const std::size_t reservedSlots = m_shards.front()->records.capacity();
    m_shardCapacity = std::max(m_shardCapacity, reservedSlots * maxLoadNumerator / maxLoadDenominator);
}

FlowTable::~FlowTable() = default;

FlowTable::Shard& FlowTable::shardOf(std::uint64_t hash) const
{
    return *m_shards[(hash >> shardHashShift) & (m_shards.size() - 1)];
}

std::optional<FlowRecord> FlowTable::find(const FlowKey& key, std::uint64_t hash) const
{
    const Shard& shard = shardOf(hash);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.records.find(HashedKey { key, hash });
    if (found == shard.records.end())
        return std::nullopt;
    return found->second;
}

std::optional<FlowRecord> FlowTable::touch(const FlowKey& key, std::uint64_t hash, PacketKind kind, MonotonicTime now)
{
    Shard& shard = shardOf(hash);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.records.find(HashedKey { key, hash });
    if (found == shard.records.end())
        return std::nullopt;
    FlowRecord& record = found->second;
    record.lastSeenMs = toMilliseconds(now);
    if (kind == PacketKind::Closing)
        record.closed = true;
    return record;
}

InsertResult FlowTable::insert(const FlowKey& key, std::uint64_t hash, const FlowRecord& record, MonotonicTime now)
{
    Shard& shard = shardOf(hash);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.records.find(HashedKey { key, hash });
    if (found != shard.records.end()) {
        if (found->second.kind == FlowRecordKind::Observed && record.kind == FlowRecordKind::Confirmed) {
            found->second = record;
            found->second.lastSeenMs = toMilliseconds(now);
            return { .kind = InsertResult::Kind::Inserted, .record = found->second };
        }
        return { .kind = InsertResult::Kind::Existing, .record = found->second };
    }
    if (shard.records.size() >= m_shardCapacity)
        return { .kind = InsertResult::Kind::Full, .record = std::nullopt };
    FlowRecord stamped = record;
    stamped.lastSeenMs = toMilliseconds(now);
    shard.records.emplace(key, stamped);
    return { .kind = InsertResult::Kind::Inserted, .record = stamped };
}

InsertResult FlowTable::assign(const FlowKey& key, std::uint64_t hash, const FlowRecord& record, MonotonicTime now)
{
    Shard& shard = shardOf(hash);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.records.find(HashedKey { key, hash });
    FlowRecord stamped = record;
    stamped.lastSeenMs = toMilliseconds(now);
    if (found != shard.records.end()) {
        found->second = stamped;
        return { .kind = InsertResult::Kind::Existing, .record = stamped };
    }
    if (shard.records.size() >= m_shardCapacity)
        return { .kind = InsertResult::Kind::Full, .record = std::nullopt };
    shard.records.emplace(key, stamped);
    return { .kind = InsertResult::Kind::Inserted, .record = stamped };
}

InsertResult FlowTable::observe(const FlowKey& key, std::uint64_t hash, const FlowRecord& record, MonotonicTime now)
{
    Shard& shard = shardOf(hash);
    const std::lock_guard lock(shard.mutex);
    const std::uint32_t nowMs = toMilliseconds(now);
    const auto found = shard.records.find(HashedKey { key, hash });
    if (found != shard.records.end()) {
        FlowRecord& existing = found->second;
        const bool reopened = existing.closed;
        if (reopened || existing.kind == FlowRecordKind::Observed)
            existing.target = record.target;
        existing.closed = false;
        existing.openedMs = nowMs;
        existing.lastSeenMs = nowMs;
        return { .kind = reopened ? InsertResult::Kind::Inserted : InsertResult::Kind::Existing, .record = existing };
    }
    if (shard.records.size() >= m_shardCapacity)
        return { .kind = InsertResult::Kind::Full, .record = std::nullopt };
    FlowRecord stamped = record;
    stamped.openedMs = nowMs;
    stamped.lastSeenMs = nowMs;
    shard.records.emplace(key, stamped);
    return { .kind = InsertResult::Kind::Inserted, .record = stamped };
}

bool FlowTable::hasRoom(std::uint64_t hash) const
{
    const Shard& shard = shardOf(hash);
    const std::lock_guard lock(shard.mutex);
    return shard.records.size() < m_shardCapacity;
}

std::size_t FlowTable::expire(
    MonotonicTime now, const std::function<std::chrono::milliseconds(ServiceId)>& idleDeadline)
{
    const std::uint32_t nowMs = toMilliseconds(now);
    return eraseIf([&](const FlowEntry& entry) {
        const auto limit = entry.record.closed ? m_options.closedLinger : idleDeadline(entry.record.service);
        return ageMs(nowMs, entry.record.lastSeenMs) > limit.count();
    });
}

std::size_t FlowTable::eraseIf(const std::function<bool(const FlowEntry&)>& predicate)
{
    std::size_t removed = 0;
    for (const auto& shard : m_shards) {
        const std::lock_guard lock(shard->mutex);
        removed += absl::erase_if(shard->records, [&](const RecordMap::value_type& entry) {
            return predicate({ entry.first, entry.second });
        });
    }
    return removed;
}

void FlowTable::visit(const std::function<void(const FlowEntry&)>& visitor) const
{
    for (const auto& shard : m_shards) {
        const std::lock_guard lock(shard->mutex);
        for (const auto& [key, record] : shard->records)
            visitor({ key, record });
    }
}

std::size_t FlowTable::size() const
{
    std::size_t total = 0;
    for (const auto& shard : m_shards) {
        const std::lock_guard lock(shard->mutex);
        total += shard->records.size();
    }
    return total;
}

std::size_t FlowTable::capacity() const { return m_shardCapacity * m_shards.size(); }

std::size_t FlowTable::memoryBytes() const
{
    std::size_t slots = 0;
    for (const auto& shard : m_shards) {
        const std::lock_guard lock(shard->mutex);
        slots += shard->records.capacity();
    }
    return slots * (sizeof(RecordMap::value_type) + controlBytesPerSlot);
}

std::uint32_t FlowTable::toMilliseconds(MonotonicTime time)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

} // namespace anvilwalk
