#include <anvilwalk/process/Metrics.h>

#include <prometheus/text_serializer.h>

namespace anvilwalk {

namespace {

    using prometheus::ClientMetric;
    using prometheus::MetricFamily;
    using prometheus::MetricType;
    using Labels = std::vector<ClientMetric::Label>;

    MetricFamily makeFamily(const std::string& name, const std::string& help, MetricType type)
    {
        MetricFamily result;
        result.name = "anvilwalk_" + name;
        result.help = help;
        result.type = type;
        return result;
    }

    void addValue(MetricFamily& family, double value, Labels labels = {})
    {
        ClientMetric metric;
        metric.label = std::move(labels);
        if (family.type == MetricType::Counter)
            metric.counter.value = value;
        else
            metric.gauge.value = value;
        family.metric.push_back(std::move(metric));
    }

    MetricFamily makeScalarFamily(const std::string& name, const std::string& help, MetricType type, double value)
    {
        MetricFamily result = makeFamily(name, help, type);
        addValue(result, value);
        return result;
    }

    // Creates a family with one value per service.
    MetricFamily makeServiceFamily(const MetricsSample& sample, const std::string& name, const std::string& help,
        MetricType type, std::uint64_t (peer::ServiceStatus::*value)() const)
    {
        MetricFamily result = makeFamily(name, help, type);
        for (int index = 0; index < sample.status.services_size(); ++index) {
            const auto position = static_cast<std::size_t>(index);
            const std::string service
                = position < sample.serviceNames.size() ? sample.serviceNames[position] : std::string();
            addValue(result, static_cast<double>((sample.status.services(index).*value)()),
                { ClientMetric::Label { "service", service } });
        }
        return result;
    }

    void addServiceFamilies(const MetricsSample& sample, std::vector<MetricFamily>& families)
    {
        families.push_back(makeServiceFamily(
            sample, "packets_total", "Packets from the fabric.", MetricType::Counter, &peer::ServiceStatus::packets));
        families.push_back(makeServiceFamily(sample, "openings_total", "New flows sent to a target.",
            MetricType::Counter, &peer::ServiceStatus::openings));
        families.push_back(makeServiceFamily(sample, "refused_total", "Flows answered with a reset.",
            MetricType::Counter, &peer::ServiceStatus::refused));
        families.push_back(makeServiceFamily(
            sample, "dropped_total", "Packets dropped.", MetricType::Counter, &peer::ServiceStatus::dropped));
        families.push_back(makeServiceFamily(sample, "relayed_total", "Packets handed to another balancer.",
            MetricType::Counter, &peer::ServiceStatus::relayed));
        families.push_back(makeServiceFamily(sample, "open_flows", "Open flows that this balancer knows.",
            MetricType::Gauge, &peer::ServiceStatus::open_flows));
    }

    void addProcessFamilies(const MetricsSample& sample, std::vector<MetricFamily>& families)
    {
        const peer::BalancerStatus& status = sample.status;
        families.push_back(makeScalarFamily("control_bytes_sent_total", "Bytes of messages sent to other balancers.",
            MetricType::Counter, static_cast<double>(status.control_bytes_sent())));
        families.push_back(makeScalarFamily("send_failures_total", "Packets that the kernel did not take.",
            MetricType::Counter, static_cast<double>(sample.sendFailures)));
        families.push_back(makeScalarFamily("table_version", "Version of the slot tables in force.", MetricType::Gauge,
            static_cast<double>(status.table_version())));
        families.push_back(makeScalarFamily("config_version", "Version of the configuration in force.",
            MetricType::Gauge, static_cast<double>(status.config_version())));
        families.push_back(makeScalarFamily(
            "flow_records", "Records in the flow table.", MetricType::Gauge, static_cast<double>(sample.flowRecords)));
        families.push_back(makeScalarFamily("flow_capacity", "Records the flow table can hold.", MetricType::Gauge,
            static_cast<double>(sample.flowCapacity)));
        families.push_back(makeScalarFamily(
            "ready", "1 if the fabric may send packets here.", MetricType::Gauge, sample.ready ? 1 : 0));
        families.push_back(makeScalarFamily(
            "table_writer", "1 if this balancer computes the tables.", MetricType::Gauge, sample.tableWriter ? 1 : 0));
        families.push_back(makeScalarFamily("uptime_seconds", "Time since the start.", MetricType::Gauge,
            static_cast<double>(status.uptime_seconds())));
    }

    MetricFamily makeDropFamily(const MetricsSample& sample)
    {
        MetricFamily result = makeFamily("drops_total", "Packets dropped, by reason.", MetricType::Counter);
        for (const auto& [reason, count] : sample.status.drops())
            addValue(result, static_cast<double>(count), { ClientMetric::Label { "reason", reason } });
        return result;
    }

} // namespace

Metrics::Metrics(std::function<MetricsSample()> sample)
    : m_sample(std::move(sample))
{
}

std::vector<prometheus::MetricFamily> Metrics::Collect() const
{
    const MetricsSample sample = m_sample();
    std::vector<MetricFamily> families;
    addServiceFamilies(sample, families);
    families.push_back(makeDropFamily(sample));
    addProcessFamilies(sample, families);
    return families;
}

std::string Metrics::text() const { return prometheus::TextSerializer().Serialize(Collect()); }

} // namespace anvilwalk
