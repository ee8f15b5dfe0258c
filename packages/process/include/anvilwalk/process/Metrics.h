#pragma once

#include <cstdint>
#include <functional>
#include <peer.pb.h>
#include <prometheus/collectable.h>
#include <string>
#include <vector>

namespace anvilwalk {

// Values that the metrics of a balancer are computed from.
struct MetricsSample {
    peer::BalancerStatus status;
    // Service names, in the order of the services in the status.
    std::vector<std::string> serviceNames;
    std::uint64_t flowRecords = 0;
    std::uint64_t flowCapacity = 0;
    std::uint64_t sendFailures = 0;
    bool ready = false;
    bool tableWriter = false;
};

// Converts samples into metric families. Takes a sample at each scrape.
class Metrics final : public prometheus::Collectable {
public:
    explicit Metrics(std::function<MetricsSample()> sample);

    std::vector<prometheus::MetricFamily> Collect() const override;
    // Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    std::function<MetricsSample()> m_sample;
};

} // namespace anvilwalk
