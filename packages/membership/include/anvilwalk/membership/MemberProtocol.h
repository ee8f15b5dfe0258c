#pragma once

#include <anvilwalk/membership/MemberList.h>
#include <anvilwalk/membership/MemberMessage.h>
#include <anvilwalk/units.h>

#include <chrono>
#include <functional>
#include <optional>
#include <vector>

namespace anvilwalk {

// State of this balancer that its messages carry.
struct OwnMemberState {
    bool hasView = false;
    bool leaving = false;
    bool needsCurrentTargets = false;
    ViewStatus view {};
};

class MembershipObserver {
public:
    virtual ~MembershipObserver() = default;

    virtual OwnMemberState ownMemberState() const = 0;
    // A relay of this data centre has sent the status of its view.
    virtual void onRelayStatus(const Member&, const ViewStatus&) = 0;
};

// Sends messages to other balancers. Messages may be lost.
class MemberSender {
public:
    virtual ~MemberSender() = default;

    virtual void send(const MemberMessage&, const std::vector<Ipv4Address>& receivers) = 0;
};

struct MemberProtocolOptions {
    // Address of this balancer; excluded from the seeds.
    Ipv4Address self;
    std::chrono::milliseconds heartbeatInterval { 1000 };
    // Delay after the first query to seeds while no other member of the data centre is known. Doubles with each further
    // query up to queryInterval. Short, because seeds that start at the same time may not receive the first query.
    std::chrono::milliseconds aloneQueryDelay { 250 };
    // Interval of queries of members that are no followers, which keep the seeds' knowledge of each data centre
    // current.
    std::chrono::milliseconds queryInterval { 5000 };
};

// Decides which messages are sent to which balancers: heartbeats within the data centre, queries to seeds, and answers.
class MemberProtocol {
public:
    // Returns the current addresses of seeds, which may be stale and change at run time. Only the host part is used.
    using SeedList = std::function<std::vector<Ipv4Endpoint>()>;

    MemberProtocol(const MemberProtocolOptions&, MemberList&, SeedList, MembershipObserver&, MemberSender&);

    // Queries the seeds for the first time.
    void start(MonotonicTime now);
    void handle(const MemberMessage&, const Ipv4Address& source, MonotonicTime now);
    // Sends what is due. Called after each nextDelay().
    void tick(MonotonicTime now);
    // Returns the time until the next tick.
    std::chrono::milliseconds nextDelay();
    // Sends a heartbeat at once, because the view or the state of this balancer has changed.
    void announce(MonotonicTime now);

    // When a seed last answered a query; nullopt before its first answer.
    std::optional<MonotonicTime> introducedAt() const { return m_introducedAt; }

private:
    bool isAlone() const { return m_members.memberCount() == 1; }
    bool isQueryDue(MonotonicTime now) const;
    void querySeeds(MonotonicTime now);
    OwnMemberState updateOwnState();
    MemberMessage makeMessage(MemberMessageKind, const DataCentreId& receiver);

    MemberProtocolOptions m_options;
    MemberList& m_members;
    SeedList m_seeds;
    MembershipObserver& m_observer;
    MemberSender& m_sender;
    MonotonicTime m_lastQuery;
    std::optional<MonotonicTime> m_introducedAt;
    std::chrono::milliseconds m_aloneDelay;
};

} // namespace anvilwalk
