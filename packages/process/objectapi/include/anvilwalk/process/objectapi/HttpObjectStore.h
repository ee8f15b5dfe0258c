#pragma once

#include <anvilwalk/process/ObjectStore.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace anvilwalk {

struct HttpObjectStoreOptions {
    Ipv4Endpoint endpoint;
    // Time limit of a call, from the start of the connect to the end of the response.
    std::chrono::milliseconds callDeadline { 2000 };
    // Time that a watch may exceed its timeout before its connection is considered lost.
    std::chrono::milliseconds watchGrace { 2000 };
    // Largest response accepted. An object can have up to 1 MB, and a list contains many objects.
    std::size_t maxResponseBytes = std::size_t { 64 } * 1024 * 1024;
};

// Client of the platform's object API over HTTP/1.1 (section 5 of the design page). Each call opens its own
// connection: on a persistent connection that the server has just closed, it would often be unknown whether a
// write took effect. Thread-safe.
class HttpObjectStore final : public ObjectStore {
public:
    explicit HttpObjectStore(const HttpObjectStoreOptions&);

    // Parses a URL of the form "http://address:port", with or without a trailing slash. Fails with InvalidArgument.
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
