#pragma once

#include <anvilwalk/version/ConfigCodec.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilwalk {

// What an operator asks to be put in force. Services that are not named stay as they are.
struct PublishRequest {
    PublishId id;
    std::string operatorName;
    std::int64_t publishedAtUnixMs = 0;
    std::vector<ServiceConfig> services;
};

// The configuration in force: the index and the services it names, with their ids.
struct PublishedState {
    ConfigIndex index;
    std::vector<ServiceConfig> services;

    const ServiceConfig* find(const ServiceName&) const;
};

// Number of live targets in the VM list by service and data centre.
using ListedTargets = std::map<ServiceName, std::map<DataCentreId, std::uint32_t>>;

// How a service in the request differs from the one in force.
struct ServiceDifference {
    ServiceName name;
    bool isNew = false;
    // One "key: old -> new" for each setting that changes.
    std::vector<std::string> changes;
};

// A service that another publish changed since this one was begun.
struct PublishClash {
    ServiceName service;
    std::string reason;
    // The publish whose change is in force; absent if the index no longer remembers it.
    std::optional<PublishRecord> winner;
};

// What a publish would write, or why it may not.
struct PublishPlan {
    std::vector<ServiceDifference> differences;
    std::vector<PublishClash> clashes;
    std::vector<std::string> faults;
    std::vector<ServiceRevision> revisions;
    ConfigIndex nextIndex;
};

// Plans a publish that was begun on one index for the state in force now. Clashes are changes that other
// publishes made in between to the same services or addresses.
PublishPlan planPublish(const PublishRequest&, const ConfigIndex& begunOn, const PublishedState& current,
    const ListedTargets& listedTargets);

} // namespace anvilwalk
