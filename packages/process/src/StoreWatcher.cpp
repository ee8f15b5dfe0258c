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

    // Handles the objects of one kind. A handler that fails is called again later with the same or a newer state.
    struct KindHandler {
        std::string kind;
        std::function<Status(const ObjectList&)> handleList;
        std::function<Status(const WatchEvent&)> handleEvent;
    };

    bool isOutage(ErrorCode code) { return code == ErrorCode::Unavailable || code == ErrorCode::Unknown; }

    Error unavailable(const std::string& message) { return { .code = ErrorCode::Unavailable, .message = message }; }

} // namespace

class StoreWatcher::Implementation {
public:
    Implementation(
        std::shared_ptr<ObjectStore> store, const StoreWatcherOptions& options, StoreWatcherCallbacks callbacks)
        : m_store(std::move(store))
        , m_options(options)
        , m_callbacks(std::move(callbacks))
        , m_budget(std::make_shared<RetryBudget>(options.retryBudget, options.retryRefill))
        , m_kindHandlers(makeKindHandlers())
    {
        m_session.request_stop();
        for (std::size_t index = 0; index < m_kindHandlers.size(); ++index)
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
    static constexpr std::size_t kindCount = 4;
    using KindHandlers = std::array<KindHandler, kindCount>;

    KindHandlers makeKindHandlers()
    {
        return { KindHandler { objectkind::configIndex,
                     [this](const ObjectList& list) { return handleIndexList(list); },
                     [this](const WatchEvent& event) { return handleIndex(event); } },
            KindHandler { objectkind::slotTable, [this](const ObjectList& list) { return handleOwn(list, true); },
                [this](const WatchEvent& event) { return handleTable(event); } },
            KindHandler { objectkind::virtualMachine, [this](const ObjectList& list) { return handleVmList(list); },
                [this](const WatchEvent& event) { return handleVm(event); } },
            KindHandler { objectkind::lease, [this](const ObjectList& list) { return handleOwn(list, false); },
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
            watchKind(index, session);
        }
    }

    // Lists and watches one kind until the session ends.
    void watchKind(std::size_t index, const std::stop_token& session)
    {
        const KindHandler& kindHandler = m_kindHandlers[index];
        RetryPolicy retry(m_options.retry, m_budget, m_options.seed * kindCount + index);
        std::optional<StoreVersion> from;
        while (!session.stop_requested()) {
            const Status result = from ? watchOnce(kindHandler, *from, session) : listOnce(kindHandler, from);
            if (session.stop_requested())
                return;
            if (isOk(result)) {
                retry.recordSuccess();
                setReachable(index, true);
                continue;
            }
            // After any failure the kind is listed again: a list shows at once whether the store answers, a watch may
            // block.
            from.reset();
            setReachable(index, !isOutage(errorOf(result).code));
            reportProblem(errorOf(result).message);
            wait(retry.delayAfterFailure(m_clock.now()), session);
        }
    }

    Status listOnce(const KindHandler& kindHandler, std::optional<StoreVersion>& from)
    {
        const auto list = m_store->list(kindHandler.kind);
        if (!isOk(list))
            return errorOf(list);
        Status handled = kindHandler.handleList(valueOf(list));
        if (isOk(handled))
            from = valueOf(list).version;
        return handled;
    }

    // Runs one watch call and advances the version past the handled events.
    Status watchOnce(const KindHandler& kindHandler, StoreVersion& from, const std::stop_token& session)
    {
        Status handled;
        const MonotonicTime start = m_clock.now();
        const StoreVersion before = from;
        Status watched = m_store->watchUntilStopped(
            kindHandler.kind, from, m_options.watchTimeout,
            [&](const WatchEvent& event) {
                if (session.stop_requested())
                    return false;
                handled = kindHandler.handleEvent(event);
                if (isOk(handled))
                    from = std::max(from, event.object.version);
                return isOk(handled);
            },
            session);
        if (!isOk(handled))
            return handled;
        if (!isOk(watched))
            return watched;
        // Otherwise a store that ends empty watches at once would be called in a tight loop.
        if (from == before && m_clock.now() - start < m_options.watchTimeout / 2)
            return unavailable("watch " + kindHandler.kind + " ended early");
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

    // Revisions are immutable, so only those that were not in the previous index are read.
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
        reportVms();
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
        reportVms();
        return std::monostate {};
    }

    // Skips an invalid entry, so that it does not hide the valid ones.
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

    void reportVms()
    {
        std::vector<VmEntry> entries;
        for (const auto& [name, entry] : m_vms)
            entries.push_back(entry);
        callBack(m_callbacks.onVmList, entries);
    }

    // The store is reachable while the latest call of each kind has succeeded or failed without an outage.
    void setReachable(std::size_t index, bool reachable)
    {
        const std::lock_guard lock(m_callbackMutex);
        m_kindReachable[index] = reachable;
        bool all = true;
        for (const bool one : m_kindReachable)
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
    StoreWatcherOptions m_options;
    StoreWatcherCallbacks m_callbacks;
    std::shared_ptr<RetryBudget> m_budget;
    SystemClock m_clock;
    KindHandlers m_kindHandlers;

    // Each of these is used by the thread of one kind only.
    ConfigVersion m_configVersion;
    absl::flat_hash_map<std::string, std::string> m_revisions;
    TableVersion m_tableVersion;
    StoreVersion m_tableObjectVersion;
    StoreVersion m_leaseObjectVersion;
    StoreVersion m_vmVersion;
    std::map<std::string, VmEntry> m_vms;

    std::mutex m_callbackMutex;
    std::array<bool, kindCount> m_kindReachable { true, true, true, true };
    std::optional<bool> m_reachable;

    std::mutex m_mutex;
    std::condition_variable_any m_changed;
    bool m_watching = false;
    std::stop_source m_session;
    std::array<std::jthread, kindCount> m_threads;
};

StoreWatcher::StoreWatcher(
    std::shared_ptr<ObjectStore> store, const StoreWatcherOptions& options, StoreWatcherCallbacks callbacks)
    : m_implementation(std::make_unique<Implementation>(std::move(store), options, std::move(callbacks)))
{
}

StoreWatcher::~StoreWatcher() = default;

void StoreWatcher::setWatching(bool watch) { m_implementation->setWatching(watch); }

} // namespace anvilwalk
