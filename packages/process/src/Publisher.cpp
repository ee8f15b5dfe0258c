#include <anvilwalk/process.h>

#include <algorithm>
#include <thread>

namespace anvilwalk {

namespace {

    bool isTransient(ErrorCode code) { return code == ErrorCode::Unavailable || code == ErrorCode::Unknown; }

    std::string describe(const PublishRecord& record)
    {
        return "publish " + record.id.value() + " by " + record.operatorName + " (version "
            + std::to_string(record.version.value()) + ")";
    }

    std::string describeClashes(const std::vector<PublishClash>& clashes)
    {
        std::string text;
        for (const PublishClash& clash : clashes) {
            text += clash.service.value() + ": " + clash.reason + "; in force is ";
            text += clash.winner ? describe(*clash.winner) : std::string("a publish that the index no longer names");
            text += ".\n";
        }
        return text + "Nothing of this publish is in force. Bring the files up to date and publish again.";
    }

    PublishReport makeReport(PublishOutcome outcome, const std::string& message, const PublishPlan& plan)
    {
        return { .outcome = outcome, .version = {}, .message = message, .plan = plan, .mayStillTakeEffect = false };
    }

    PublishReport notApplied(const Error& error, const PublishPlan& plan)
    {
        return makeReport(PublishOutcome::NotApplied,
            "Nothing was put in force, and this publish cannot take effect later: " + error.message + ".", plan);
    }

    PublishReport unknownOutcomeReport(const PublishPlan& plan)
    {
        PublishReport report = makeReport(PublishOutcome::Unknown,
            "It is not known whether the publish was applied: the store did not answer a write and could not be read "
            "afterwards. It may still take effect. Run anvilwalk status when the store answers again.",
            plan);
        report.mayStillTakeEffect = true;
        return report;
    }

} // namespace

Publisher::Publisher(ObjectStore& store, const Clock& clock, const PublisherOptions& options)
    : m_store(store)
    , m_clock(clock)
    , m_options(options)
    , m_retry(options.retry, nullptr, options.seed)
{
}

PublishReport Publisher::publish(PublishRequest request)
{
    m_deadline = m_clock.now() + m_options.deadline;
    PublishReport report = planAndCommit(request);
    const bool withoutEffect = report.outcome == PublishOutcome::Conflict || report.outcome == PublishOutcome::Rejected
        || report.outcome == PublishOutcome::NotApplied;
    if (withoutEffect && !m_options.dryRun) {
        std::vector<ServiceName> names;
        for (const ServiceRevision& revision : report.plan.revisions)
            names.push_back(revision.config.name);
        removeRevisions(names, request.id, {});
    }
    return report;
}

PublishReport Publisher::planAndCommit(PublishRequest& request)
{
    const auto state = retry([this] { return readState(); });
    if (!isOk(state))
        return notApplied(errorOf(state), {});
    const State& base = valueOf(state);
    const auto targets = retry([this] { return readTargets(); });
    if (!isOk(targets))
        return notApplied(errorOf(targets), {});
    m_listedTargets = valueOf(targets);
    reportProgress(
        "The configuration in force is version " + std::to_string(base.published.index.version.value()) + ".");

    PublishPlan plan = planPublish(request, base.published.index, base.published, m_listedTargets);
    if (const auto report = checkPlan(plan, base.published.index.version))
        return *report;
    if (m_options.dryRun)
        return makeReport(PublishOutcome::Planned, "The publish would be accepted. Nothing was written.", plan);

    // Drops services without differences, so that they cannot revert changes made by concurrent publishes.
    std::erase_if(request.services, [&](const ServiceConfig& service) {
        return std::none_of(plan.differences.begin(), plan.differences.end(),
            [&](const ServiceDifference& difference) { return difference.name == service.name; });
    });
    reportProgress("Writing " + std::to_string(plan.revisions.size()) + " service revisions.");
    const Status written = writeRevisions(plan);
    if (!isOk(written))
        return notApplied(errorOf(written), plan);
    return commit(request, base, std::move(plan));
}

std::optional<PublishReport> Publisher::checkPlan(const PublishPlan& plan, ConfigVersion current) const
{
    if (!plan.clashes.empty() && !m_options.testSwitches.ignoreClashes)
        return makeReport(PublishOutcome::Conflict, describeClashes(plan.clashes), plan);
    if (!plan.faults.empty()) {
        std::string text;
        for (const std::string& fault : plan.faults)
            text += fault + ".\n";
        return makeReport(PublishOutcome::Rejected, text + "Nothing was put in force.", plan);
    }
    if (!plan.differences.empty())
        return std::nullopt;
    PublishReport report
        = makeReport(PublishOutcome::Unchanged, "The configuration in force has these settings already.", plan);
    report.version = current;
    return report;
}

PublishReport Publisher::commit(const PublishRequest& request, const State& base, PublishPlan plan)
{
    State current = base;
    // Whether an earlier index write with the same expected version got no response.
    bool outcomeUnknown = false;
    for (;;) {
        reportProgress("Writing the index for version " + std::to_string(plan.nextIndex.version.value()) + ".");
        const auto written = writeIndex(plan.nextIndex, current.indexVersion);
        if (isOk(written)) {
            removeExpiredRevisions(current.published.index, plan.nextIndex);
            PublishReport report = makeReport(PublishOutcome::Applied,
                "Version " + std::to_string(plan.nextIndex.version.value()) + " is accepted.", plan);
            report.version = plan.nextIndex.version;
            return report;
        }
        const ErrorCode code = errorOf(written).code;
        const bool needsReadBack = code == ErrorCode::Unknown || code == ErrorCode::Conflict;
        if (code != ErrorCode::Unavailable && !needsReadBack)
            return outcomeUnknown ? unknownOutcomeReport(plan) : notApplied(errorOf(written), plan);
        if (code == ErrorCode::Unknown && m_options.testSwitches.skipReadBack)
            return notApplied(errorOf(written), plan);
        outcomeUnknown = outcomeUnknown || code == ErrorCode::Unknown;
        if (needsReadBack) {
            reportProgress(code == ErrorCode::Unknown ? "The store did not answer the write; reading the index back."
                                                      : "The index was changed by another publish; reading it again.");
            auto readBack = retry([this] { return readIndex(); });
            if (!isOk(readBack))
                return outcomeUnknown ? unknownOutcomeReport(plan) : notApplied(errorOf(readBack), plan);
            if (const auto report = resolveOutcome(request, current, valueOf(readBack), plan, outcomeUnknown))
                return *report;
            // If the index is not newer, the write was not applied, is still pending, or the read was stale. Retrying
            // the same conditional write is safe: it can take effect only once.
            if (valueOf(readBack).indexVersion > current.indexVersion) {
                const Status services = retry([&] { return readServices(valueOf(readBack)); });
                if (!isOk(services))
                    return notApplied(errorOf(services), plan);
                outcomeUnknown = false;
                current = std::move(valueOf(readBack));
                PublishPlan replanned = planPublish(request, base.published.index, current.published, m_listedTargets);
                if (m_options.testSwitches.ignoreClashes && !replanned.clashes.empty())
                    replanned = planPublish(request, current.published.index, current.published, m_listedTargets);
                if (replanned.revisions.empty())
                    replanned.revisions = plan.revisions;
                plan = std::move(replanned);
                if (const auto report = checkPlan(plan, current.published.index.version))
                    return *report;
                continue;
            }
        }
        if (!waitToRetry())
            return outcomeUnknown ? unknownOutcomeReport(plan) : notApplied(errorOf(written), plan);
    }
}

std::optional<PublishReport> Publisher::resolveOutcome(const PublishRequest& request, const State& expected,
    const State& readBack, const PublishPlan& plan, bool outcomeUnknown) const
{
    const ConfigIndex& index = readBack.published.index;
    if (const PublishRecord* record = index.findPublish(request.id)) {
        PublishReport report = makeReport(
            PublishOutcome::Applied, "Version " + std::to_string(record->version.value()) + " is accepted.", plan);
        report.version = record->version;
        for (const ServiceName& name : record->services) {
            const IndexEntry* entry = index.find(name);
            if (entry != nullptr && entry->publishId == request.id)
                continue;
            const PublishRecord* later = entry == nullptr ? nullptr : index.findPublish(entry->publishId);
            report.outcome = PublishOutcome::Overtaken;
            report.message += "\n" + name.value() + " was changed again afterwards"
                + (later == nullptr ? "." : " by " + describe(*later) + ".");
        }
        return report;
    }
    const bool historyTrimmed = !index.publishes.empty()
        && index.publishes.front().version.value() > expected.published.index.version.value() + 1;
    if (outcomeUnknown && historyTrimmed)
        return makeReport(PublishOutcome::Unknown,
            "It is not known whether the publish was applied: more than " + std::to_string(publishHistoryLimit)
                + " publishes followed, and the index remembers no more. It cannot take effect later.",
            plan);
    return std::nullopt;
}

Result<Publisher::State> Publisher::readState()
{
    auto state = readIndex();
    if (!isOk(state))
        return state;
    const Status services = readServices(valueOf(state));
    if (!isOk(services))
        return errorOf(services);
    return state;
}

Result<Publisher::State> Publisher::readIndex()
{
    const auto object = m_store.get(objectkind::configIndex, "index");
    if (!isOk(object))
        return errorOf(object).code == ErrorCode::NotFound ? Result<State>(State {}) : errorOf(object);
    auto index = decodeIndex(valueOf(object).spec);
    if (!isOk(index))
        return errorOf(index);
    return State { .published = { .index = std::move(valueOf(index)), .services = {} },
        .indexVersion = valueOf(object).version };
}

Status Publisher::readServices(State& state)
{
    state.published.services.clear();
    for (const IndexEntry& entry : state.published.index.services) {
        auto service = readService(entry);
        if (!isOk(service))
            return errorOf(service);
        state.published.services.push_back(std::move(valueOf(service)));
    }
    return std::monostate {};
}

Result<ServiceConfig> Publisher::readService(const IndexEntry& entry)
{
    const std::string name = revisionObjectName(entry.name, entry.publishId);
    auto cached = m_revisionCache.find(name);
    if (cached == m_revisionCache.end()) {
        const auto object = m_store.get(objectkind::serviceRevision, name);
        // A stale index may refer to a revision that has since been removed, so the error is transient.
        if (!isOk(object) && errorOf(object).code == ErrorCode::NotFound)
            return Error { .code = ErrorCode::Unavailable, .message = errorOf(object).message };
        if (!isOk(object))
            return errorOf(object);
        auto revision = decodeRevision(valueOf(object).spec);
        if (!isOk(revision))
            return errorOf(revision);
        cached = m_revisionCache.emplace(name, std::move(valueOf(revision).config)).first;
    }
    ServiceConfig config = cached->second;
    config.id = entry.id;
    return config;
}

Result<ListedTargets> Publisher::readTargets()
{
    const auto list = m_store.list(objectkind::virtualMachine);
    if (!isOk(list))
        return errorOf(list);
    ListedTargets targets;
    for (const StoredObject& object : valueOf(list).items) {
        const auto vm = decodeVm(object);
        if (isOk(vm) && valueOf(vm).entry.role == VmEntry::Role::Target && !valueOf(vm).entry.leaving)
            ++targets[valueOf(vm).entry.service][valueOf(vm).dataCentre];
    }
    return targets;
}

Status Publisher::writeRevisions(const PublishPlan& plan)
{
    for (const ServiceRevision& revision : plan.revisions) {
        const std::string name = revisionObjectName(revision.config.name, revision.publishId);
        const auto written = retry([&]() -> Result<StoredObject> {
            auto result = m_store.create(objectkind::serviceRevision, name, encodeRevision(revision));
            // Publish ids are unique, so an existing object was written by an earlier attempt.
            if (!isOk(result) && errorOf(result).code == ErrorCode::Conflict)
                return StoredObject {};
            return result;
        });
        if (!isOk(written))
            return errorOf(written);
    }
    return std::monostate {};
}

Result<StoredObject> Publisher::writeIndex(const ConfigIndex& index, StoreVersion expected)
{
    const nlohmann::json spec = encodeIndex(index);
    if (expected == StoreVersion())
        return m_store.create(objectkind::configIndex, "index", spec);
    return m_store.update(objectkind::configIndex, "index", spec, expected);
}

template <class Call> auto Publisher::retry(const Call& call) -> decltype(call())
{
    for (;;) {
        auto result = call();
        if (isOk(result)) {
            m_retry.recordSuccess();
            return result;
        }
        if (!isTransient(errorOf(result).code) || !waitToRetry())
            return result;
    }
}

bool Publisher::waitToRetry()
{
    const MonotonicTime now = m_clock.now();
    const Duration delay = m_retry.delayAfterFailure(now);
    if (now + delay >= m_deadline)
        return false;
    std::this_thread::sleep_for(delay);
    return true;
}

void Publisher::removeRevisions(
    const std::vector<ServiceName>& services, const PublishId& publishId, const ConfigIndex& inForce)
{
    for (const ServiceName& service : services) {
        const IndexEntry* entry = inForce.find(service);
        if (entry != nullptr && entry->publishId == publishId)
            continue;
        // An unreferenced revision only takes up storage, so failed removals are not retried.
        const std::string name = revisionObjectName(service, publishId);
        const auto object = m_store.get(objectkind::serviceRevision, name);
        if (!isOk(object))
            return;
        m_store.remove(objectkind::serviceRevision, name, valueOf(object).version);
    }
}

void Publisher::removeExpiredRevisions(const ConfigIndex& before, const ConfigIndex& after)
{
    for (const PublishRecord& record : before.publishes) {
        if (after.findPublish(record.id) == nullptr)
            removeRevisions(record.services, record.id, after);
    }
}

void Publisher::reportProgress(const std::string& sentence) const
{
    if (m_options.onProgress)
        m_options.onProgress(sentence);
}

} // namespace anvilwalk
