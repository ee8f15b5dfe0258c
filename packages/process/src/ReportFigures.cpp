#include <anvilwalk/process.h>

#include <algorithm>
#include <map>

namespace anvilwalk {

namespace {

    // Computes the load (open connections divided by weight) of each healthy target that is not leaving, and returns
    // the highest load divided by the mean load.
    std::optional<double> computeImbalance(const std::vector<TargetStatus>& targets)
    {
        double highest = 0;
        double sum = 0;
        std::size_t count = 0;
        for (const TargetStatus& target : targets) {
            if (target.leaving || !target.healthy || target.weight == 0 || !target.openConnections)
                continue;
            const double quotient = static_cast<double>(*target.openConnections) / target.weight;
            highest = std::max(highest, quotient);
            sum += quotient;
            ++count;
        }
        if (count == 0)
            return std::nullopt;
        return sum > 0 ? highest * static_cast<double>(count) / sum : 1.0;
    }

    ReportCounts countService(const ServiceSummary& service)
    {
        ReportCounts counts { .openFlows = service.openFlows,
            .newFlows = service.openings,
            .refused = service.refused,
            .dropped = service.dropped,
            .relayed = service.relayed,
            .imbalance = computeImbalance(service.targets) };
        for (const TargetStatus& target : service.targets) {
            counts.targets += target.leaving ? 0 : 1;
            counts.leaving += target.leaving ? 1 : 0;
            counts.flowsLeft += target.leaving ? target.flowsLeft : 0;
        }
        return counts;
    }

    template <class Item, class Key, class Member>
    const Item* findBy(const std::vector<Item>& items, const Key& key, Member Item::*member)
    {
        const auto found
            = std::find_if(items.begin(), items.end(), [&](const Item& item) { return item.*member == key; });
        return found == items.end() ? nullptr : &*found;
    }

    // A counter that decreased belongs to a balancer that was restarted in the interval; its value counts from there.
    void subtract(std::uint64_t& now, std::uint64_t before) { now = now >= before ? now - before : now; }

    void subtract(ReportCounts& now, const ServiceSummary& before)
    {
        subtract(now.newFlows, before.openings);
        subtract(now.refused, before.refused);
        subtract(now.dropped, before.dropped);
        subtract(now.relayed, before.relayed);
    }

    DataCentreCoverage computeCoverage(
        const ReportInput& input, const DataCentreId& dataCentre, const DataCentreStatus* status)
    {
        DataCentreCoverage entry { .dataCentre = dataCentre, .ageMs = {} };
        if (status == nullptr)
            return entry;
        entry.ageMs = std::max<std::int64_t>(0, input.nowUnixMs - status->writtenAtUnixMs);
        entry.balancers = status->balancers.size();
        for (const BalancerVersions& balancer : status->balancers)
            entry.upToDate += balancer.configVersion >= input.configVersion ? 1 : 0;
        entry.missingBalancers = status->missingBalancers;
        for (const ServiceSummary& service : status->services) {
            for (const TargetStatus& target : service.targets) {
                if (!target.openConnections)
                    entry.targetsWithoutLoad.push_back(target.host);
            }
        }
        return entry;
    }

    std::vector<BalancerId> findUnreportedBalancers(const ReportInput& input)
    {
        std::set<BalancerId> unreported = input.listedBalancers;
        for (const DataCentreStatus& status : input.statuses) {
            for (const BalancerVersions& balancer : status.balancers)
                unreported.erase(balancer.id);
            for (const BalancerId& id : status.missingBalancers)
                unreported.erase(id);
        }
        return { unreported.begin(), unreported.end() };
    }

    bool isRecent(const DataCentreCoverage& entry) { return entry.ageMs && *entry.ageMs <= maxStatusAgeMs; }

    // A status contains every published service, including those with targets only in other data centres.
    bool hasTargetsOrTraffic(const ServiceSummary& service)
    {
        return !service.targets.empty() || service.openFlows > 0 || service.openings > 0 || service.refused > 0
            || service.dropped > 0 || service.relayed > 0;
    }

    std::set<ServiceName> findServices(
        const ReportInput& input, const DataCentreId& dataCentre, const DataCentreStatus* status)
    {
        std::set<ServiceName> names;
        for (const auto& [expectedIn, name] : input.expectedServices) {
            if (expectedIn == dataCentre)
                names.insert(name);
        }
        if (status == nullptr)
            return names;
        for (const ServiceSummary& service : status->services) {
            if (hasTargetsOrTraffic(service))
                names.insert(service.name);
        }
        return names;
    }

    std::optional<ReportCounts> findCounts(
        const ReportInput& input, const DataCentreStatus* status, const ServiceName& name)
    {
        const ServiceSummary* service
            = status == nullptr ? nullptr : findBy(status->services, name, &ServiceSummary::name);
        if (service == nullptr)
            return std::nullopt;
        ReportCounts counts = countService(*service);
        const auto* baseline = findBy(input.baselineStatuses, status->dataCentre, &DataCentreStatus::dataCentre);
        const auto* before = baseline == nullptr ? nullptr : findBy(baseline->services, name, &ServiceSummary::name);
        if (before != nullptr)
            subtract(counts, *before);
        return counts;
    }

} // namespace

bool ReportFigures::complete() const
{
    return unreportedBalancers.empty()
        && std::all_of(coverage.begin(), coverage.end(), [](const DataCentreCoverage& entry) {
               return isRecent(entry) && entry.missingBalancers.empty() && entry.targetsWithoutLoad.empty();
           });
}

bool ReportFigures::inForceEverywhere() const
{
    return !coverage.empty() && unreportedBalancers.empty()
        && std::all_of(coverage.begin(), coverage.end(), [](const DataCentreCoverage& entry) {
               return isRecent(entry) && entry.missingBalancers.empty() && entry.balancers > 0
                   && entry.upToDate == entry.balancers;
           });
}

ReportFigures computeReport(const ReportInput& input)
{
    ReportFigures figures { .nowUnixMs = input.nowUnixMs,
        .configVersion = input.configVersion,
        .rows = {},
        .coverage = {},
        .unreportedBalancers = {} };
    std::set<DataCentreId> dataCentres = input.dataCentres;
    for (const DataCentreStatus& status : input.statuses)
        dataCentres.insert(status.dataCentre);
    for (const DataCentreId& dataCentre : dataCentres) {
        const auto* status = findBy(input.statuses, dataCentre, &DataCentreStatus::dataCentre);
        figures.coverage.push_back(computeCoverage(input, dataCentre, status));
        for (const ServiceName& name : findServices(input, dataCentre, status))
            figures.rows.push_back(
                { .dataCentre = dataCentre, .service = name, .counts = findCounts(input, status, name) });
    }
    figures.unreportedBalancers = findUnreportedBalancers(input);
    return figures;
}

} // namespace anvilwalk
