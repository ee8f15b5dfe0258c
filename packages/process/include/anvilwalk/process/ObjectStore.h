#pragma once

#include <anvilwalk/units.h>

#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <stop_token>
#include <string>
#include <vector>

namespace anvilwalk {

// Kinds of objects stored in the platform's object API.
namespace objectkind {
    inline constexpr const char* configIndex = "configindexes";
    inline constexpr const char* serviceRevision = "servicerevisions";
    inline constexpr const char* slotTable = "slottables";
    inline constexpr const char* lease = "leases";
    inline constexpr const char* status = "statuses";
    inline constexpr const char* virtualMachine = "virtualmachines";
}

struct StoredObject {
    std::string kind;
    std::string name;
    StoreVersion version;
    nlohmann::json spec;
};

struct ObjectList {
    // Version of the whole list, from which a watch can start.
    StoreVersion version;
    std::vector<StoredObject> items;
};

struct WatchEvent {
    enum class Type {
        Added,
        Modified,
        Deleted,
    };
    Type type = Type::Modified;
    StoredObject object;
};

// Client of the platform's object API. Calls block up to the deadline configured in the backend and may come from
// any thread. Every call counts towards the platform's rate limits; an open watch counts as one call.
// Errors: Unavailable means that the call had no effect; Unknown means that a write may have taken effect.
class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    virtual Result<StoredObject> get(const std::string& kind, const std::string& name) = 0;
    virtual Result<ObjectList> list(const std::string& kind) = 0;
    // Fails with Conflict if the object exists.
    virtual Result<StoredObject> create(const std::string& kind, const std::string& name, const nlohmann::json& spec)
        = 0;
    // Fails with Conflict if the object's version differs from the expected one.
    virtual Result<StoredObject> update(
        const std::string& kind, const std::string& name, const nlohmann::json& spec, StoreVersion expected)
        = 0;
    virtual Status remove(const std::string& kind, const std::string& name, StoreVersion expected) = 0;
    // Calls the handler for each change after the given version until the handler returns false, the timeout
    // passes (both end with success) or an error occurs. Fails with Gone if the version is too old; the caller
    // must then list again.
    virtual Status watch(const std::string& kind, StoreVersion from, std::chrono::milliseconds timeout,
        const std::function<bool(const WatchEvent&)>& handler)
        = 0;
    // Like watch, but also ends with Unavailable shortly after a stop is requested. This default is for backends
    // that cannot interrupt a watch: it checks for a stop at each event and otherwise waits for the timeout.
    virtual Status watchUntilStopped(const std::string& kind, StoreVersion from, std::chrono::milliseconds timeout,
        const std::function<bool(const WatchEvent&)>& handler, std::stop_token stop)
    {
        return watch(
            kind, from, timeout, [&](const WatchEvent& event) { return !stop.stop_requested() && handler(event); });
    }
};

} // namespace anvilwalk
