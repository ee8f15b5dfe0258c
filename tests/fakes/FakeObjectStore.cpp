#include "FakeObjectStore.h"

#include <algorithm>
#include <thread>

namespace anvilwalk::fakes {

using nlohmann::json;

namespace {
    Error failure(ErrorCode code, const std::string& message) { return { .code = code, .message = message }; }
}

void FakeObjectStore::setDown(bool down)
{
    const std::lock_guard lock(m_mutex);
    m_down = down;
    m_changed.notify_all();
}

void FakeObjectStore::setDelay(std::chrono::milliseconds delay)
{
    const std::lock_guard lock(m_mutex);
    m_delay = delay;
}

void FakeObjectStore::loseNextAnswers(const std::string& kind, int count)
{
    const std::lock_guard lock(m_mutex);
    m_lostAnswers[kind] = count;
}

void FakeObjectStore::loseNextRequests(const std::string& kind, int count)
{
    const std::lock_guard lock(m_mutex);
    m_lostRequests[kind] = count;
}

void FakeObjectStore::setStaleReads(std::size_t writes)
{
    const std::lock_guard lock(m_mutex);
    m_staleWrites = writes;
}

void FakeObjectStore::compact()
{
    const std::lock_guard lock(m_mutex);
    m_events.clear();
    m_droppedVersion = m_version;
}

void FakeObjectStore::setHook(Hook hook)
{
    const std::lock_guard lock(m_mutex);
    m_hook = std::move(hook);
}

int FakeObjectStore::calls(StoreCall call) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_calls.find(call);
    return found == m_calls.end() ? 0 : found->second;
}

std::optional<Error> FakeObjectStore::begin(StoreCall call, const std::string& kind, const std::string& name)
{
    Hook hook;
    std::chrono::milliseconds delay;
    {
        const std::lock_guard lock(m_mutex);
        ++m_calls[call];
        hook = m_hook;
        delay = m_delay;
    }
    if (hook)
        hook(call, kind, name);
    if (delay.count() > 0)
        std::this_thread::sleep_for(delay);
    const std::lock_guard lock(m_mutex);
    if (m_down)
        return failure(ErrorCode::Unavailable, "the store is down");
    return std::nullopt;
}

const FakeObjectStore::Objects& FakeObjectStore::visibleObjects() const
{
    if (m_staleWrites == 0 || m_earlier.empty())
        return m_objects;
    return m_earlier[m_earlier.size() - std::min(m_staleWrites, m_earlier.size())];
}

Result<StoredObject> FakeObjectStore::get(const std::string& kind, const std::string& name)
{
    if (const auto error = begin(StoreCall::Get, kind, name))
        return *error;
    const std::lock_guard lock(m_mutex);
    const auto found = visibleObjects().find({ kind, name });
    if (found == visibleObjects().end())
        return failure(ErrorCode::NotFound, kind + "/" + name + " does not exist");
    return found->second;
}

Result<ObjectList> FakeObjectStore::list(const std::string& kind)
{
    if (const auto error = begin(StoreCall::List, kind, ""))
        return *error;
    const std::lock_guard lock(m_mutex);
    ObjectList list { .version = StoreVersion(m_version - std::min<std::uint64_t>(m_staleWrites, m_version)),
        .items = {} };
    for (const auto& [key, object] : visibleObjects()) {
        if (key.first == kind)
            list.items.push_back(object);
    }
    return list;
}

bool FakeObjectStore::takeLost(std::map<std::string, int>& counts, const std::string& kind)
{
    const auto found = counts.find(kind);
    if (found == counts.end() || found->second == 0)
        return false;
    --found->second;
    return true;
}

Result<StoredObject> FakeObjectStore::finishWrite(const std::string& kind, WatchEvent event)
{
    if (takeLost(m_lostRequests, kind))
        return failure(ErrorCode::Unknown, "no answer");
    m_earlier.push_back(m_objects);
    event.object.version = StoreVersion(++m_version);
    const auto key = std::pair(kind, event.object.name);
    if (event.type == WatchEvent::Type::Deleted)
        m_objects.erase(key);
    else
        m_objects[key] = event.object;
    m_events.push_back(event);
    m_changed.notify_all();
    if (takeLost(m_lostAnswers, kind))
        return failure(ErrorCode::Unknown, "no answer");
    return event.object;
}

Result<StoredObject> FakeObjectStore::create(const std::string& kind, const std::string& name, const json& spec)
{
    if (const auto error = begin(StoreCall::Create, kind, name))
        return *error;
    const std::lock_guard lock(m_mutex);
    if (m_objects.contains({ kind, name }))
        return failure(ErrorCode::Conflict, kind + "/" + name + " exists");
    return finishWrite(kind,
        { .type = WatchEvent::Type::Added, .object = { .kind = kind, .name = name, .version = {}, .spec = spec } });
}

Result<StoredObject> FakeObjectStore::update(
    const std::string& kind, const std::string& name, const json& spec, StoreVersion expected)
{
    if (const auto error = begin(StoreCall::Update, kind, name))
        return *error;
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find({ kind, name });
    if (found == m_objects.end())
        return failure(ErrorCode::NotFound, kind + "/" + name + " does not exist");
    if (found->second.version != expected)
        return failure(ErrorCode::Conflict, kind + "/" + name + " has another version");
    return finishWrite(kind,
        { .type = WatchEvent::Type::Modified, .object = { .kind = kind, .name = name, .version = {}, .spec = spec } });
}

Status FakeObjectStore::remove(const std::string& kind, const std::string& name, StoreVersion expected)
{
    if (const auto error = begin(StoreCall::Remove, kind, name))
        return *error;
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find({ kind, name });
    if (found == m_objects.end())
        return failure(ErrorCode::NotFound, kind + "/" + name + " does not exist");
    if (found->second.version != expected)
        return failure(ErrorCode::Conflict, kind + "/" + name + " has another version");
    const auto result = finishWrite(kind, { .type = WatchEvent::Type::Deleted, .object = found->second });
    if (!isOk(result))
        return errorOf(result);
    return std::monostate {};
}

std::optional<WatchEvent> FakeObjectStore::nextEvent(const std::string& kind, StoreVersion after) const
{
    const auto found = std::find_if(m_events.begin(), m_events.end(),
        [&](const WatchEvent& event) { return event.object.kind == kind && event.object.version > after; });
    return found == m_events.end() ? std::nullopt : std::optional(*found);
}

Status FakeObjectStore::watch(const std::string& kind, StoreVersion from, std::chrono::milliseconds timeout,
    const std::function<bool(const WatchEvent&)>& handler)
{
    return watchUntilStopped(kind, from, timeout, handler, {});
}

Status FakeObjectStore::watchUntilStopped(const std::string& kind, StoreVersion from, std::chrono::milliseconds timeout,
    const std::function<bool(const WatchEvent&)>& handler, std::stop_token stop)
{
    if (const auto error = begin(StoreCall::Watch, kind, ""))
        return *error;
    const auto end = std::chrono::steady_clock::now() + timeout;
    std::unique_lock lock(m_mutex);
    if (from.value() < m_droppedVersion)
        return failure(ErrorCode::Gone, "the version is too old");
    for (;;) {
        m_changed.wait_until(lock, stop, end, [&] { return m_down || nextEvent(kind, from).has_value(); });
        if (m_down || stop.stop_requested())
            return failure(ErrorCode::Unavailable, "the watch was interrupted");
        const auto event = nextEvent(kind, from);
        if (!event)
            return std::monostate {};
        from = event->object.version;
        lock.unlock();
        if (!handler(*event))
            return std::monostate {};
        lock.lock();
    }
}

} // namespace anvilwalk::fakes
