#pragma once

#include <anvilwalk/placement.h>
#include <fakes/PlacementHarness.h>

#include <absl/container/flat_hash_map.h>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <tuple>
#include <vector>

namespace anvilwalk::fakes {

struct FleetModelOptions {
    std::uint32_t balancers = 20;
    std::uint32_t targets = 30;
    // Time from a summary's reports until the balancers use it; the figures are up to one second older.
    std::chrono::milliseconds summaryDelay { 500 };
    bool sharesLoad = true;
    bool admits = false;
    std::uint64_t seed = 1;
};

// The balancers of a data centre and the targets of one service in simulated time. Each flow carries one request. A
// target works on two requests, queues eight, and rejects others after the time of its last response.
class FleetModel {
public:
    struct Calls {
        std::uint64_t offered = 0;
        std::uint64_t refused = 0;
        std::uint64_t rejected = 0;
        std::uint64_t served = 0;

        double servedShare() const { return static_cast<double>(served) / static_cast<double>(offered); }
    };
    struct ModelTarget {
        double speed = 1;
        std::uint64_t flows = 0;
        std::uint32_t busy = 0;
        std::deque<std::function<void()>> queue;
        Duration lastResponse { std::chrono::milliseconds(37) };
        // Moving average over the responses of all balancers, as a collector keeps it.
        Duration meanResponse { 0 };
    };
    struct Balancer : PlacementHarness {
        explicit Balancer(std::uint64_t seed)
            : PlacementHarness({ .dataCentre = DataCentreId("lima-a"), .seed = seed })
            , admission({ .dataCentre = DataCentreId("lima-a"), .seed = seed + 1 })
        {
        }
        AdmissionController admission;
    };

    explicit FleetModel(const FleetModelOptions&);

    // Capacity of the targets in requests per second.
    double capacity() const;

    // Runs for a time with Poisson arrivals, a share of which is urgent.
    void run(Duration time, double flowsPerSecond, double urgentShare = 0.25);
    void resetStatistics();
    double busiestToMean() const;
    double waitMs(double quantile);
    double meanAdmitted() const;

    static constexpr std::uint32_t slots = 2;
    static constexpr std::size_t queueSize = 8;

    std::vector<std::unique_ptr<Balancer>> balancers;
    std::vector<ModelTarget> targets;
    MonotonicTime now { std::chrono::seconds(1000) };
    // Urgent and other calls.
    std::array<Calls, 2> calls;
    // Milliseconds that requests waited for a slot.
    std::vector<double> waits;
    // Called after each report, once a second.
    std::function<void()> onReport;

private:
    struct Event {
        MonotonicTime at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };
    void schedule(Duration delay, std::function<void()> run);

    // Arrivals of an earlier run end with it.
    void scheduleArrival(std::uint64_t run);
    void open(bool urgent);
    void request(ModelTarget& target, Calls& counts, const std::function<void()>& respond);
    static void answer(ModelTarget& target, Duration time, const std::function<void()>& respond);

    // Sums what the balancers see now and applies it after the delay, as packages/load does.
    void report();
    void apply(const std::vector<std::vector<SharedTargetLoad>>& others, MonotonicTime takenAt);

    FleetModelOptions m_options;
    pcg32 m_random;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::uint64_t m_run = 0;
    double m_flowsPerSecond = 0;
    double m_urgentShare = 0;
    std::uint32_t m_flows = 0;
    absl::flat_hash_map<FlowToken, std::uint32_t> m_indexes;
};

} // namespace anvilwalk::fakes
