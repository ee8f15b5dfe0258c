#pragma once

#include <anvilwalk/process.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>

namespace anvilwalk::fakes {

enum class StoreCall {
    Get,
    List,
    Create,
    Update,
    Remove,
    Watch,
};

// In-memory object API with fault injection.
class FakeObjectStore final : public ObjectStore {
public:
    // Called without a lock before each call takes effect. May use the store.
    using Hook = std::function<void(StoreCall, const std::string& kind, const std::string& name)>;

    // While down, every call fails without effect. Active watches end.
    void setDown(bool down);
    // Delays each call.
    void setDelay(std::chrono::milliseconds);
    // The next writes of a kind take effect but fail with Unknown.
    void loseNextAnswers(const std::string& kind, int count);
    // The next writes of a kind fail with Unknown and have no effect.
    void loseNextRequests(const std::string& kind, int count);
    // Gets and lists return the state from this many writes ago.
    void setStaleReads(std::size_t writes);
    // Drops the event history. Watches from earlier versions fail with Gone.
    void compact();
    void setHook(Hook);
    int calls(StoreCall) const;

    Result<StoredObject> get(const std::string& kind, const std::string& name) override;
    Result<ObjectList> list(const std::string& kind) override;
    Result<StoredObject> create(const std::string& kind, const std::string& name, const nlohmann::json& spec) override;
    Result<StoredObject> update(
        const std::string& kind, const std::string& name, const nlohmann::json& spec, StoreVersion expected) override;
    Status remove(const std::string& kind, const std::string& name, StoreVersion expected) override;
    Status watch(const std::string& kind, StoreVersion from, std::chrono::milliseconds timeout,
        const std::function<bool(const WatchEvent&)>& handler) override;
    Status watchUntilStopped(const std::string& kind, StoreVersion from, std::chrono::milliseconds timeout,
        const std::function<bool(const WatchEvent&)>& handler, std::stop_token stop) override;

private:
    using Objects = std::map<std::pair<std::string, std::string>, StoredObject>;

    std::optional<Error> begin(StoreCall, const std::string& kind, const std::string& name);
    const Objects& visibleObjects() const;
    Result<StoredObject> finishWrite(const std::string& kind, WatchEvent event);
    bool takeLost(std::map<std::string, int>& counts, const std::string& kind);
    std::optional<WatchEvent> nextEvent(const std::string& kind, StoreVersion after) const;

    mutable std::mutex m_mutex;
    std::condition_variable_any m_changed;
    Objects m_objects;
    std::vector<Objects> m_earlier;
    std::deque<WatchEvent> m_events;
    std::uint64_t m_version = 0;
    std::uint64_t m_droppedVersion = 0;
    bool m_down = false;
    std::chrono::milliseconds m_delay { 0 };
    std::map<std::string, int> m_lostAnswers;
    std::map<std::string, int> m_lostRequests;
    std::size_t m_staleWrites = 0;
    std::map<StoreCall, int> m_calls;
    Hook m_hook;
};

} // namespace anvilwalk::fakes
