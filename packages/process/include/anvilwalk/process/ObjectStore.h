#pragma once

#include <anvilwalk/units.h>

#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <stop_token>
#include <string>
#include <vector>

namespace anvilwalk {

// Kinds of objects that the system keeps in the platform's object API.
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
    // Version of the list as a whole; a watch continues from it.
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

// The platform's object API. Calls block up to the deadline the backend was made with and may come from any
// thread. Every call counts against the platform's rates; a waiting watch counts as one.
// Errors: Unavailable means the call had no effect; Unknown means a write may have had one.
class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    virtual Result<StoredObject> get(const std::string& kind, const std::string& name) = 0;
    virtual Result<ObjectList> list(const std::string& kind) = 0;
    // Conflict if the object exists.
    virtual Result<StoredObject> create(const std::string& kind, const std::string& name, const nlohmann::json& spec)
        = 0;
    // Conflict if the object's version is not the expected one.
    virtual Result<StoredObject> update(
        const std::string& kind, const std::string& name, const nlohmann::json& spec, StoreVersion expected)
        = 0;
    virtual Status remove(const std::string& kind, const std::string& name, StoreVersion expected) = 0;
    // Calls the handler for each change after the given version until the handler returns false, the timeout
    // passes (then the result is ok) or an error occurs. Gone if the version is too old; list again then.
    virtual Status watch(const std::string& kind, StoreVersion from, std::chrono::milliseconds timeout,
        const std::function<bool(const WatchEvent&)>& handler)
        = 0;
    // Like watch, and also ends (with Unavailable) soon after a stop is requested. A backend that cannot end a
    // watch early keeps this default, which waits for the timeout.
    virtual Status watchUntilStopped(const std::string& kind, StoreVersion from, std::chrono::milliseconds timeout,
        const std::function<bool(const WatchEvent&)>& handler, std::stop_token stop)
    {
        return watch(
            kind, from, timeout, [&](const WatchEvent& event) { return !stop.stop_requested() && handler(event); });
    }
};

} // namespace anvilwalk
