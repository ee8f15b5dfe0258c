#include "Commands.h"
#include "Progress.h"
#include "SystemReader.h"

#include <anvilwalk/process/objectapi/HttpObjectStore.h>
#include <anvilwalk/toml.h>

#include <iostream>
#include <thread>

namespace anvilwalk {

namespace {

    Result<HttpObjectStore> openStore(const CommandOptions& options)
    {
        const auto endpoint = HttpObjectStore::parseUrl(options.platformUrl);
        if (!isOk(endpoint))
            return errorOf(endpoint);
        return HttpObjectStore({ .endpoint = valueOf(endpoint) });
    }

    ExitCode printError(const Error& error)
    {
        std::cerr << error.message << "\n";
        return error.code == ErrorCode::InvalidArgument ? ExitCode::Usage : ExitCode::StoreUnavailable;
    }

    ExitCode exitCodeOf(const ReportFigures& figures)
    {
        return figures.complete() ? ExitCode::Success : ExitCode::Incomplete;
    }

    std::string describeLastPublish(const SystemState& state)
    {
        if (state.index.publishes.empty())
            return "Nothing has been published yet.\n";
        const PublishRecord& last = state.index.publishes.back();
        const auto ageSeconds = (state.reportInput.nowUnixMs - last.publishedAtUnixMs) / 1000;
        return "Configuration version " + std::to_string(state.index.version.value()) + ", published "
            + std::to_string(ageSeconds) + " s ago by " + last.operatorName + " (publish " + last.id.value() + "), "
            + std::to_string(state.index.services.size()) + " services.\n";
    }

} // namespace

ExitCode runStatus(const CommandOptions& options)
{
    auto store = openStore(options);
    if (!isOk(store))
        return printError(errorOf(store));
    const auto state = readSystemState(valueOf(store));
    if (!isOk(state))
        return printError(errorOf(state));
    const ReportFigures figures = computeReport(valueOf(state).reportInput);
    std::cout << describeLastPublish(valueOf(state)) << formatCoverage(figures);
    return exitCodeOf(figures);
}

ExitCode runReport(const CommandOptions& options)
{
    auto store = openStore(options);
    if (!isOk(store))
        return printError(errorOf(store));
    std::vector<DataCentreStatus> earlier;
    if (options.interval.count() > 0) {
        const auto before = readSystemState(valueOf(store));
        if (!isOk(before))
            return printError(errorOf(before));
        earlier = valueOf(before).reportInput.statuses;
        Progress progress(false);
        progress.show("Counting for " + formatDuration(options.interval) + ".");
        std::this_thread::sleep_for(options.interval);
    }
    auto state = readSystemState(valueOf(store));
    if (!isOk(state))
        return printError(errorOf(state));
    valueOf(state).reportInput.baselineStatuses = std::move(earlier);
    const ReportFigures figures = computeReport(valueOf(state).reportInput);
    std::cout << formatReport(figures);
    return exitCodeOf(figures);
}

} // namespace anvilwalk
