#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace anvilwalk::standins {

// The objects of the platform with their versions and a bounded history for watches. The VM list may lag: its
// changes become visible in lists and watches only later, in order. Holds no sockets and reads no clock.
class ObjectTable {
public:
    using Time = std::chrono::steady_clock::time_point;

    struct Event {
        std::uint64_t version = 0;
        std::string kind;
        std::string type;
        nlohmann::json object;
        Time visibleAt;
    };

    struct Answer {
        unsigned status = 200;
        nlohmann::json body;
    };

    // A watch can start at most this many events back.
    explicit ObjectTable(std::size_t historyLimit)
        : m_historyLimit(historyLimit)
    {
    }

    Answer get(const std::string& kind, const std::string& name) const;
    Answer list(const std::string& kind, Time now);
    Answer create(const std::string& kind, const nlohmann::json& object, Time now);
    Answer update(const std::string& kind, const std::string& name, const nlohmann::json& object, Time now);
    Answer remove(const std::string& kind, const std::string& name, const std::string& version, Time now);

    // Whether a watch can start from a version; otherwise its answer is 410.
    bool canWatchFrom(std::uint64_t version) const;
    // Visible events of a kind after a version.
    std::vector<Event> eventsAfter(const std::string& kind, std::uint64_t version, Time now) const;
    // Drops all history, so that watches from earlier versions get 410.
    void compact();
    void setVmListLag(std::chrono::milliseconds lag) { m_vmListLag = lag; }

private:
    using Objects = std::map<std::string, nlohmann::json>;

    // Gives the object the next version and keeps the event.
    nlohmann::json record(const std::string& kind, const std::string& type, nlohmann::json object, Time now);
    void showDueVms(Time now);
    void trimHistory();

    std::size_t m_historyLimit;
    std::chrono::milliseconds m_vmListLag { 0 };
    std::uint64_t m_version = 0;
    // Version of the newest event that is no longer in the history.
    std::uint64_t m_droppedVersion = 0;
    std::map<std::string, Objects> m_objects;
    std::deque<Event> m_history;
    // VM list as readers see it, and the changes that they do not see yet.
    Objects m_visibleVms;
    std::deque<Event> m_pendingVms;
};

} // namespace anvilwalk::standins
