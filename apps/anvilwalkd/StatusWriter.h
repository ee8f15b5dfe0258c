#pragma once

#include "ControlLoop.h"

#include <anvilwalk/process.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace anvilwalk {

struct StatusWriterOptions {
    BalancerId self;
    DataCentreId dataCentre;
    std::chrono::milliseconds interval { 5000 };
    // Time after which a peer that has not answered is reported as missing.
    std::chrono::milliseconds answerTimeout { 2500 };
};

// While this balancer is the table writer, collects the status of all balancers of its data centre and writes the
// sum to the object API.
class StatusWriter {
public:
    StatusWriter(const StatusWriterOptions&, ControlLoop&, PeerTransport&, std::shared_ptr<ObjectStore>,
        std::function<peer::BalancerStatus()> ownStatus);
    ~StatusWriter();
    StatusWriter(const StatusWriter&) = delete;
    StatusWriter& operator=(const StatusWriter&) = delete;

    // Remembers the last answer of a target for the next status.
    void noteTargetReport(const TargetReport&);

private:
    // Answers to one round of questions; kept by the handlers of late answers too.
    struct Round;

    void run();
    bool waitForNext();
    StatusSummaryInput collect();
    void write(const nlohmann::json& spec);

    const StatusWriterOptions m_options;
    ControlLoop& m_control;
    PeerTransport& m_transport;
    std::shared_ptr<ObjectStore> m_store;
    std::function<peer::BalancerStatus()> m_ownStatus;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopped = false;
    std::map<TargetId, TargetReport> m_reports;
    // Version of the status object as of the last write; 0 if unknown.
    StoreVersion m_version;
    std::thread m_thread;
};

} // namespace anvilwalk
