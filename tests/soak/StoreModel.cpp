#include "StoreModel.h"

namespace anvilwalk::soak {

namespace {

    using nlohmann::json;

    // Small, so that lists have several pages.
    constexpr std::size_t pageObjects = 10;

} // namespace

json StoreModel::bodyOf(const std::string& name, const Object& object)
{
    return { { "meta",
                 { { "name", name }, { "revision", object.revision }, { "created_rev", object.createdRevision },
                     { "finalizers", json::array() }, { "deleting", false } } },
        { "spec", object.spec }, { "status", nullptr } };
}

void StoreModel::put(const std::string& kind, const std::string& name, const json& spec)
{
    auto [at, created] = m_objects[kind].try_emplace(name);
    Object& object = at->second;
    if (!created && object.spec == spec)
        return;
    object.spec = spec;
    object.revision = ++m_revision;
    if (created)
        object.createdRevision = m_revision;
    m_history.push_back({ .revision = m_revision, .kind = kind, .object = bodyOf(name, object) });
}

void StoreModel::remove(const std::string& kind, const std::string& name)
{
    auto& objects = m_objects[kind];
    const auto found = objects.find(name);
    if (found == objects.end())
        return;
    ++m_revision;
    m_history.push_back(
        { .revision = m_revision, .kind = kind, .object = bodyOf(name, found->second), .deleted = true });
    objects.erase(found);
}

bool StoreModel::contains(const std::string& kind, const std::string& name) const
{
    const auto objects = m_objects.find(kind);
    return objects != m_objects.end() && objects->second.contains(name);
}

json StoreModel::list(const std::string& kind, const std::string& after) const
{
    json items = json::array();
    bool more = false;
    if (const auto objects = m_objects.find(kind); objects != m_objects.end()) {
        for (auto at = objects->second.upper_bound(after); at != objects->second.end() && !more; ++at) {
            items.push_back(bodyOf(at->first, at->second));
            more = items.size() >= pageObjects && std::next(at) != objects->second.end();
        }
    }
    return { { "items", std::move(items) }, { "more", more }, { "as_of", m_revision } };
}

std::optional<json> StoreModel::changes(const std::string& kind, std::uint64_t after, std::uint64_t upTo) const
{
    if (after < m_historyFrom)
        return std::nullopt;
    json events = json::array();
    for (const Change& change : m_history) {
        if (change.kind == kind && change.revision > after && change.revision <= upTo)
            events.push_back({ { "object", change.object }, { "deleted", change.deleted } });
    }
    return json { { "events", std::move(events) }, { "as_of", std::max(upTo, after) } };
}

void StoreModel::dropHistory()
{
    m_history.clear();
    m_historyFrom = m_revision;
}

} // namespace anvilwalk::soak
