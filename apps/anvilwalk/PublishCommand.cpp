#include "Commands.h"
#include "Progress.h"
#include "ServiceFileFinder.h"
#include "SystemReader.h"

#include <anvilwalk/process/objectapi/HttpObjectStore.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace anvilwalk {

namespace {

    using nlohmann::json;

    // Rollout of a configuration version over the balancers. The counts are 0 if the statuses could not be read.
    struct RolloutStatus {
        bool complete = false;
        std::size_t upToDate = 0;
        std::size_t balancers = 0;
        std::string details;
    };

    // Time in hexadecimal and 64 random bits, so that ids are unique and sort by time.
    PublishId makePublishId()
    {
        std::random_device random;
        std::ostringstream text;
        text << std::hex << unixTimeMs() << "-" << std::setfill('0') << std::setw(8) << random() << std::setw(8)
             << random();
        return PublishId(text.str());
    }

    const char* nameOf(PublishOutcome outcome)
    {
        switch (outcome) {
        case PublishOutcome::Applied:
            return "applied";
        case PublishOutcome::Unchanged:
            return "unchanged";
        case PublishOutcome::Planned:
            return "planned";
        case PublishOutcome::Rejected:
            return "rejected";
        case PublishOutcome::Conflict:
            return "conflict";
        case PublishOutcome::NotApplied:
            return "not-applied";
        case PublishOutcome::Overtaken:
            return "overtaken";
        default:
            return "unknown";
        }
    }

    ExitCode exitCodeOf(PublishOutcome outcome)
    {
        switch (outcome) {
        case PublishOutcome::Applied:
        case PublishOutcome::Unchanged:
        case PublishOutcome::Planned:
            return ExitCode::Success;
        case PublishOutcome::Rejected:
            return ExitCode::Rejected;
        case PublishOutcome::Conflict:
            return ExitCode::Conflict;
        case PublishOutcome::NotApplied:
            return ExitCode::NotApplied;
        case PublishOutcome::Overtaken:
            return ExitCode::Overtaken;
        default:
            return ExitCode::Unknown;
        }
    }

    RolloutStatus readRolloutStatus(ObjectStore& store, ConfigVersion version)
    {
        auto state = readSystemState(store);
        if (!isOk(state))
            return { .details = "Cannot read the status objects: " + errorOf(state).message + "\n" };
        // Compares with the published version instead of the latest one, so that a later publish does not hide that
        // this version is in force.
        valueOf(state).reportInput.configVersion = version;
        const ReportFigures figures = computeReport(valueOf(state).reportInput);
        RolloutStatus rollout { .complete = figures.inForceEverywhere(), .details = formatCoverage(figures) };
        for (const DataCentreCoverage& part : figures.coverage) {
            rollout.upToDate += part.upToDate;
            rollout.balancers += part.balancers + part.missingBalancers.size();
        }
        rollout.balancers += figures.unreportedBalancers.size();
        return rollout;
    }

    // Polls the statuses once a second until the version is in force on every balancer or the deadline passes.
    RolloutStatus waitForRollout(
        ObjectStore& store, ConfigVersion version, std::chrono::steady_clock::time_point deadline, Progress& progress)
    {
        constexpr std::chrono::seconds interval { 1 };
        for (;;) {
            RolloutStatus rollout = readRolloutStatus(store, version);
            progress.show("Version " + std::to_string(version.value()) + " is in force on "
                + std::to_string(rollout.upToDate) + " of " + std::to_string(rollout.balancers) + " balancers.");
            if (rollout.complete || std::chrono::steady_clock::now() + interval >= deadline)
                return rollout;
            std::this_thread::sleep_for(interval);
        }
    }

    json toJson(const PublishReport& report, const PublishId& id)
    {
        json services = json::array();
        for (const ServiceDifference& difference : report.plan.differences)
            services.push_back({ { "name", difference.name.value() }, { "isNew", difference.isNew },
                { "changes", difference.changes } });
        json clashes = json::array();
        for (const PublishClash& clash : report.plan.clashes) {
            clashes.push_back({ { "service", clash.service.value() }, { "reason", clash.reason } });
            if (clash.winner) {
                clashes.back()["publishId"] = clash.winner->id.value();
                clashes.back()["operator"] = clash.winner->operatorName;
            }
        }
        return { { "outcome", nameOf(report.outcome) }, { "publishId", id.value() },
            { "version", report.version.value() }, { "message", report.message },
            { "mayStillTakeEffect", report.mayStillTakeEffect }, { "services", std::move(services) },
            { "clashes", std::move(clashes) } };
    }

    void printText(const PublishReport& report, const PublishId& id)
    {
        for (const ServiceDifference& difference : report.plan.differences) {
            std::cout << difference.name.value() << (difference.isNew ? ": new" : ": changed") << "\n";
            for (const std::string& change : difference.changes)
                std::cout << "    " << change << "\n";
        }
        std::cout << report.message << "\n";
        if (report.outcome != PublishOutcome::Planned && report.outcome != PublishOutcome::Unchanged)
            std::cout << "The publish id is " << id.value() << ".\n";
    }

    ExitCode printRolloutStatus(
        const RolloutStatus& rollout, const PublishReport& report, const CommandOptions& options)
    {
        if (!options.json) {
            std::cout << rollout.details;
            std::cout << (rollout.complete
                    ? "The version is in force on every balancer.\n"
                    : "The version is accepted and stored, but not every balancer reported it in force before "
                      "the timeout. Run anvilwalk status later.\n");
        }
        if (!rollout.complete)
            return ExitCode::NotYetInForce;
        return exitCodeOf(report.outcome);
    }

    ExitCode publishServices(const CommandOptions& options, std::vector<ServiceConfig> services, ObjectStore& store)
    {
        const auto deadline = std::chrono::steady_clock::now() + options.timeout;
        const SystemClock clock;
        const PublishId id = makePublishId();
        Progress progress(options.json);
        PublisherOptions publisherOptions { .deadline = options.timeout,
            .seed = std::random_device {}(),
            .dryRun = options.dryRun,
            .onProgress = [&](const std::string& message) { progress.show(message); } };
        const PublishReport report = Publisher(store, clock, publisherOptions)
                                         .publish({ .id = id,
                                             .operatorName = options.operatorName,
                                             .publishedAtUnixMs = unixTimeMs(),
                                             .services = std::move(services) });
        json output = toJson(report, id);
        if (!options.json)
            printText(report, id);
        ExitCode code = exitCodeOf(report.outcome);
        const bool accepted = report.outcome == PublishOutcome::Applied || report.outcome == PublishOutcome::Overtaken
            || report.outcome == PublishOutcome::Unchanged;
        if (options.wait && accepted) {
            const RolloutStatus rollout = waitForRollout(store, report.version, deadline, progress);
            code = printRolloutStatus(rollout, report, options);
            output["inForce"] = { { "everywhere", rollout.complete }, { "upToDate", rollout.upToDate },
                { "balancers", rollout.balancers } };
        }
        if (options.json)
            std::cout << output.dump(2) << "\n";
        return code;
    }

} // namespace

ExitCode runPublish(const CommandOptions& options)
{
    const FoundServiceFiles found = findServiceFiles(options.paths);
    const ServiceFileSet set = readServiceFiles(found.files);
    Findings findings = found.findings;
    findings.append(set.findings);
    if (!findings.empty()) {
        std::cerr << findings.toString() << "Nothing was published.\n";
        return ExitCode::Rejected;
    }
    const auto endpoint = HttpObjectStore::parseUrl(options.platformUrl);
    if (!isOk(endpoint)) {
        std::cerr << errorOf(endpoint).message << "\n";
        return ExitCode::Usage;
    }
    HttpObjectStore store({ .endpoint = valueOf(endpoint) });
    std::vector<ServiceConfig> services;
    for (const ServiceFileEntry& service : set.services)
        services.push_back(service.config);
    return publishServices(options, std::move(services), store);
}

} // namespace anvilwalk
