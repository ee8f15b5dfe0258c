#include "ObjectTable.h"

#include <algorithm>

namespace anvilwalk::standins {

using nlohmann::json;

namespace {

    constexpr const char* vmKind = "virtualmachines";
    constexpr std::size_t objectLimitBytes = 1U << 20U;

    ObjectTable::Answer failure(unsigned status, const std::string& text)
    {
        return { status, { { "kind", "Status" }, { "code", status }, { "message", text } } };
    }

    std::string textAt(const json& object, const char* key)
    {
        const auto metadata = object.find("metadata");
        if (metadata == object.end() || !metadata->is_object())
            return "";
        const auto value = metadata->find(key);
        return value != metadata->end() && value->is_string() ? value->get<std::string>() : "";
    }

} // namespace

ObjectTable::Answer ObjectTable::get(const std::string& kind, const std::string& name) const
{
    const auto objects = m_objects.find(kind);
    if (objects == m_objects.end() || !objects->second.contains(name))
        return failure(404, kind + " " + name + " does not exist");
    return { 200, objects->second.at(name) };
}

ObjectTable::Answer ObjectTable::list(const std::string& kind, Time now)
{
    showDueVms(now);
    const bool lagging = kind == vmKind && !m_pendingVms.empty();
    const std::uint64_t version = lagging ? m_pendingVms.front().version - 1 : m_version;
    json items = json::array();
    for (const auto& [name, object] : kind == vmKind ? m_visibleVms : m_objects[kind])
        items.push_back(object);
    return { 200, { { "metadata", { { "resourceVersion", std::to_string(version) } } }, { "items", items } } };
}

ObjectTable::Answer ObjectTable::create(const std::string& kind, const json& object, Time now)
{
    const std::string name = textAt(object, "name");
    if (name.empty())
        return failure(400, "metadata.name is missing");
    if (object.dump().size() > objectLimitBytes)
        return failure(413, "the object is larger than 1 MB");
    if (m_objects[kind].contains(name))
        return failure(409, kind + " " + name + " exists");
    return { 201, m_objects[kind][name] = record(kind, "ADDED", object, now) };
}

ObjectTable::Answer ObjectTable::update(const std::string& kind, const std::string& name, const json& object, Time now)
{
    if (object.dump().size() > objectLimitBytes)
        return failure(413, "the object is larger than 1 MB");
    const auto current = m_objects[kind].find(name);
    if (current == m_objects[kind].end())
        return failure(404, kind + " " + name + " does not exist");
    const std::string expected = textAt(object, "resourceVersion");
    if (expected.empty())
        return failure(400, "metadata.resourceVersion is missing");
    if (expected != textAt(current->second, "resourceVersion"))
        return failure(409, "the version of " + kind + " " + name + " differs");
    json replacement = object;
    replacement["metadata"]["name"] = name;
    return { 200, current->second = record(kind, "MODIFIED", replacement, now) };
}

ObjectTable::Answer ObjectTable::remove(
    const std::string& kind, const std::string& name, const std::string& version, Time now)
{
    const auto current = m_objects[kind].find(name);
    if (current == m_objects[kind].end())
        return failure(404, kind + " " + name + " does not exist");
    if (version != textAt(current->second, "resourceVersion"))
        return failure(409, "the version of " + kind + " " + name + " differs");
    const json removed = record(kind, "DELETED", current->second, now);
    m_objects[kind].erase(name);
    return { 200, removed };
}

bool ObjectTable::canWatchFrom(std::uint64_t version) const
{
    return version >= m_droppedVersion && version <= m_version;
}

std::vector<ObjectTable::Event> ObjectTable::eventsAfter(const std::string& kind, std::uint64_t version, Time now) const
{
    std::vector<Event> events;
    const auto first = std::partition_point(
        m_history.begin(), m_history.end(), [version](const Event& event) { return event.version <= version; });
    for (auto event = first; event != m_history.end(); ++event) {
        if (event->kind != kind)
            continue;
        if (event->visibleAt > now)
            break;
        events.push_back(*event);
    }
    return events;
}

void ObjectTable::compact()
{
    m_history.clear();
    m_droppedVersion = m_version;
}

json ObjectTable::record(const std::string& kind, const std::string& type, json object, Time now)
{
    object["kind"] = kind;
    object["metadata"]["resourceVersion"] = std::to_string(++m_version);
    Time visibleAt = now;
    if (kind == vmKind) {
        visibleAt += m_vmListLag;
        if (!m_pendingVms.empty())
            visibleAt = std::max(visibleAt, m_pendingVms.back().visibleAt);
    }
    m_history.push_back({ m_version, kind, type, object, visibleAt });
    if (kind == vmKind)
        m_pendingVms.push_back(m_history.back());
    trimHistory();
    return object;
}

void ObjectTable::showDueVms(Time now)
{
    while (!m_pendingVms.empty() && m_pendingVms.front().visibleAt <= now) {
        const Event& event = m_pendingVms.front();
        const std::string name = textAt(event.object, "name");
        if (event.type == "DELETED")
            m_visibleVms.erase(name);
        else
            m_visibleVms[name] = event.object;
        m_pendingVms.pop_front();
    }
}

void ObjectTable::trimHistory()
{
    while (m_history.size() > m_historyLimit) {
        m_droppedVersion = m_history.front().version;
        m_history.pop_front();
    }
}

} // namespace anvilwalk::standins
