#include "EdgeMetrics.h"

#include <chrono>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <utility>
#include <vector>

namespace anvilwalk {

namespace {

    using prometheus::ClientMetric;
    using prometheus::MetricFamily;
    using prometheus::MetricType;

    MetricFamily makeFamily(const char* name, const char* help, MetricType type)
    {
        MetricFamily family;
        family.name = std::string("anvilwalk_edge_") + name;
        family.help = help;
        family.type = type;
        return family;
    }

    ClientMetric makeMetric(MetricType type, double value)
    {
        ClientMetric metric;
        if (type == MetricType::Counter)
            metric.counter.value = value;
        else
            metric.gauge.value = value;
        return metric;
    }

    MetricFamily singleValueFamily(const char* name, const char* help, MetricType type, double value)
    {
        MetricFamily family = makeFamily(name, help, type);
        family.metric.push_back(makeMetric(type, value));
        return family;
    }

    MetricFamily counter(const char* name, const char* help, std::uint64_t value)
    {
        return singleValueFamily(name, help, MetricType::Counter, static_cast<double>(value));
    }

    MetricFamily gauge(const char* name, const char* help, double value)
    {
        return singleValueFamily(name, help, MetricType::Gauge, value);
    }

    MetricFamily counterByReason(
        const char* name, const char* help, const std::array<std::uint64_t, dropReasonCount>& counts)
    {
        MetricFamily family = makeFamily(name, help, MetricType::Counter);
        for (std::size_t index = 0; index < counts.size(); ++index) {
            if (counts[index] == 0)
                continue;
            ClientMetric metric = makeMetric(MetricType::Counter, static_cast<double>(counts[index]));
            metric.label.push_back({ "reason", std::string(toString(static_cast<DropReason>(index))) });
            family.metric.push_back(std::move(metric));
        }
        return family;
    }

    MetricFamily responseTimeHistogram(const ResponseHistogram& histogram)
    {
        MetricFamily family = makeFamily("response_seconds",
            "Time from a request to the acknowledged answer, as seen by this balancer.", MetricType::Histogram);
        ClientMetric metric;
        std::uint64_t cumulative = 0;
        for (std::size_t index = 0; index < ResponseHistogram::bounds.size(); ++index) {
            cumulative += histogram.counts()[index];
            metric.histogram.bucket.push_back(
                { .cumulative_count = cumulative, .upper_bound = ResponseHistogram::bounds[index] });
        }
        metric.histogram.sample_count = cumulative + histogram.counts().back();
        metric.histogram.sample_sum = histogram.sumSeconds();
        family.metric.push_back(std::move(metric));
        return family;
    }

    double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

std::string renderMetrics(const EdgeMetricsSample& sample)
{
    const std::vector<MetricFamily> families {
        counter("packets_received_total", "Packets received.", sample.packets.received),
        counter("packets_sent_total", "Packets sent to targets and clients.", sample.packets.sent),
        counter("packets_malformed_total", "Packets that are not valid.", sample.packets.malformed),
        counter("send_failures_total", "Packets that the system did not take.", sample.packets.sendFailures),
        counter(
            "openings_total", "Opening packets sent to a target, copies included.", sample.router.forwardedOpenings),
        counter("opening_copies_total", "Copies of opening packets received.", sample.router.retransmittedOpenings),
        counterByReason("resets_total", "Resets sent to clients by reason.", sample.router.resets),
        counterByReason("drops_total", "Packets dropped by reason.", sample.router.drops),
        responseTimeHistogram(sample.responses),
        gauge("targets", "Targets known, those that ended lately included.", static_cast<double>(sample.targets)),
        gauge("tracked_flows", "Flows followed for choices.", static_cast<double>(sample.trackedFlows)),
        gauge("config_version", "Version of the routes in force.", static_cast<double>(sample.configVersion)),
        gauge("store_era", "Highest era of the store that this balancer knows of.", sample.storeEra.value()),
        gauge("targets_age_seconds", "Time since the store last confirmed the targets.", toSeconds(sample.targetsAge)),
        gauge("routes_age_seconds", "Time since the store last confirmed the routes.", toSeconds(sample.routesAge)),
        counter("peer_views_total", "Views and changes received from other balancers.", sample.peerViewsApplied),
        gauge("members", "Balancers of the data centre that this one hears from.", sample.members),
        gauge("relay", "1 if this balancer passes the store's changes on to others.", sample.isRelay ? 1 : 0),
        gauge("evacuated_data_centres", "Data centres whose targets get no new flows.",
            static_cast<double>(sample.evacuatedDataCentres)),
        gauge("shared_load_balancers", "Balancers that the load summary in use covers; 0 if there is none.",
            sample.sharedLoad.fresh ? sample.sharedLoad.balancers : 0),
        gauge("shared_load_age_seconds", "Age of the reports in the load summary in use; 0 if there is none.",
            sample.sharedLoad.fresh ? toSeconds(sample.sharedLoadAge) : 0),
        counter("load_messages_received_total", "Load reports and summaries received.", sample.loadMessages.received),
        counter("load_messages_malformed_total", "Load messages that are not valid.", sample.loadMessages.malformed),
        counter("load_bytes_sent_total", "Bytes of load reports and summaries sent.", sample.loadMessages.bytesSent),
        counter("refused_flows_total", "New flows refused because their service lacks room.", sample.refusedFlows),
        gauge("warm_up_limits", "Services that limit new flows to targets in their warm-up time.",
            static_cast<double>(sample.warmUpLimits)),
        counter(
            "cold_openings_total", "Opening packets sent to targets in a limited warm-up time.", sample.coldOpenings),
        counter("log_lines_lost_total", "Log lines that found no room.", sample.logLinesLost),
    };
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace anvilwalk
