#pragma once

#include <anvilwalk/version/ConfigSnapshot.h>

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace anvilwalk {

// Publishes that the index remembers. A publisher whose publish is older cannot tell whether it was applied.
inline constexpr std::size_t publishHistoryLimit = 64;

// A service in the index.
struct IndexEntry {
    ServiceId id;
    ServiceName name;
    // Publish that wrote the revision in force; with the name it gives the revision object.
    PublishId publishId;

    friend bool operator==(const IndexEntry&, const IndexEntry&) = default;
};

// One publish in the history of the index.
struct PublishRecord {
    PublishId id;
    ConfigVersion version;
    std::string operatorName;
    std::int64_t publishedAtUnixMs = 0;
    std::vector<ServiceName> services;

    friend bool operator==(const PublishRecord&, const PublishRecord&) = default;
};

// The index object: which revision of each service is in force.
struct ConfigIndex {
    ConfigVersion version;
    // Highest service id ever assigned; ids are never reused.
    ServiceId lastServiceId;
    // Sorted by name.
    std::vector<IndexEntry> services;
    // Oldest first; the last one made this version.
    std::vector<PublishRecord> publishes;

    const IndexEntry* find(const ServiceName&) const;
    const PublishRecord* findPublish(const PublishId&) const;

    friend bool operator==(const ConfigIndex&, const ConfigIndex&) = default;
};

// A service as one publish wrote it. The service's id is not part of it, because ids are assigned by the
// commit of the index, after the revision is written.
struct ServiceRevision {
    PublishId publishId;
    ServiceConfig config;
};

// Name of the revision object of a service: service name and publish id with dots in between. The slash of the
// service name is written as a dot, so that the name needs no escaping in a URL.
std::string revisionObjectName(const ServiceName&, const PublishId&);

nlohmann::json encodeIndex(const ConfigIndex&);
Result<ConfigIndex> decodeIndex(const nlohmann::json& spec);
nlohmann::json encodeRevision(const ServiceRevision&);
Result<ServiceRevision> decodeRevision(const nlohmann::json& spec);

// Builds the snapshot from the specs of the index and of its revisions, as JSON text, in any order. Refuses a
// set in which a revision is missing or two services share a name, an id or an address. Revisions that the
// index does not name are ignored.
Result<ConfigSnapshotPointer> makeConfigSnapshot(
    const std::string& indexJson, const std::vector<std::string>& revisionJson);

} // namespace anvilwalk
