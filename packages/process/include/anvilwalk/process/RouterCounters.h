#pragma once

#include <anvilwalk/request.h>
#include <anvilwalk/units.h>

#include <absl/container/flat_hash_map.h>
#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace anvilwalk {

// Counts of one service at one balancer. All are totals since the start, except for the current number of open flows.
struct ServiceCounts {
    ServiceId service;
    // Packets from the fabric.
    std::uint64_t packets = 0;
    // New flows that were forwarded to a target.
    std::uint64_t openings = 0;
    std::uint64_t refused = 0;
    std::uint64_t dropped = 0;
    // Packets relayed to another balancer.
    std::uint64_t relayed = 0;
    // The last count of the flow table plus the openings since then.
    std::uint64_t openFlows = 0;
    absl::flat_hash_map<TargetId, std::uint64_t> openingsByTarget;
    absl::flat_hash_map<TargetId, std::uint64_t> openFlowsByTarget;
};

// Values of all counters. They are read one after another, not atomically.
struct RouterCountsSnapshot {
    std::vector<ServiceCounts> services;
    std::array<std::uint64_t, dropReasonCount> drops {};
};

// Counters of one service. Thread-safe; striped over cache lines to avoid contention between threads.
class ServiceCounters {
public:
    explicit ServiceCounters(ServiceId);

    void addPacket();
    void addOpening(TargetId);
    void addRefused();
    void addDropped();
    void addRelayed();
    // Replaces the counts of open flows with those of a pass over the flow table.
    void setOpenFlows(absl::flat_hash_map<TargetId, std::uint64_t>);

    std::uint64_t openFlows() const { return m_openFlows.load(std::memory_order_relaxed); }
    ServiceCounts snapshot() const;

private:
    static constexpr std::size_t stripes = 16;

    struct alignas(64) Stripe {
        std::atomic<std::uint64_t> packets { 0 };
        std::atomic<std::uint64_t> refused { 0 };
        std::atomic<std::uint64_t> dropped { 0 };
        std::atomic<std::uint64_t> relayed { 0 };
    };
    Stripe& ownStripe();

    ServiceId m_service;
    std::array<Stripe, stripes> m_stripes;
    std::atomic<std::uint64_t> m_openFlows { 0 };
    mutable std::mutex m_mutex;
    absl::flat_hash_map<TargetId, std::uint64_t> m_openingsByTarget;
    absl::flat_hash_map<TargetId, std::uint64_t> m_openFlowsByTarget;
};

// Counters of a packet router. The counters of a service are kept across configuration changes.
class RouterCounters {
public:
    std::shared_ptr<ServiceCounters> forService(ServiceId);
    void addDrop(DropReason);
    RouterCountsSnapshot snapshot() const;

private:
    std::array<std::atomic<std::uint64_t>, dropReasonCount> m_drops {};
    mutable std::mutex m_mutex;
    absl::flat_hash_map<ServiceId, std::shared_ptr<ServiceCounters>> m_services;
};

} // namespace anvilwalk
