#include "LoadHarness.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <memory>
#include <random>

using namespace anvilwalk;
using namespace anvilwalk::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t balancerCount = 28;
constexpr std::uint64_t targetCount = 50;
constexpr std::chrono::milliseconds step { 10 };
constexpr std::chrono::milliseconds interval { 1000 };
constexpr double lossRate = 0.1;

struct Balancer {
    explicit Balancer(std::uint32_t balancerNumber)
        : number(balancerNumber)
    {
    }

    std::uint32_t number;
    bool running = true;
    // Arrival of the last summary that was used.
    MonotonicTime summaryAt;
    std::uint64_t sequence = 0;
    LoadTargets targets { targetCount };
    LoadSampler sampler { targets.catalogue };
    LoadCollector collector { LoadCollectorOptions {}, targets.catalogue };
    SharedLoad shared { SharedLoadOptions {}, targets.catalogue };
};

// How far a balancer's figures are from the truth, as a share of the truth.
struct Deviation {
    // Of the sum over all targets.
    double total = 0;
    // Sum of the deviations of the single targets.
    double perTarget = 0;
};

// The balancers of a data centre, whose ticks are spread over the interval. Messages arrive at once or are lost.
class DataCentre {
public:
    DataCentre()
    {
        for (std::uint32_t number = 1; number <= balancerCount; ++number) {
            m_balancers.push_back(std::make_unique<Balancer>(number));
            for (std::uint64_t target = 1; target <= targetCount; ++target)
                drawLoad(*m_balancers.back(), target);
        }
    }

    // Lets the time pass in steps. The collectors are members by position; lost members are known as such after 3.5 s.
    void run(Duration time, const std::vector<std::size_t>& collectors)
    {
        const MonotonicTime end = m_now + time;
        for (; m_now < end; m_now += step) {
            changeLoad();
            for (std::size_t index = 0; index < m_balancers.size(); ++index) {
                const auto phase = (index * interval / balancerCount / step) * step;
                if (m_balancers[index]->running && m_now.time_since_epoch() % interval == phase)
                    tick(*m_balancers[index], collectors);
            }
        }
    }

    void stop(std::size_t index)
    {
        m_balancers[index]->running = false;
        for (std::uint64_t target = 1; target <= targetCount; ++target)
            m_balancers[index]->targets.at(target).activity = {};
    }

    Deviation deviationOf(Balancer& balancer)
    {
        double sum = 0;
        double found = 0;
        double differences = 0;
        for (std::uint64_t target = 1; target <= targetCount; ++target) {
            double truth = 0;
            for (const auto& other : m_balancers)
                truth += other->targets.at(target).activity.openFlows;
            const Target& known = balancer.targets.at(target);
            const double figure = known.activity.openFlows + known.shared.openFlows;
            sum += truth;
            found += figure;
            differences += std::abs(figure - truth);
        }
        return { .total = std::abs(found - sum) / sum, .perTarget = differences / sum };
    }

    MonotonicTime now() const { return m_now; }

    std::vector<Balancer*> running()
    {
        std::vector<Balancer*> found;
        for (const auto& balancer : m_balancers) {
            if (balancer->running)
                found.push_back(balancer.get());
        }
        return found;
    }

private:
    void drawLoad(Balancer& balancer, std::uint64_t target)
    {
        TargetActivity& activity = balancer.targets.at(target).activity;
        activity.openFlows = std::uniform_int_distribution<std::uint32_t>(0, 12)(m_random);
        activity.requestsInProgress = activity.openFlows / 3;
    }

    // Changes about a twentieth of the loads in a second.
    void changeLoad()
    {
        const auto changes = balancerCount * targetCount * static_cast<std::size_t>(step.count())
            / static_cast<std::size_t>(interval.count()) / 20;
        for (std::size_t change = 0; change <= changes; ++change) {
            Balancer& balancer = *m_balancers[m_random() % balancerCount];
            if (balancer.running)
                drawLoad(balancer, 1 + m_random() % targetCount);
        }
    }

    void tick(Balancer& balancer, const std::vector<std::size_t>& collectors)
    {
        ++balancer.sequence;
        LoadReport report { .header = loadHeader(balancer.number, balancer.sequence),
            .targets = balancer.sampler.sample(m_now) };
        balancer.shared.expire(m_now);
        balancer.shared.recordOwnReport(report.targets);
        for (const std::size_t index : collectors) {
            Balancer& collector = *m_balancers[index];
            if (&collector == &balancer)
                collector.collector.handle(report, m_now);
            else
                send(report, collector);
        }
        const bool isCollector = std::any_of(collectors.begin(), collectors.end(),
            [&](std::size_t index) { return m_balancers[index].get() == &balancer; });
        if (!isCollector)
            return;
        LoadSummary summary = balancer.collector.summarize(m_now);
        summary.header = loadHeader(balancer.number, balancer.sequence);
        balancer.shared.handle(summary, m_now);
        balancer.summaryAt = m_now;
        for (const auto& other : m_balancers) {
            if (other.get() != &balancer)
                send(summary, *other);
        }
    }

    template <class Message> void send(const Message& message, Balancer& receiver)
    {
        for (const std::string& part : encodeLoadMessage(message)) {
            if (!receiver.running || std::bernoulli_distribution(lossRate)(m_random))
                continue;
            const auto decoded = decodeLoadMessage(part);
            REQUIRE(isOk(decoded));
            if constexpr (std::is_same_v<Message, LoadReport>)
                receiver.collector.handle(std::get<LoadReport>(valueOf(decoded)), m_now);
            else {
                const MonotonicTime before = receiver.shared.status().takenAt;
                receiver.shared.handle(std::get<LoadSummary>(valueOf(decoded)), m_now);
                if (receiver.shared.status().takenAt != before)
                    receiver.summaryAt = m_now;
            }
        }
    }

    std::mt19937 m_random { 7 };
    MonotonicTime m_now { 1000s };
    std::vector<std::unique_ptr<Balancer>> m_balancers;
};

// Checks the figures of all running balancers. A tenth of the reports and summaries is lost: a balancer drops out of a
// collector's sums for some time when two of its reports in a row are lost, once in 100. While there is one collector,
// a balancer loses three summaries in a row once in 1,000 and then chooses by its own sample.
void checkFigures(DataCentre& dataCentre)
{
    double deviations = 0;
    std::size_t withoutSummary = 0;
    const std::vector<Balancer*> running = dataCentre.running();
    for (Balancer* balancer : running) {
        INFO("balancer " << balancer->number << " after " << balancer->sequence << " reports");
        if (dataCentre.now() - balancer->summaryAt >= 3s) {
            ++withoutSummary;
            continue;
        }
        CHECK(balancer->shared.status().fresh);
        CHECK(balancer->shared.status().balancers >= running.size() - 4);
        const Deviation deviation = dataCentre.deviationOf(*balancer);
        CHECK(deviation.total < 0.15);
        CHECK(deviation.perTarget < 0.3);
        deviations += deviation.perTarget;
    }
    CHECK(withoutSummary <= 1);
    CHECK(deviations / static_cast<double>(running.size() - withoutSummary) < 0.15);
}

} // namespace

// Guards against figures that drift from the true sums: by flows that count twice or not at all, by lost messages, or
// by the loss of a collector.
TEST_CASE("The balancers of a data centre know the sums of all flows while messages and a collector are lost")
{
    DataCentre dataCentre;
    dataCentre.run(3s, { 0, 1 });
    for (int second = 3; second < 10; ++second) {
        dataCentre.run(1s, { 0, 1 });
        checkFigures(dataCentre);
    }
    dataCentre.stop(0);
    // The others still send their reports to the lost collector.
    dataCentre.run(2500ms, { 0, 1 });
    checkFigures(dataCentre);
    dataCentre.run(1s, { 0, 1 });
    checkFigures(dataCentre);
    dataCentre.run(500ms, { 1, 2 });
    for (int second = 14; second < 20; ++second) {
        dataCentre.run(1s, { 1, 2 });
        checkFigures(dataCentre);
    }
}
