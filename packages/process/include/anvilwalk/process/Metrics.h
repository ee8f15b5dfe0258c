#pragma once

#include <cstdint>
#include <functional>
#include <peer.pb.h>
#include <prometheus/collectable.h>
#include <string>
#include <vector>

namespace anvilwalk {

// What the metrics of a balancer are made of.
struct MetricsSample {
    peer::BalancerStatus status;
    // Name of each service in the status, in its order.
    std::vector<std::string> serviceNames;
    std::uint64_t flowRecords = 0;
    std::uint64_t flowCapacity = 0;
    std::uint64_t sendFailures = 0;
    bool ready = false;
    bool tableWriter = false;
};

// Turns samples into metric families. A sample is taken at each scrape.
class Metrics final : public prometheus::Collectable {
public:
    explicit Metrics(std::function<MetricsSample()> sample);

    std::vector<prometheus::MetricFamily> Collect() const override;
    // All metrics in Prometheus' text format.
    std::string text() const;

private:
    std::function<MetricsSample()> m_sample;
};

} // namespace anvilwalk
