#pragma once

#include <anvilwalk/units.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace anvilwalk {

// A running balancer.
struct Member {
    BalancerId id;
    DataCentreId dataCentre;
    // Address at which it serves its view to other balancers.
    Ipv4Endpoint viewAddress;
    // Start time of its process in milliseconds since the Unix epoch, by its own clock. Constant for one run, so all
    // balancers order members equally.
    std::uint64_t startedMs = 0;

    friend bool operator==(const Member&, const Member&) = default;
};

// The evacuated data centres that a balancer knows: their targets get no new flows.
struct EvacuationStatus {
    // Version of the store at which they were listed last.
    StoreVersion version;
    // Version of the store at which the last change of the list was read; at most the version above.
    StoreVersion lastChange;
    // Time since the store last confirmed the list.
    Duration age { 0 };
    // In order of their names.
    std::vector<DataCentreId> dataCentres;

    friend bool operator==(const EvacuationStatus&, const EvacuationStatus&) = default;
};

// How recent a balancer's view of the store is.
struct ViewStatus {
    StoreVersion targets;
    // Version of the last change of a target; at most the version above.
    StoreVersion lastTargetChange {};
    ConfigVersion config;
    // Time since the store last confirmed the targets and the routes: each includes every change that the store had
    // accepted at that time.
    Duration targetsAge { 0 };
    Duration routesAge { 0 };
    // nullopt if the balancer does not follow evacuations or does not know them yet.
    std::optional<EvacuationStatus> evacuations {};

    friend bool operator==(const ViewStatus&, const ViewStatus&) = default;
};

} // namespace anvilwalk
