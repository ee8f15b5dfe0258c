#pragma once

#include "ObjectTable.h"

#include <common/HttpServer.h>

#include <boost/asio/steady_timer.hpp>
#include <list>

namespace anvilwalk::standins {

// Serves the object API over HTTP, with switches for outages, slow answers and lost answers at /control.
class PlatformServer {
public:
    PlatformServer(boost::asio::io_context&, const Ipv4Endpoint&, std::size_t historyLimit);

    std::uint16_t port() const { return m_server.port(); }

private:
    struct Watch {
        HttpExchangePointer exchange;
        std::string kind;
        std::uint64_t version = 0;
        ObjectTable::Time end;
    };

    // The parts of an object API path; the name is empty for a whole kind.
    struct ObjectPath {
        std::string kind;
        std::string name;
    };

    void handle(const HttpExchangePointer&);
    void handleControl(const HttpExchangePointer&);
    void handleObject(const HttpExchangePointer&, const ObjectPath&);
    // Keeps writes of one kind waiting until the kind is no longer held.
    bool hold(const HttpExchangePointer&, const ObjectPath&);
    void releaseHeld();
    bool losesAnswer(const HttpRequest&, const ObjectPath&);
    ObjectTable::Answer apply(const HttpRequest&, const ObjectPath&, std::string& call);
    void startWatch(const HttpExchangePointer&, const ObjectPath&);
    void answer(const HttpExchangePointer&, const ObjectTable::Answer&);
    void closeWatches();
    void advanceWatches();
    void scheduleWatches();
    std::string describe() const;

    boost::asio::io_context& m_context;
    ObjectTable m_table;
    bool m_down = false;
    std::chrono::milliseconds m_delay { 0 };
    std::uint64_t m_loseNextAnswers = 0;
    // Kind of the writes whose answers are lost; empty for all kinds.
    std::string m_loseKind;
    std::uint64_t m_lostAnswers = 0;
    std::string m_holdKind;
    std::vector<std::pair<HttpExchangePointer, ObjectPath>> m_held;
    std::uint64_t m_callsWhileDown = 0;
    // Calls by kind and by method.
    std::map<std::string, std::map<std::string, std::uint64_t>> m_calls;
    std::list<Watch> m_watches;
    boost::asio::steady_timer m_watchTimer;
    HttpServer m_server;
};

} // namespace anvilwalk::standins
