#pragma once

#include <anvilwalk/request.h>
#include <anvilwalk/units.h>

#include <absl/container/flat_hash_map.h>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvilwalk::soak {

using SoakTime = std::chrono::steady_clock::time_point;

// What must hold whatever fails.
enum class Promise : std::uint8_t {
    // An open flow is not reset by a balancer while its host lives.
    FlowKept,
    // No packet of an open flow reaches another host while its own lives.
    FlowOnItsHost,
    // A host runs only requests of its own service.
    RightService,
    // A request that may run once runs at most once.
    RunsOnce,
    // A request whose flow was refused has not run.
    RefusedNotRun,
    // Packets reach both ends as they were sent.
    PacketsUnchanged,
    // A host that drains gets no new flows after its bound.
    DrainBound,
    // A configuration is in force within its bound.
    ConfigBound,
    // A balancer never goes back to an older configuration.
    ConfigRises,
    // No balancer ends by itself.
    BalancersRun,
    // All requests are answered again within the bound after the last fault.
    Recovery,
    Count,
};

inline constexpr std::size_t promiseCount = static_cast<std::size_t>(Promise::Count);
std::string_view toString(Promise);

struct Breach {
    Promise promise = Promise::FlowKept;
    // Seconds since the start of the run.
    double seconds = 0;
    std::string what;
};

struct PromiseBounds {
    std::chrono::milliseconds drain { 3000 };
    std::chrono::milliseconds configInForce { 3000 };
    std::chrono::milliseconds rollbackSlack { 250 };
    // Bounds of drains and configurations hold for a balancer that was left alone for this long, with a store that was.
    std::chrono::milliseconds stableWindow { 4000 };
};

// One run of a host.
using HostRun = StrongId<struct HostRunTag, std::uint32_t>;
// One run of a balancer.
using BalancerRun = StrongId<struct BalancerRunTag, std::uint32_t>;

// Judges what callers and hosts see. Has no sockets; time is passed in.
class Promises {
public:
    Promises(const PromiseBounds&, SoakTime start);

    // A fault of a balancer or of the store holds now. A balancer's start counts as one.
    void noteDisturbed(BalancerRun, SoakTime now);
    void noteStoreDisturbed(SoakTime now);
    bool inTouch(BalancerRun, SoakTime now) const;

    // Hosts.
    void hostEnded(HostRun);
    void hostDrains(HostRun, SoakTime acknowledged);
    // An opening packet reached a host through a balancer.
    void openingArrived(HostRun, BalancerRun, SoakTime now);
    void flowOpened(const FlowKey&, HostRun);
    void flowClosed(const FlowKey&);
    void packetArrived(const FlowKey&, HostRun, SoakTime now);
    void packetChanged(const std::string& where, SoakTime now);
    void requestRan(std::uint64_t id, const ServiceName& ranBy, SoakTime now);

    // Callers.
    void requestSent(std::uint64_t id, const ServiceName&, bool idempotent);
    void openingRefused(std::uint64_t id, SoakTime now);
    // A reset of a balancer reached a client that considers the flow open.
    void flowReset(const FlowKey&, SoakTime now);
    void wrongAnswer(std::uint64_t id, SoakTime now);
    void unanswered(std::uint64_t id, SoakTime now);

    // Configurations. Each adds one port; the port is dropped again by a later one.
    void configAccepted(ConfigVersion, std::uint16_t addedPort, std::uint16_t droppedPort, SoakTime now);
    // A probe of a port was forwarded to a host, or refused with a reset.
    void portForwarded(std::uint16_t port, BalancerRun, SoakTime sent, SoakTime now);
    void portRefused(std::uint16_t port, BalancerRun, SoakTime sent, SoakTime now);

    void balancerEnded(const std::string& name, const std::string& how, SoakTime now);

    const std::vector<Breach>& breaches() const { return m_breaches; }
    // How often each promise was put to the test.
    const std::array<std::uint64_t, promiseCount>& checks() const { return m_checks; }

private:
    struct Request {
        ServiceName service;
        bool idempotent = true;
        std::uint32_t runs = 0;
        bool refused = false;
    };
    struct Port {
        ConfigVersion addedBy;
        SoakTime addedAt;
        ConfigVersion droppedBy {};
        SoakTime droppedAt {};
    };

    void check(Promise promise) { ++m_checks[static_cast<std::size_t>(promise)]; }
    void breach(Promise, SoakTime, std::string what);
    bool isOverdue(BalancerRun, SoakTime since, SoakTime sent) const;

    PromiseBounds m_bounds;
    SoakTime m_start;
    absl::flat_hash_map<BalancerRun, SoakTime> m_disturbed;
    SoakTime m_storeDisturbed;
    absl::flat_hash_map<HostRun, SoakTime> m_draining;
    std::map<FlowKey, HostRun> m_openFlows;
    absl::flat_hash_map<std::uint64_t, Request> m_requests;
    std::map<std::uint16_t, Port> m_ports;
    // Newest configuration that a balancer's run has shown.
    absl::flat_hash_map<BalancerRun, ConfigVersion> m_shown;
    absl::flat_hash_map<BalancerRun, SoakTime> m_shownAt;
    std::vector<Breach> m_breaches;
    std::array<std::uint64_t, promiseCount> m_checks {};
};

} // namespace anvilwalk::soak
