#include <anvilwalk/process.h>

#include <algorithm>
#include <map>

namespace anvilwalk {

namespace {

    // Highest number of open flows divided by weight among the healthy targets over the mean of the quotient.
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

    ReportCounts countService(const ServiceTotals& service)
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

    // A counter that went back belongs to a balancer that was restarted in the interval.
    void subtract(std::uint64_t& now, std::uint64_t before) { now = now >= before ? now - before : now; }

    void subtract(ReportCounts& now, const ServiceTotals& before)
    {
        subtract(now.newFlows, before.openings);
        subtract(now.refused, before.refused);
        subtract(now.dropped, before.dropped);
        subtract(now.relayed, before.relayed);
    }

    ReportPart describePart(const ReportInput& input, const DataCentreId& dataCentre, const DataCentreStatus* status)
    {
        ReportPart part { .dataCentre = dataCentre, .ageMs = {}, .missing = {} };
        if (status == nullptr) {
            part.missing.emplace_back("status");
            return part;
        }
        part.ageMs = std::max<std::int64_t>(0, input.nowUnixMs - status->writtenAtUnixMs);
        part.balancers = status->balancers.size();
        for (const BalancerVersions& balancer : status->balancers)
            part.upToDate += balancer.configVersion >= input.configVersion ? 1 : 0;
        for (const BalancerId& id : status->missingBalancers)
            part.missing.push_back("balancer " + id.value());
        for (const ServiceTotals& service : status->services) {
            for (const TargetStatus& target : service.targets) {
                if (!target.openConnections)
                    part.missing.push_back("load of " + target.host);
            }
        }
        return part;
    }

    // Balancers in the VM list that no status names; the list does not tell which status should.
    std::vector<std::string> findUnseenBalancers(const ReportInput& input)
    {
        std::set<BalancerId> unseen = input.listedBalancers;
        for (const DataCentreStatus& status : input.statuses) {
            for (const BalancerVersions& balancer : status.balancers)
                unseen.erase(balancer.id);
            for (const BalancerId& id : status.missingBalancers)
                unseen.erase(id);
        }
        std::vector<std::string> names;
        for (const BalancerId& id : unseen)
            names.push_back("balancer " + id.value());
        return names;
    }

    std::vector<ServiceName> servicesOf(const ReportInput& input, const DataCentreStatus* status)
    {
        std::set<ServiceName> names(input.services.begin(), input.services.end());
        if (status != nullptr) {
            for (const ServiceTotals& service : status->services)
                names.insert(service.name);
        }
        return { names.begin(), names.end() };
    }

    std::optional<ReportCounts> countsOf(
        const ReportInput& input, const DataCentreStatus* status, const ServiceName& name)
    {
        const ServiceTotals* service
            = status == nullptr ? nullptr : findBy(status->services, name, &ServiceTotals::name);
        if (service == nullptr)
            return std::nullopt;
        ReportCounts counts = countService(*service);
        const auto* earlier = findBy(input.earlierStatuses, status->dataCentre, &DataCentreStatus::dataCentre);
        const auto* before = earlier == nullptr ? nullptr : findBy(earlier->services, name, &ServiceTotals::name);
        if (before != nullptr)
            subtract(counts, *before);
        return counts;
    }

} // namespace

bool ReportFigures::complete() const
{
    return std::all_of(parts.begin(), parts.end(),
        [](const ReportPart& part) { return part.missing.empty() && part.ageMs && *part.ageMs <= oldStatusMs; });
}

bool ReportFigures::inForceEverywhere() const
{
    return !parts.empty() && std::all_of(parts.begin(), parts.end(), [](const ReportPart& part) {
        return part.ageMs && part.balancers > 0 && part.upToDate == part.balancers;
    });
}

ReportFigures computeReport(const ReportInput& input)
{
    ReportFigures figures {
        .nowUnixMs = input.nowUnixMs, .configVersion = input.configVersion, .rows = {}, .parts = {}
    };
    std::set<DataCentreId> dataCentres = input.dataCentres;
    for (const DataCentreStatus& status : input.statuses)
        dataCentres.insert(status.dataCentre);
    for (const DataCentreId& dataCentre : dataCentres) {
        const auto* status = findBy(input.statuses, dataCentre, &DataCentreStatus::dataCentre);
        figures.parts.push_back(describePart(input, dataCentre, status));
        for (const ServiceName& name : servicesOf(input, status))
            figures.rows.push_back(
                { .dataCentre = dataCentre, .service = name, .counts = countsOf(input, status, name) });
    }
    if (auto unseen = findUnseenBalancers(input); !unseen.empty())
        figures.parts.push_back({ .dataCentre = DataCentreId("VM list"), .ageMs = 0, .missing = std::move(unseen) });
    return figures;
}

} // namespace anvilwalk
