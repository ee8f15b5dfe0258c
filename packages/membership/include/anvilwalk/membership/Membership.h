#pragma once

#include <anvilwalk/membership/MemberList.h>
#include <anvilwalk/membership/MemberMessage.h>
#include <anvilwalk/units.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace anvilwalk {

// State of this balancer that its heartbeats carry.
struct OwnMemberState {
    bool hasView = false;
    bool leaving = false;
    bool needsCurrentTargets = false;
    ViewStatus view;
};

class MembershipObserver {
public:
    virtual ~MembershipObserver() = default;

    virtual OwnMemberState ownMemberState() const = 0;
    // A member of this data centre that follows the store has sent the status of its view.
    virtual void onRelayStatus(const Member&, const ViewStatus&) = 0;
};

struct MembershipOptions {
    // Address of the UDP socket. All balancers use the same port.
    Ipv4Endpoint address;
    std::chrono::milliseconds heartbeatInterval { 1000 };
    // Delay after the first query to seeds while no other member of the data centre is known. Doubles with each further
    // query up to queryInterval. Short, because seeds that start at the same time may not receive the first query.
    std::chrono::milliseconds aloneQueryDelay { 250 };
    // Interval of queries of the relays, which keep the seeds' knowledge of each data centre current.
    std::chrono::milliseconds queryInterval { 5000 };
};

struct MembershipCounters {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t malformed = 0;
    std::uint64_t sendFailures = 0;
};

// Exchanges heartbeats with the balancers of the same data centre and queries seeds for them.
class Membership {
public:
    // Returns the current addresses of seeds, which may be stale and change at run time. Only the host part is used.
    using SeedList = std::function<std::vector<Ipv4Endpoint>()>;

    Membership(
        const MembershipOptions&, boost::asio::io_context&, MemberList&, SeedList, MembershipObserver&, const Clock&);

    Status open();
    // Receives messages until the io_context ends.
    boost::asio::awaitable<void> receive();
    // Sends heartbeats and queries until the io_context ends.
    boost::asio::awaitable<void> run();
    // Sends a heartbeat at once, because the view or the state of this balancer has changed.
    void announce();

    // When a seed last answered a query; nullopt before its first answer.
    std::optional<MonotonicTime> introducedAt() const { return m_introducedAt; }
    const MembershipCounters& counters() const { return m_counters; }

private:
    void handle(std::string_view bytes, const boost::asio::ip::udp::endpoint& source);
    void handleIntroduction();
    void querySeeds();
    MemberMessage makeMessage(MemberMessageKind, const DataCentreId& receiver);
    void sendTo(const std::string& bytes, const Ipv4Address&);
    bool isAlone() const { return m_members.memberCount() == 1; }
    bool isQueryDue(MonotonicTime now) const;
    // Time until the next heartbeat or query.
    std::chrono::milliseconds nextDelay();
    OwnMemberState updateOwnState();

    MembershipOptions m_options;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    MemberList& m_members;
    SeedList m_seeds;
    MembershipObserver& m_observer;
    const Clock& m_clock;
    MonotonicTime m_lastQuery;
    std::chrono::milliseconds m_aloneDelay;
    std::optional<MonotonicTime> m_introducedAt;
    MembershipCounters m_counters;
};

} // namespace anvilwalk
