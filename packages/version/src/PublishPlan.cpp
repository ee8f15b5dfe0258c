#include <anvilwalk/version.h>

#include <algorithm>
#include <set>

namespace anvilwalk {

using nlohmann::json;

namespace {

    // The settings of a service as JSON, without what identifies the revision.
    json settingsOf(const ServiceConfig& config)
    {
        json settings = encodeRevision({ .publishId = {}, .config = config });
        settings.erase("publishId");
        return settings;
    }

    ServiceDifference compare(const ServiceConfig* before, const ServiceConfig& after)
    {
        ServiceDifference difference { .name = after.name, .isNew = before == nullptr, .changes = {} };
        if (before == nullptr)
            return difference;
        const json old = settingsOf(*before);
        const json settings = settingsOf(after);
        for (const auto& [key, value] : settings.items()) {
            if (old.at(key) != value)
                difference.changes.push_back(key + ": " + old.at(key).dump() + " -> " + value.dump());
        }
        return difference;
    }

    // Targets of a service that may get new flows.
    std::uint64_t countTargets(const ServiceConfig& config, const ListedTargets& listedTargets)
    {
        const auto takesFlows = [&](const DataCentreId& dataCentre) {
            const auto weight = config.dataCentreWeights.find(dataCentre);
            return weight == config.dataCentreWeights.end() || weight->second > 0;
        };
        std::uint64_t count = 0;
        if (!config.targetsFromVmList) {
            for (const ConfiguredTarget& target : config.targets)
                count += target.weight > 0 && takesFlows(target.dataCentre) ? 1 : 0;
            return count;
        }
        const auto listed = listedTargets.find(config.name);
        if (listed == listedTargets.end())
            return 0;
        for (const auto& [dataCentre, targets] : listed->second)
            count += takesFlows(dataCentre) ? targets : 0;
        return count;
    }

    class Planner {
    public:
        Planner(const PublishRequest& request, const ConfigIndex& begunOn, const PublishedState& current,
            const ListedTargets& listedTargets)
            : m_request(request)
            , m_begunOn(begunOn)
            , m_current(current)
            , m_listedTargets(listedTargets)
        {
        }

        PublishPlan plan()
        {
            for (const ServiceConfig& service : m_request.services)
                planService(service);
            if (m_plan.differences.empty() || !m_plan.clashes.empty() || !m_plan.faults.empty())
                return std::move(m_plan);
            m_plan.nextIndex = m_current.index;
            m_plan.nextIndex.version = ConfigVersion(m_current.index.version.value() + 1);
            for (const ServiceRevision& revision : m_plan.revisions)
                putInIndex(revision.config.name);
            appendPublish();
            return std::move(m_plan);
        }

    private:
        void planService(const ServiceConfig& service)
        {
            const ServiceConfig* before = m_current.find(service.name);
            ServiceDifference difference = compare(before, service);
            if (!difference.isNew && difference.changes.empty())
                return;
            if (changedSinceBegin(service.name))
                addClash(service.name, "it was changed in the meantime", service.name);
            checkAddresses(service);
            if (before != nullptr && countTargets(*before, m_listedTargets) > 0
                && countTargets(service, m_listedTargets) == 0)
                m_plan.faults.push_back(
                    service.name.value() + " would lose its last target; check its targets, weights and the VM list");
            m_plan.differences.push_back(std::move(difference));
            m_plan.revisions.push_back({ .publishId = m_request.id, .config = service });
        }

        bool changedSinceBegin(const ServiceName& name) const
        {
            const IndexEntry* before = m_begunOn.find(name);
            const IndexEntry* now = m_current.index.find(name);
            if (before == nullptr || now == nullptr)
                return before != now;
            return before->publishId != now->publishId;
        }

        void addClash(const ServiceName& service, const std::string& reason, const ServiceName& changed)
        {
            PublishClash clash { .service = service, .reason = reason, .winner = {} };
            if (const IndexEntry* entry = m_current.index.find(changed)) {
                if (const PublishRecord* record = m_current.index.findPublish(entry->publishId))
                    clash.winner = *record;
            }
            m_plan.clashes.push_back(std::move(clash));
        }

        // Services in the request were compared with each other when their files were read.
        void checkAddresses(const ServiceConfig& service)
        {
            const std::set<ServiceAddress> addresses(service.addresses.begin(), service.addresses.end());
            for (const ServiceConfig& other : m_current.services) {
                if (isRequested(other.name))
                    continue;
                for (const ServiceAddress& address : other.addresses) {
                    if (!addresses.contains(address))
                        continue;
                    const std::string text = "the address " + address.toString() + " belongs to " + other.name.value();
                    if (changedSinceBegin(other.name))
                        addClash(service.name, text, other.name);
                    else
                        m_plan.faults.push_back(service.name.value() + ": " + text);
                }
            }
        }

        bool isRequested(const ServiceName& name) const
        {
            return std::any_of(m_request.services.begin(), m_request.services.end(),
                [&](const ServiceConfig& service) { return service.name == name; });
        }

        void putInIndex(const ServiceName& name)
        {
            ConfigIndex& index = m_plan.nextIndex;
            const auto place = std::lower_bound(index.services.begin(), index.services.end(), name,
                [](const IndexEntry& entry, const ServiceName& value) { return entry.name < value; });
            if (place != index.services.end() && place->name == name) {
                place->publishId = m_request.id;
                return;
            }
            index.lastServiceId = ServiceId(index.lastServiceId.value() + 1);
            index.services.insert(place, { .id = index.lastServiceId, .name = name, .publishId = m_request.id });
        }

        void appendPublish()
        {
            PublishRecord record { .id = m_request.id,
                .version = m_plan.nextIndex.version,
                .operatorName = m_request.operatorName,
                .publishedAtUnixMs = m_request.publishedAtUnixMs,
                .services = {} };
            for (const ServiceRevision& revision : m_plan.revisions)
                record.services.push_back(revision.config.name);
            auto& publishes = m_plan.nextIndex.publishes;
            publishes.push_back(std::move(record));
            if (publishes.size() > publishHistoryLimit)
                publishes.erase(publishes.begin(), publishes.end() - publishHistoryLimit);
        }

        const PublishRequest& m_request;
        const ConfigIndex& m_begunOn;
        const PublishedState& m_current;
        const ListedTargets& m_listedTargets;
        PublishPlan m_plan;
    };

} // namespace

const ServiceConfig* PublishedState::find(const ServiceName& name) const
{
    const auto found = std::find_if(
        services.begin(), services.end(), [&](const ServiceConfig& service) { return service.name == name; });
    return found == services.end() ? nullptr : &*found;
}

PublishPlan planPublish(const PublishRequest& request, const ConfigIndex& begunOn, const PublishedState& current,
    const ListedTargets& listedTargets)
{
    return Planner(request, begunOn, current, listedTargets).plan();
}

} // namespace anvilwalk
