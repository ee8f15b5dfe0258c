#pragma once

#include <anvilwalk/process/ObjectStore.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace anvilwalk {

struct HttpObjectStoreOptions {
    Ipv4Endpoint endpoint;
    // Time for a whole call, from the connect to the end of the answer.
    std::chrono::milliseconds callDeadline { 2000 };
    // Time that a watch may exceed its own timeout before its connection is taken for lost.
    std::chrono::milliseconds watchGrace { 2000 };
    // Largest answer accepted. Values are up to 1 MB each; a list holds many.
    std::size_t maxAnswerBytes = std::size_t { 64 } * 1024 * 1024;
};

// The platform's object API over HTTP/1.1 (section 5 of the design page). Each call has a connection of its
// own: on a kept connection that the server has just closed, a write's fate would often be unknown.
// Safe for use by several threads.
class HttpObjectStore final : public ObjectStore {
public:
    explicit HttpObjectStore(const HttpObjectStoreOptions&);

    // Endpoint of a URL "http://address:port", with or without a final slash.
    static Result<Ipv4Endpoint> parseUrl(std::string_view url);

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
    HttpObjectStoreOptions m_options;
};

} // namespace anvilwalk
