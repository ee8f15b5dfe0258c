#pragma once

#include <anvilwalk/process/ObjectStore.h>
#include <anvilwalk/process/RetryPolicy.h>
#include <anvilwalk/version.h>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace anvilwalk {

enum class PublishOutcome {
    // The configuration is in force.
    Applied,
    // The configuration in force has these settings already.
    Unchanged,
    // Dry run: the plan is valid; nothing was written.
    Planned,
    // The plan failed validation; nothing was put in force.
    Rejected,
    // A concurrent publish changed the same services first; nothing was put in force.
    Conflict,
    // The store did not accept the change before the deadline, and the change cannot take effect later.
    NotApplied,
    // Applied, but a later publish has since changed at least one of the same services.
    Overtaken,
    // The responses of the store do not show whether the change was applied; see mayStillTakeEffect.
    Unknown,
};

struct PublishReport {
    PublishOutcome outcome = PublishOutcome::NotApplied;
    // Version of the configuration that contains these settings, if there is one.
    ConfigVersion version;
    // Result for the operator, in one or more sentences.
    std::string message;
    PublishPlan plan;
    // A write without a response may still be applied by the store.
    bool mayStillTakeEffect = false;
};

// Disables safety mechanisms, so that tests can reproduce the failures that they prevent.
struct PublisherTestSwitches {
    // Treats an index write without a response as not applied instead of reading the index back.
    bool skipReadBack = false;
    // Overwrites changes of concurrent publishes to the same services.
    bool ignoreClashes = false;
};

struct PublisherOptions {
    // No call starts later than this after the start of the publish. The last call may in addition take up to
    // the call deadline of the store.
    std::chrono::milliseconds deadline { 20'000 };
    RetryPolicyOptions retry = {};
    std::uint64_t seed = 0;
    bool dryRun = false;
    // Called with one sentence at the start of each step.
    std::function<void(const std::string&)> onProgress = {};
    PublisherTestSwitches testSwitches = {};
};

// Publishes services through the object API (section 4 of the design page). The conditional update of the index
// is the commit point. An index write without a response is retried only with the same expected version, and
// only after a read that does not show its effect, so that it cannot take effect twice.
class Publisher {
public:
    Publisher(ObjectStore&, const Clock&, const PublisherOptions&);

    PublishReport publish(PublishRequest);

private:
    // The configuration in force and the version of the index object; version 0 if the object does not exist.
    struct State {
        PublishedState published;
        StoreVersion indexVersion;
    };

    PublishReport planAndCommit(PublishRequest&);
    // Writes the index under the condition that it is unchanged since the last read; plans again and retries if
    // another publish changed it.
    PublishReport commit(const PublishRequest&, const State& base, PublishPlan);
    // The final report if the plan is not to be written: it clashes, is invalid or changes nothing.
    std::optional<PublishReport> checkPlan(const PublishPlan&, ConfigVersion current) const;
    // The final report if the index that was read back determines the outcome.
    std::optional<PublishReport> resolveOutcome(const PublishRequest&, const State& expected, const State& readBack,
        const PublishPlan&, bool outcomeUnknown) const;

    Result<State> readState();
    Result<State> readIndex();
    Status readServices(State&);
    Result<ServiceConfig> readService(const IndexEntry&);
    Result<ListedTargets> readTargets();
    Status writeRevisions(const PublishPlan&);
    Result<StoredObject> writeIndex(const ConfigIndex&, StoreVersion expected);
    // Retries a read or an idempotent write until it succeeds, fails with a permanent error or the deadline
    // passes.
    template <class Call> auto retry(const Call& call) -> decltype(call());
    // Waits for the retry delay; returns false without waiting if the deadline would pass.
    bool waitToRetry();
    void removeRevisions(const std::vector<ServiceName>&, const PublishId&, const ConfigIndex& inForce);
    // Removes revisions of publishes that dropped out of the history of the index.
    void removeExpiredRevisions(const ConfigIndex& before, const ConfigIndex& after);
    void reportProgress(const std::string&) const;

    ObjectStore& m_store;
    const Clock& m_clock;
    PublisherOptions m_options;
    RetryPolicy m_retry;
    MonotonicTime m_deadline;
    ListedTargets m_listedTargets;
    // Cache of revisions by object name. Revisions are immutable.
    std::map<std::string, ServiceConfig> m_revisionCache;
};

} // namespace anvilwalk
