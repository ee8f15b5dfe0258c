#include <anvilwalk/process.h>

#include <absl/container/flat_hash_map.h>
#include <array>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <stop_token>
#include <thread>

namespace anvilwalk {

namespace {

    // What the follower does with the objects of one kind. A handler that fails is called again later with the
    // same or a newer state.
    struct Feed {
        std::string kind;
        std::function<Status(const ObjectList&)> handleList;
        std::function<Status(const WatchEvent&)> handleEvent;
    };

    bool isOutage(ErrorCode code) { return code == ErrorCode::Unavailable || code == ErrorCode::Unknown; }

    Error unavailable(const std::string& message) { return { .code = ErrorCode::Unavailable, .message = message }; }

} // namespace

class StoreFollower::Implementation {
public:
    Implementation(
        std::shared_ptr<ObjectStore> store, const StoreFollowerOptions& options, StoreFollowerCallbacks callbacks)
        : m_store(std::move(store))
        , m_options(options)
        , m_callbacks(std::move(callbacks))
        , m_budget(std::make_shared<RetryBudget>(options.retryBudget, options.retryRefill))
        , m_feeds(makeFeeds())
    {
        m_session.request_stop();
        for (std::size_t index = 0; index < m_feeds.size(); ++index)
            m_threads[index] = std::jthread([this, index](const std::stop_token& end) { run(index, end); });
    }

    ~Implementation()
    {
        for (std::jthread& thread : m_threads)
            thread.request_stop();
        setWatching(false);
    }

    void setWatching(bool watch)
    {
        std::stop_source ended;
        {
            const std::lock_guard lock(m_mutex);
            if (watch == m_watching)
                return;
            m_watching = watch;
            if (watch)
                m_session = std::stop_source();
            ended = m_session;
        }
        if (!watch)
            ended.request_stop();
        m_changed.notify_all();
    }

private:
    static constexpr std::size_t feedCount = 4;
    using Feeds = std::array<Feed, feedCount>;

    Feeds makeFeeds()
    {
        return { Feed { objectkind::configIndex, [this](const ObjectList& list) { return handleIndexList(list); },
                     [this](const WatchEvent& event) { return handleIndex(event); } },
            Feed { objectkind::slotTable, [this](const ObjectList& list) { return handleOwn(list, true); },
                [this](const WatchEvent& event) { return handleTable(event); } },
            Feed { objectkind::virtualMachine, [this](const ObjectList& list) { return handleVmList(list); },
                [this](const WatchEvent& event) { return handleVm(event); } },
            Feed { objectkind::lease, [this](const ObjectList& list) { return handleOwn(list, false); },
                [this](const WatchEvent& event) { return handleLease(event); } } };
    }

    void run(std::size_t index, const std::stop_token& end)
    {
        while (!end.stop_requested()) {
            std::stop_token session;
            {
                std::unique_lock lock(m_mutex);
                if (!m_changed.wait(lock, end, [this] { return m_watching; }))
                    return;
                session = m_session.get_token();
            }
            follow(index, session);
        }
    }

    // Lists and watches one kind until the session ends.
    void follow(std::size_t index, const std::stop_token& session)
    {
        const Feed& feed = m_feeds[index];
        RetryPolicy retry(m_options.retry, m_budget, m_options.seed * feedCount + index);
        std::optional<StoreVersion> from;
        while (!session.stop_requested()) {
            const Status result = from ? watchOnce(feed, *from, session) : listOnce(feed, from);
            if (session.stop_requested())
                return;
            if (isOk(result)) {
                retry.recordSuccess();
                setReachable(index, true);
                continue;
            }
            // After any failure a list shows at once whether the store answers again; a watch would wait.
            from.reset();
            setReachable(index, !isOutage(errorOf(result).code));
            reportProblem(errorOf(result).message);
            wait(retry.delayAfterFailure(m_clock.now()), session);
        }
    }

    Status listOnce(const Feed& feed, std::optional<StoreVersion>& from)
    {
        const auto list = m_store->list(feed.kind);
        if (!isOk(list))
            return errorOf(list);
        Status handled = feed.handleList(valueOf(list));
        if (isOk(handled))
            from = valueOf(list).version;
        return handled;
    }

    // Watches once and advances the version over the events that were handled.
    Status watchOnce(const Feed& feed, StoreVersion& from, const std::stop_token& session)
    {
        Status handled;
        const MonotonicTime start = m_clock.now();
        const StoreVersion before = from;
        Status watched = m_store->watchUntilStopped(
            feed.kind, from, m_options.watchTimeout,
            [&](const WatchEvent& event) {
                if (session.stop_requested())
                    return false;
                handled = feed.handleEvent(event);
                if (isOk(handled))
                    from = std::max(from, event.object.version);
                return isOk(handled);
            },
            session);
        if (!isOk(handled))
            return handled;
        if (!isOk(watched))
            return watched;
        // A store that ends empty watches at once would otherwise be called in a tight loop.
        if (from == before && m_clock.now() - start < m_options.watchTimeout / 2)
            return unavailable("watch " + feed.kind + " ended early");
        return watched;
    }

    Status handleIndexList(const ObjectList& list)
    {
        for (const StoredObject& object : list.items) {
            if (object.name == "index")
                return handleIndex({ .type = WatchEvent::Type::Modified, .object = object });
        }
        return std::monostate {};
    }

    Status handleIndex(const WatchEvent& event)
    {
        if (event.object.name != "index" || event.type == WatchEvent::Type::Deleted)
            return std::monostate {};
        const auto index = decodeIndex(event.object.spec);
        if (!isOk(index))
            return errorOf(index);
        if (valueOf(index).version <= m_configVersion)
            return std::monostate {};
        const auto revisions = fetchRevisions(valueOf(index));
        if (!isOk(revisions))
            return errorOf(revisions);
        const auto snapshot = makeConfigSnapshot(event.object.spec.dump(), valueOf(revisions));
        if (!isOk(snapshot))
            return errorOf(snapshot);
        m_configVersion = valueOf(index).version;
        callBack(m_callbacks.onConfig, valueOf(snapshot));
        return std::monostate {};
    }

    // Revisions never change once written, so only those that the previous index did not name are read.
    Result<std::vector<std::string>> fetchRevisions(const ConfigIndex& index)
    {
        absl::flat_hash_map<std::string, std::string> revisions;
        std::vector<std::string> texts;
        for (const IndexEntry& entry : index.services) {
            const std::string name = revisionObjectName(entry.name, entry.publishId);
            std::string text;
            if (const auto known = m_revisions.find(name); known != m_revisions.end()) {
                text = known->second;
            } else {
                const auto object = m_store->get(objectkind::serviceRevision, name);
                if (!isOk(object))
                    return errorOf(object);
                text = valueOf(object).spec.dump();
            }
            texts.push_back(text);
            revisions.emplace(name, std::move(text));
        }
        m_revisions = std::move(revisions);
        return texts;
    }

    Status handleOwn(const ObjectList& list, bool isTable)
    {
        for (const StoredObject& object : list.items) {
            const WatchEvent event { .type = WatchEvent::Type::Modified, .object = object };
            Status handled = isTable ? handleTable(event) : handleLease(event);
            if (!isOk(handled))
                return handled;
        }
        return std::monostate {};
    }

    bool isOwn(const WatchEvent& event) const
    {
        return event.object.name == m_options.dataCentre.value() && event.type != WatchEvent::Type::Deleted;
    }

    Status handleTable(const WatchEvent& event)
    {
        if (!isOwn(event) || event.object.version <= m_tableObjectVersion)
            return std::monostate {};
        const auto table = decodeTable(event.object.spec);
        if (!isOk(table))
            return errorOf(table);
        if (valueOf(table).version() < m_tableVersion.value()) {
            reportProblem("The slot table object has a lower table version than before; it is ignored.");
            return std::monostate {};
        }
        m_tableObjectVersion = event.object.version;
        m_tableVersion = TableVersion(valueOf(table).version());
        callBack(m_callbacks.onTable, valueOf(table), event.object.version);
        return std::monostate {};
    }

    Status handleLease(const WatchEvent& event)
    {
        if (!isOwn(event) || event.object.version <= m_leaseObjectVersion)
            return std::monostate {};
        const auto lease = decodeLease(event.object);
        if (!isOk(lease))
            return errorOf(lease);
        m_leaseObjectVersion = event.object.version;
        callBack(m_callbacks.onLease, valueOf(lease));
        return std::monostate {};
    }

    Status handleVmList(const ObjectList& list)
    {
        if (list.version < m_vmVersion)
            return Error { .code = ErrorCode::Internal, .message = "The VM list is older than the one before." };
        m_vmVersion = list.version;
        m_vms.clear();
        for (const StoredObject& object : list.items)
            applyVm(object);
        handOnVms();
        return std::monostate {};
    }

    Status handleVm(const WatchEvent& event)
    {
        if (event.object.version <= m_vmVersion)
            return std::monostate {};
        m_vmVersion = event.object.version;
        if (event.type == WatchEvent::Type::Deleted)
            m_vms.erase(event.object.name);
        else
            applyVm(event.object);
        handOnVms();
        return std::monostate {};
    }

    // An entry that is not valid is left out, so that one bad entry does not hide the others.
    void applyVm(const StoredObject& object)
    {
        const auto vm = decodeVm(object);
        if (!isOk(vm))
            reportProblem(errorOf(vm).message);
        if (isOk(vm) && valueOf(vm).dataCentre == m_options.dataCentre)
            m_vms.insert_or_assign(object.name, valueOf(vm).entry);
        else
            m_vms.erase(object.name);
    }

    void handOnVms()
    {
        std::vector<VmEntry> entries;
        for (const auto& [name, entry] : m_vms)
            entries.push_back(entry);
        callBack(m_callbacks.onVmList, entries);
    }

    // The store is reachable while no feed has failed since its last success.
    void setReachable(std::size_t index, bool reachable)
    {
        const std::lock_guard lock(m_callbackMutex);
        m_feedReachable[index] = reachable;
        bool all = true;
        for (const bool one : m_feedReachable)
            all = all && one;
        if (m_reachable == all)
            return;
        m_reachable = all;
        if (m_callbacks.onReachable)
            m_callbacks.onReachable(all);
    }

    void reportProblem(const std::string& message) { callBack(m_callbacks.onProblem, message); }

    template <class Function, class... Arguments> void callBack(const Function& function, const Arguments&... arguments)
    {
        const std::lock_guard lock(m_callbackMutex);
        if (function)
            function(arguments...);
    }

    void wait(Duration delay, const std::stop_token& session)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, session, delay, [&] { return session.stop_requested(); });
    }

    std::shared_ptr<ObjectStore> m_store;
    StoreFollowerOptions m_options;
    StoreFollowerCallbacks m_callbacks;
    std::shared_ptr<RetryBudget> m_budget;
    SystemClock m_clock;
    Feeds m_feeds;

    // Each of these is used by the thread of one feed only.
    ConfigVersion m_configVersion;
    absl::flat_hash_map<std::string, std::string> m_revisions;
    TableVersion m_tableVersion;
    StoreVersion m_tableObjectVersion;
    StoreVersion m_leaseObjectVersion;
    StoreVersion m_vmVersion;
    std::map<std::string, VmEntry> m_vms;

    std::mutex m_callbackMutex;
    std::array<bool, feedCount> m_feedReachable { true, true, true, true };
    std::optional<bool> m_reachable;

    std::mutex m_mutex;
    std::condition_variable_any m_changed;
    bool m_watching = false;
    std::stop_source m_session;
    std::array<std::jthread, feedCount> m_threads;
};

StoreFollower::StoreFollower(
    std::shared_ptr<ObjectStore> store, const StoreFollowerOptions& options, StoreFollowerCallbacks callbacks)
    : m_implementation(std::make_unique<Implementation>(std::move(store), options, std::move(callbacks)))
{
}

StoreFollower::~StoreFollower() = default;

void StoreFollower::setWatching(bool watch) { m_implementation->setWatching(watch); }

} // namespace anvilwalk
