#include <anvilwalk/membership.h>
#include <fakes/TestSeed.h>

#include <catch2/catch.hpp>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <random>

using namespace anvilwalk;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime startOfTime { std::chrono::seconds(1000) };

// Balancers of several data centres that exchange messages with a delay. Each has a view from the start.
class Fleet {
public:
    Fleet(std::size_t dataCentres, std::size_t balancersEach)
    {
        for (std::size_t index = 0; index < dataCentres * balancersEach; ++index)
            m_nodes.push_back(std::make_unique<Node>(*this, index, index % dataCentres));
    }

    void setLossPercent(int percent) { m_lossPercent = percent; }

    void startAll()
    {
        for (const auto& node : m_nodes)
            start(*node);
    }

    // Restarts a balancer that was stopped, under its old name.
    void restart(std::size_t index)
    {
        const std::size_t dataCentre = m_nodes[index]->dataCentre;
        m_nodes[index] = std::make_unique<Node>(*this, index, dataCentre);
        start(*m_nodes[index]);
    }

    void stop(std::size_t index)
    {
        m_nodes[index]->running = false;
        m_nodes[index]->stopped = true;
    }

    void run(Duration time)
    {
        const MonotonicTime end = m_now + time;
        while (!m_events.empty() && m_events.top().due <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.due;
            deliver(event);
        }
        m_now = end;
    }

    // Returns the running relays of a data centre.
    std::vector<std::size_t> relays(std::size_t dataCentre) const
    {
        std::vector<std::size_t> found;
        for (const auto& node : m_nodes) {
            if (node->running && node->dataCentre == dataCentre && node->list.role() == MemberRole::Relay)
                found.push_back(node->index);
        }
        return found;
    }

    // Returns whether every running balancer of a data centre is a follower or a relay and has heard of a relay lately.
    bool isServed(std::size_t dataCentre) const
    {
        for (const auto& node : m_nodes) {
            if (!node->running || node->dataCentre != dataCentre)
                continue;
            if (node->list.role() == MemberRole::Independent)
                return false;
            if (node->list.role() == MemberRole::Follower && m_now - node->lastRelayStatus > 1500ms)
                return false;
        }
        return true;
    }

    std::size_t sentBy(std::size_t index) const { return m_nodes[index]->sent; }
    std::size_t sentBetweenDataCentres() const { return m_sentBetweenDataCentres; }
    void resetCounts()
    {
        m_sentBetweenDataCentres = 0;
        for (const auto& node : m_nodes)
            node->sent = 0;
    }

private:
    struct Node final : MembershipObserver, MemberSender {
        Node(Fleet& owner, std::size_t number, std::size_t place)
            : fleet(owner)
            , index(number)
            , dataCentre(place)
            , list(MemberListOptions {}, fleet.memberOf(number, place))
            , protocol(
                  { .self = addressOf(number) }, list, [this] { return fleet.seeds(); }, *this, *this)
        {
        }

        OwnMemberState ownMemberState() const override { return { .hasView = true }; }
        void onRelayStatus(const Member&, const ViewStatus&) override { lastRelayStatus = fleet.m_now; }
        void send(const MemberMessage& message, const std::vector<Ipv4Address>& receivers) override
        {
            sent += receivers.size();
            for (const Ipv4Address& receiver : receivers)
                fleet.post(*this, message, receiver);
        }

        Fleet& fleet;
        std::size_t index;
        std::size_t dataCentre;
        bool running = false;
        bool stopped = false;
        std::size_t sent = 0;
        MonotonicTime lastRelayStatus;
        MemberList list;
        MemberProtocol protocol;
    };

    // A tick of a balancer, or a message to it.
    struct Event {
        MonotonicTime due;
        std::size_t receiver = 0;
        // The run of the receiver for which a tick is due.
        std::uint64_t receiverStartedMs = 0;
        std::shared_ptr<const MemberMessage> message;
        Ipv4Address source;

        bool operator<(const Event& other) const { return due > other.due; }
    };

    static Ipv4Address addressOf(std::size_t index) { return { 0x0a000000U + static_cast<std::uint32_t>(index) }; }

    Member memberOf(std::size_t index, std::size_t dataCentre)
    {
        return { .id = BalancerId("balancer-" + std::to_string(index)),
            .dataCentre = DataCentreId("dc-" + std::to_string(dataCentre)),
            .viewAddress = { .address = addressOf(index), .port = 8166 },
            .startedMs = ++m_starts };
    }

    std::vector<Ipv4Endpoint> seeds() const
    {
        std::vector<Ipv4Endpoint> addresses;
        for (std::size_t index : { 0U, 7U, 11U })
            addresses.push_back({ .address = addressOf(index), .port = 8166 });
        return addresses;
    }

    void start(Node& node)
    {
        // All processes start within 0.3 s.
        constexpr std::uint32_t startSpreadMs = 300;
        schedule(node, std::chrono::milliseconds(m_random(startSpreadMs)));
    }

    void schedule(const Node& node, Duration delay)
    {
        m_events.push({ .due = m_now + delay,
            .receiver = node.index,
            .receiverStartedMs = node.list.self().startedMs,
            .message = nullptr,
            .source = {} });
    }

    void post(const Node& sender, const MemberMessage& message, const Ipv4Address& receiver)
    {
        const std::size_t index = receiver.value - addressOf(0).value;
        const bool remote = m_nodes[index]->dataCentre != sender.dataCentre;
        if (remote)
            ++m_sentBetweenDataCentres;
        constexpr std::uint32_t percent = 100;
        if (static_cast<int>(m_random(percent)) < m_lossPercent)
            return;
        m_events.push({ .due = m_now + (remote ? 3ms : 1ms),
            .receiver = index,
            .message = std::make_shared<const MemberMessage>(message),
            .source = addressOf(sender.index) });
    }

    void deliver(const Event& event)
    {
        Node& node = *m_nodes[event.receiver];
        if (event.message) {
            if (node.running)
                node.protocol.handle(*event.message, event.source, m_now);
            return;
        }
        if (node.stopped || event.receiverStartedMs != node.list.self().startedMs)
            return;
        if (std::exchange(node.running, true))
            node.protocol.tick(m_now);
        else
            node.protocol.start(m_now);
        schedule(node, node.protocol.nextDelay());
    }

    MonotonicTime m_now = startOfTime;
    std::uint64_t m_starts = 0;
    pcg32 m_random { fakes::testSeeds(1).front() };
    int m_lossPercent = 0;
    std::size_t m_sentBetweenDataCentres = 0;
    std::priority_queue<Event> m_events;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

} // namespace

// Guards against a fleet in which every balancer reads the store, or none does, after all of them have started at once.
TEST_CASE("Balancers that start together agree on two relays in each data centre within seconds")
{
    const auto [dataCentres, balancersEach, lossPercent]
        = GENERATE(table<std::size_t, std::size_t, int>({ { 3, 8, 0 }, { 5, 40, 0 }, { 5, 40, 5 }, { 5, 200, 0 } }));
    INFO(dataCentres << " data centres of " << balancersEach << ", " << lossPercent << "% loss");
    Fleet fleet(dataCentres, balancersEach);
    fleet.setLossPercent(lossPercent);
    fleet.startAll();
    fleet.run(5s);
    for (std::size_t dataCentre = 0; dataCentre < dataCentres; ++dataCentre) {
        CHECK(fleet.relays(dataCentre).size() == 2);
        // The longest-running ones.
        CHECK(fleet.relays(dataCentre).front() == dataCentre);
    }
    if (lossPercent == 0) {
        for (std::size_t dataCentre = 0; dataCentre < dataCentres; ++dataCentre)
            CHECK(fleet.isServed(dataCentre));
    }
}

// Guards against messages that grow faster than the fleet: a follower talks to the hubs only, and between data centres
// only queries are sent.
TEST_CASE("The messages of a member do not grow with the fleet, and few cross between data centres")
{
    const auto sentInTenSeconds = [](std::size_t balancersEach) {
        Fleet fleet(5, balancersEach);
        fleet.startAll();
        fleet.run(10s);
        fleet.resetCounts();
        fleet.run(10s);
        const std::size_t last = 5 * balancersEach - 1;
        return std::pair(fleet.sentBy(last), fleet.sentBetweenDataCentres());
    };
    const auto [followerSmall, remoteSmall] = sentInTenSeconds(20);
    const auto [followerLarge, remoteLarge] = sentInTenSeconds(200);
    // Four hubs, one heartbeat a second.
    CHECK(followerSmall <= 44);
    CHECK(followerLarge <= 44);
    // Two relays in each of five data centres ask up to three seeds every five seconds, and are answered.
    constexpr std::size_t relays = 10;
    constexpr std::size_t rounds = 3;
    constexpr std::size_t messages = 6;
    CHECK(remoteSmall <= relays * rounds * messages);
    CHECK(remoteLarge <= relays * rounds * messages);
}

// Guards against a data centre without news after a failure: a successor must take over before a member times out
// twice.
TEST_CASE("Successors replace relays that die, also when all hubs die at once")
{
    const std::size_t killed = GENERATE(1U, 2U, 4U, 10U);
    Fleet fleet(2, 40);
    fleet.startAll();
    fleet.run(10s);
    for (std::size_t number = 0; number < killed; ++number)
        fleet.stop(number * 2);
    fleet.run(8s);
    const std::vector<std::size_t> expected { killed * 2, killed * 2 + 2 };
    CHECK(fleet.relays(0) == expected);
    CHECK(fleet.isServed(0));
    CHECK(fleet.relays(1) == std::vector<std::size_t> { 1, 3 });
}

// Guards against relays that change whenever a balancer restarts.
TEST_CASE("A balancer that restarts becomes a follower of the relays that run")
{
    Fleet fleet(1, 20);
    fleet.startAll();
    fleet.run(10s);
    fleet.stop(0);
    fleet.run(200ms);
    fleet.restart(0);
    fleet.run(5s);
    CHECK(fleet.relays(0) == std::vector<std::size_t> { 1, 2 });
    CHECK(fleet.isServed(0));
}
