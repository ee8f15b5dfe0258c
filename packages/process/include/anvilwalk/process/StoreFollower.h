#pragma once

#include <anvilwalk/process/CellController.h>
#include <anvilwalk/process/ObjectStore.h>
#include <anvilwalk/process/RetryPolicy.h>

#include <functional>
#include <memory>
#include <string>

namespace anvilwalk {

struct StoreFollowerOptions {
    DataCentreId dataCentre;
    // Length of one watch call. A connection that is cut without a reset is noticed at its end, so this is
    // shorter than the 13 s within which a configuration must be in force.
    std::chrono::milliseconds watchTimeout { 8000 };
    RetryPolicyOptions retry;
    // Retries that all watches together may make at once, and the time after which one more is allowed.
    std::uint32_t retryBudget = 20;
    std::chrono::milliseconds retryRefill { 500 };
    // Seed of the jitter; balancers need different ones.
    std::uint64_t seed = 0;
};

// Called one at a time, from the follower's threads. A callback may call setWatching, but must not destroy the
// follower.
struct StoreFollowerCallbacks {
    std::function<void(ConfigSnapshotPointer)> onConfig;
    std::function<void(const table::TableSet&, StoreVersion)> onTable;
    std::function<void(const std::vector<VmEntry>&)> onVmList;
    std::function<void(const WriterLease&)> onLease;
    // Once after the start and then at each change.
    std::function<void(bool)> onReachable;
    // One sentence for the log about a failed call or an invalid object.
    std::function<void(const std::string&)> onProblem;
};

// Watches configuration, slot table, VM list and lease of a data centre in the object API. It never hands on a
// version lower than an earlier one, whatever the store answers.
class StoreFollower {
public:
    StoreFollower(std::shared_ptr<ObjectStore>, const StoreFollowerOptions&, StoreFollowerCallbacks);
    // Waits for the calls in progress, which end at their deadline.
    ~StoreFollower();
    StoreFollower(const StoreFollower&) = delete;
    StoreFollower& operator=(const StoreFollower&) = delete;

    // Starts or stops watching and returns at once. The follower starts without watching.
    void setWatching(bool watch);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace anvilwalk
