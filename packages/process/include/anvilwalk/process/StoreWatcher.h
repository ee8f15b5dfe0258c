#pragma once

#include <anvilwalk/process/ControlPlane.h>
#include <anvilwalk/process/ObjectStore.h>
#include <anvilwalk/process/RetryPolicy.h>

#include <functional>
#include <memory>
#include <string>

namespace anvilwalk {

struct StoreWatcherOptions {
    DataCentreId dataCentre;
    // Duration of one watch call. A connection that breaks without a reset is only detected when the call ends, so
    // this must be shorter than the 13 s within which a configuration must be in force.
    std::chrono::milliseconds watchTimeout { 8000 };
    RetryPolicyOptions retry;
    // Burst size of retries shared by all watches, and the time after which one more is allowed.
    std::uint32_t retryBudget = 20;
    std::chrono::milliseconds retryRefill { 500 };
    // Seed of the retry jitter. Balancers need different seeds so that their retries do not coincide.
    std::uint64_t seed = 0;
};

// Called one at a time from the watcher's threads. A callback may call setWatching, but must not destroy the watcher.
struct StoreWatcherCallbacks {
    std::function<void(ConfigSnapshotPointer)> onConfig;
    std::function<void(const table::TableSet&, StoreVersion)> onTable;
    std::function<void(const std::vector<VmEntry>&)> onVmList;
    std::function<void(const WriterLease&)> onLease;
    // Called once after the start and then at each change.
    std::function<void(bool)> onReachable;
    // Log message about a failed call or an invalid object.
    std::function<void(const std::string&)> onProblem;
};

// Watches configuration, slot table, VM list and lease of a data centre in the object API. Never reports a lower
// version than before, even if the store returns stale data.
class StoreWatcher {
public:
    StoreWatcher(std::shared_ptr<ObjectStore>, const StoreWatcherOptions&, StoreWatcherCallbacks);
    // Waits until pending calls have ended, at the latest at their deadline.
    ~StoreWatcher();
    StoreWatcher(const StoreWatcher&) = delete;
    StoreWatcher& operator=(const StoreWatcher&) = delete;

    // Starts or stops watching without blocking. Initially off.
    void setWatching(bool watch);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace anvilwalk
