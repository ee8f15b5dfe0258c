#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace anvilwalk::soak {

// The objects of the platform's store with one revision counter and the history that watches read.
class StoreModel {
public:
    // Creates or replaces an object. Content that is the same changes nothing.
    void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    void remove(const std::string& kind, const std::string& name);
    bool contains(const std::string& kind, const std::string& name) const;
    std::uint64_t revision() const { return m_revision; }

    // Body of a list that continues after a name.
    nlohmann::json list(const std::string& kind, const std::string& after) const;
    // Body of a watch with the changes after one revision and up to another; nothing if that history is gone.
    std::optional<nlohmann::json> changes(const std::string& kind, std::uint64_t after, std::uint64_t upTo) const;
    void dropHistory();

private:
    struct Object {
        nlohmann::json spec;
        std::uint64_t revision = 0;
        std::uint64_t createdRevision = 0;
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool deleted = false;
    };

    static nlohmann::json bodyOf(const std::string& name, const Object&);

    std::uint64_t m_revision = 1;
    // Changes up to this revision are no longer kept.
    std::uint64_t m_historyFrom = 0;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::deque<Change> m_history;
};

} // namespace anvilwalk::soak
