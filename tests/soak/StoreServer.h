#pragma once

#include "StoreModel.h"

#include <anvilwalk/units.h>
#include <common/HttpServer.h>
#include <common/Ticker.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <string>
#include <vector>

namespace anvilwalk::soak {

// How the store treats all calls.
enum class StoreMode : std::uint8_t {
    Serves,
    // Calls get no answer.
    Silent,
    // 503.
    Busy,
    // 429.
    Throttles,
    // Connections are closed without an answer.
    Closes,
    // Answers come late.
    Slow,
};

// The platform's store over HTTP: lists and watches of the model's objects.
class StoreServer {
public:
    StoreServer(boost::asio::io_context&, const Ipv4Endpoint&, StoreModel&);

    void setMode(StoreMode);
    // Watches that allow it are answered with what was true this long ago.
    void setStaleness(std::chrono::milliseconds staleness) { m_staleness = staleness; }
    // Drops the history and ends all watches without a word of what they missed.
    void dropHistory();
    std::uint64_t calls() const { return m_calls; }

private:
    using Time = std::chrono::steady_clock::time_point;

    struct Watch {
        standins::HttpExchangePointer exchange;
        std::string kind;
        std::uint64_t after = 0;
        bool mayBeStale = false;
        Time deadline;
    };
    struct Delayed {
        standins::HttpExchangePointer exchange;
        Time due;
    };
    struct Past {
        Time time;
        std::uint64_t revision = 0;
    };

    void handle(const standins::HttpExchangePointer&);
    void serve(const standins::HttpExchangePointer&);
    void tick();
    void endWatches(Time now);
    std::uint64_t visibleRevision(bool mayBeStale, Time now) const;

    StoreModel& m_model;
    StoreMode m_mode = StoreMode::Serves;
    std::chrono::milliseconds m_staleness { 0 };
    std::uint64_t m_calls = 0;
    std::vector<Watch> m_watches;
    std::vector<Delayed> m_delayed;
    // Calls that were received while the store was silent.
    std::vector<standins::HttpExchangePointer> m_unanswered;
    std::deque<Past> m_past;
    standins::HttpServer m_server;
    standins::Ticker m_ticker;
};

} // namespace anvilwalk::soak
