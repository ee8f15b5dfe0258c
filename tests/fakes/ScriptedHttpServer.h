#pragma once

#include <anvilwalk/units.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace anvilwalk::fakes {

// Answers each connection in turn with the next scripted text, byte for byte, and closes it. Text that is empty
// means: read the request and close without an answer.
class ScriptedHttpServer {
public:
    explicit ScriptedHttpServer(std::vector<std::string> answers);
    ~ScriptedHttpServer();
    ScriptedHttpServer(const ScriptedHttpServer&) = delete;
    ScriptedHttpServer& operator=(const ScriptedHttpServer&) = delete;

    Ipv4Endpoint endpoint() const { return m_endpoint; }
    // The last connection stays open without more bytes until the server is destroyed.
    void holdLast() { m_holdLast = true; }
    // All requests as received; to be read after the calls have returned.
    const std::vector<std::string>& requests() const { return m_requests; }

private:
    void run();

    std::vector<std::string> m_answers;
    std::vector<std::string> m_requests;
    std::atomic<bool> m_holdLast { false };
    std::atomic<bool> m_stop { false };
    int m_socket = -1;
    Ipv4Endpoint m_endpoint;
    std::thread m_thread;
};

} // namespace anvilwalk::fakes
