#include "StatusWriter.h"

#include <algorithm>

namespace anvilwalk {

struct StatusWriter::Round {
    std::mutex mutex;
    std::condition_variable changed;
    std::map<BalancerId, peer::BalancerStatus> answers;
    std::size_t pending = 0;
};

StatusWriter::StatusWriter(const StatusWriterOptions& options, ControlLoop& control, PeerTransport& transport,
    std::shared_ptr<ObjectStore> store, std::function<peer::BalancerStatus()> ownStatus)
    : m_options(options)
    , m_control(control)
    , m_transport(transport)
    , m_store(std::move(store))
    , m_ownStatus(std::move(ownStatus))
    , m_thread([this] { run(); })
{
}

StatusWriter::~StatusWriter()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void StatusWriter::noteTargetReport(const TargetReport& report)
{
    const std::lock_guard lock(m_mutex);
    m_reports[report.target] = report;
}

bool StatusWriter::waitForNext()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, m_options.interval, [this] { return m_stopped; });
    return !m_stopped;
}

void StatusWriter::run()
{
    while (waitForNext()) {
        if (m_control.isTableWriter())
            write(summarizeStatus(collect()));
        else
            m_version = StoreVersion();
    }
}

StatusSummaryInput StatusWriter::collect()
{
    const std::vector<KnownBalancer> balancers = m_control.knownBalancers();
    const auto round = std::make_shared<Round>();
    round->pending = balancers.size();
    peer::CollectStatusRequest request;
    request.set_requester(m_options.self.value());
    for (const KnownBalancer& balancer : balancers) {
        m_transport.collectStatus(balancer.controlEndpoint, request, [round, id = balancer.id](const auto& result) {
            const std::lock_guard lock(round->mutex);
            --round->pending;
            if (isOk(result))
                round->answers[id] = valueOf(result);
            round->changed.notify_all();
        });
    }

    StatusSummaryInput input;
    input.dataCentre = m_options.dataCentre;
    input.writer = m_options.self;
    input.balancers.push_back(m_ownStatus());
    {
        std::unique_lock lock(round->mutex);
        round->changed.wait_for(lock, m_options.answerTimeout, [&] { return round->pending == 0; });
        for (const KnownBalancer& balancer : balancers) {
            const auto answer = round->answers.find(balancer.id);
            if (answer == round->answers.end())
                input.missingBalancers.push_back(balancer.id);
            else
                input.balancers.push_back(answer->second);
        }
    }
    const auto unixTime = std::chrono::system_clock::now().time_since_epoch();
    input.writtenAtUnixMs = std::chrono::duration_cast<std::chrono::milliseconds>(unixTime).count();
    if (const RoutingStatePointer state = m_control.routingState()) {
        input.config = state->config;
        input.table = state->table;
    }
    const std::lock_guard lock(m_mutex);
    for (const auto& [target, report] : m_reports)
        input.targetReports.push_back(report);
    return input;
}

// A status that cannot be written is not retried; the next one follows soon and contains it.
void StatusWriter::write(const nlohmann::json& spec)
{
    const std::string& name = m_options.dataCentre.value();
    if (m_version == StoreVersion()) {
        const auto existing = m_store->get(objectkind::status, name);
        if (isOk(existing))
            m_version = valueOf(existing).version;
        else if (errorOf(existing).code != ErrorCode::NotFound)
            return;
    }
    const auto result = m_version == StoreVersion() ? m_store->create(objectkind::status, name, spec)
                                                    : m_store->update(objectkind::status, name, spec, m_version);
    m_version = isOk(result) ? valueOf(result).version : StoreVersion();
    if (!isOk(result))
        log(LogComponent::Store, LogLevel::Debug, "Status was not written: " + errorOf(result).message);
}

} // namespace anvilwalk
