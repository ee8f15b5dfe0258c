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
    // In force.
    Applied,
    // The configuration in force has these settings already.
    Unchanged,
    // A dry run: the plan could be written.
    Planned,
    // The plan has faults; nothing was put in force.
    Rejected,
    // Another publish changed the same services first; nothing was put in force.
    Conflict,
    // The store did not take the change in time, and the change cannot take effect later.
    NotApplied,
    // Applied, and another publish of the same services followed.
    Overtaken,
    // The store's answers do not tell; see mayStillTakeEffect.
    Unknown,
};

struct PublishReport {
    PublishOutcome outcome = PublishOutcome::NotApplied;
    // Version of the configuration that has these settings, if one has them.
    ConfigVersion version;
    // One or more sentences for the operator.
    std::string message;
    PublishPlan plan;
    // A write is on its way whose fate is not known.
    bool mayStillTakeEffect = false;
};

// Switches mechanisms off, so that tests can show that they are needed.
struct PublisherTestSwitches {
    // Takes a write without an answer for a write without effect.
    bool skipReadBack = false;
    // Puts its own change over one that was made in the meantime.
    bool ignoreClashes = false;
};

struct PublisherOptions {
    // No call is started later than this after the start. The last one may take its own deadline in addition.
    std::chrono::milliseconds deadline { 20'000 };
    RetryPolicyOptions retry = {};
    std::uint64_t seed = 0;
    bool dryRun = false;
    // One sentence for each step.
    std::function<void(const std::string&)> onProgress = {};
    PublisherTestSwitches testSwitches = {};
};

// Publishes services through the object API (section 4 of the design page). The conditional update of the index
// is the commit point. A write without an answer is repeated only under the same condition, after a read has
// shown that it did not take effect, so that it cannot take effect twice.
class Publisher {
public:
    Publisher(ObjectStore&, const Clock&, const PublisherOptions&);

    PublishReport publish(PublishRequest);

private:
    // The configuration in force and the version of the index object; version 0 if there is none.
    struct State {
        PublishedState published;
        StoreVersion indexVersion;
    };

    PublishReport begin(PublishRequest&);
    PublishReport commit(const PublishRequest&, const State& begunOn, PublishPlan);
    std::optional<PublishReport> judgePlan(const PublishPlan&, ConfigVersion current) const;
    std::optional<PublishReport> settle(
        const PublishRequest&, const State& written, const State& readBack, const PublishPlan&, bool uncertain) const;

    Result<State> readState();
    Result<State> readIndex();
    Status readServices(State&);
    Result<ServiceConfig> readService(const IndexEntry&);
    Result<ListedTargets> readTargets();
    Status writeRevisions(const PublishPlan&);
    Result<StoredObject> writeIndex(const ConfigIndex&, StoreVersion expected);
    // Repeats a read, or a write that cannot take effect twice, until it succeeds, fails for good or the
    // deadline passes.
    template <class Call> auto retry(const Call& call) -> decltype(call());
    // Waits before the next attempt; false if the deadline would pass.
    bool waitToRetry();
    void removeRevisions(const std::vector<ServiceName>&, const PublishId&, const ConfigIndex& inForce);
    void removeForgottenRevisions(const ConfigIndex& before, const ConfigIndex& after);
    void progress(const std::string&) const;

    ObjectStore& m_store;
    const Clock& m_clock;
    PublisherOptions m_options;
    RetryPolicy m_retry;
    MonotonicTime m_end;
    ListedTargets m_listedTargets;
    // Revisions read so far, by object name; they never change.
    std::map<std::string, ServiceConfig> m_revisions;
};

} // namespace anvilwalk
