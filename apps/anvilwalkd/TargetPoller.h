#pragma once

#include <anvilwalk/process.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio.hpp>

namespace anvilwalk {

// A target whose health endpoint is asked.
struct PolledTarget {
    TargetId target;
    // "http://address:port/path".
    std::string healthUrl;
};

struct TargetPollerOptions {
    std::chrono::milliseconds interval { 500 };
    std::chrono::milliseconds timeout { 500 };
};

// Asks the health endpoints of all targets, each on a connection of its own that is kept between requests. All
// members are used on the io_context's thread.
class TargetPoller {
public:
    using TargetSource = std::function<std::vector<PolledTarget>()>;
    using ReportHandler = std::function<void(const TargetReport&)>;

    TargetPoller(boost::asio::io_context&, const TargetPollerOptions&, TargetSource, ReportHandler);
    ~TargetPoller();
    TargetPoller(const TargetPoller&) = delete;
    TargetPoller& operator=(const TargetPoller&) = delete;

    void start();

private:
    class Probe;

    void poll();

    boost::asio::io_context& m_context;
    TargetPollerOptions m_options;
    TargetSource m_targets;
    ReportHandler m_handler;
    boost::asio::steady_timer m_timer;
    std::map<TargetId, std::shared_ptr<Probe>> m_probes;
};

} // namespace anvilwalk
