#pragma once

#include "BalancerProcess.h"
#include "Fabric.h"
#include "HostFleet.h"
#include "Schedule.h"
#include "StoreProxy.h"
#include "StoreServer.h"

#include <boost/asio/io_context.hpp>
#include <common/Ticker.h>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <vector>

namespace anvilwalk::soak {

// One balancer with what stands between it and the rest.
struct BalancerPlace {
    std::unique_ptr<BalancerProcess> process;
    std::unique_ptr<StoreProxy> proxy;
    // Run that is in progress, or the last one.
    BalancerRun run;
    // A harm to it lasts until then.
    SoakTime harmedUntil;
};

// The parts that faults are played on.
struct FaultStage {
    std::vector<BalancerPlace>& balancers;
    Fabric& fabric;
    StoreServer& store;
    StoreModel& objects;
    HostFleet& hosts;
    Promises& promises;
};

// Plays faults on the processes and the parts around them, and ends each after its time. Tells the promises who is
// disturbed.
class FaultPlayer {
public:
    FaultPlayer(boost::asio::io_context&, const FaultStage&, std::uint64_t seed);

    void play(const Fault&);
    // Ends all faults at once.
    void endAll();
    // Whether the store serves everybody.
    bool isStoreCalm() const { return std::chrono::steady_clock::now() >= m_storeHarmedUntil; }
    // Times that each kind was played.
    const std::map<FaultKind, std::uint32_t>& played() const { return m_played; }

private:
    void playOnBalancer(const Fault&, std::size_t index);
    void playOnLink(const Fault&, std::size_t index);
    void playOnProxy(const Fault&, std::size_t index);
    void playOnStore(const Fault&);
    void playOnHosts(const Fault&);
    void killMost(const Fault&);
    void pauseBalancer(std::size_t index, std::chrono::milliseconds);
    void storeMode(StoreMode, std::chrono::milliseconds);
    void returnStore();
    void lapse(std::chrono::milliseconds);
    void putForeignEntries(std::chrono::milliseconds);
    void harmLink(std::size_t index, std::chrono::milliseconds, const std::function<void(LinkHarm&)>&);
    void disturb(std::size_t index, std::chrono::milliseconds);
    void disturbStore(std::chrono::milliseconds);
    void tellPromises();

    boost::asio::io_context& m_context;
    FaultStage m_stage;
    pcg32 m_random;
    SoakTime m_storeHarmedUntil;
    // End of the last outage of the store.
    SoakTime m_storeReturns;
    std::map<FaultKind, std::uint32_t> m_played;
    standins::Ticker m_ticker;
};

} // namespace anvilwalk::soak
