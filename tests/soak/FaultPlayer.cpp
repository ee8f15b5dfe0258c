#include "FaultPlayer.h"

#include "Delay.h"

#include <algorithm>

namespace anvilwalk::soak {

using namespace std::chrono_literals;

namespace {

    constexpr std::chrono::milliseconds tellInterval { 20 };
    constexpr std::chrono::milliseconds storeDelay { 250 };
    constexpr std::chrono::milliseconds linkDelay { 150 };
    constexpr std::chrono::milliseconds staleness { 3000 };
    constexpr double lossShare = 0.15;
    // Entries that lapsed are back within 2 s of the store's return.
    constexpr std::chrono::milliseconds entriesReturn { 1500 };
    // Of this many balancers, one survives a kill of most.
    constexpr std::size_t survivorShare = 4;
    constexpr std::size_t seedCount = 3;

} // namespace

FaultPlayer::FaultPlayer(boost::asio::io_context& context, const FaultStage& stage, std::uint64_t seed)
    : m_context(context)
    , m_stage(stage)
    , m_random(seed)
    , m_ticker(context, tellInterval, [this] { tellPromises(); })
{
}

void FaultPlayer::play(const Fault& fault)
{
    ++m_played[fault.kind];
    const std::size_t index = fault.target % m_stage.balancers.size();
    if (fault.kind <= FaultKind::KillMost)
        playOnBalancer(fault, index);
    else if (fault.kind <= FaultKind::CutOut)
        playOnLink(fault, index);
    else if (fault.kind <= FaultKind::CutFromStore)
        playOnProxy(fault, index);
    else if (fault.kind <= FaultKind::ForeignEntry)
        playOnStore(fault);
    else
        playOnHosts(fault);
}

void FaultPlayer::playOnBalancer(const Fault& fault, std::size_t index)
{
    BalancerPlace& place = m_stage.balancers[index];
    switch (fault.kind) {
    case FaultKind::Terminate:
        place.process->terminate();
        break;
    case FaultKind::Kill:
        place.process->kill();
        break;
    case FaultKind::Pause:
        pauseBalancer(index, fault.duration);
        break;
    case FaultKind::Reload: {
        std::vector<std::size_t> seeds;
        for (std::size_t seed = 0; seed < seedCount; ++seed)
            seeds.push_back(m_random(m_stage.balancers.size()));
        place.process->reload(std::move(seeds));
        break;
    }
    default:
        killMost(fault);
        break;
    }
}

void FaultPlayer::killMost(const Fault& fault)
{
    for (std::size_t index = 0; index < m_stage.balancers.size(); ++index) {
        if ((index + fault.target) % survivorShare != 0)
            m_stage.balancers[index].process->kill();
    }
}

void FaultPlayer::pauseBalancer(std::size_t index, std::chrono::milliseconds duration)
{
    m_stage.balancers[index].process->pause();
    disturb(index, duration);
    runAfter(m_context, duration, [this, index] { m_stage.balancers[index].process->resume(); });
}

void FaultPlayer::playOnLink(const Fault& fault, std::size_t index)
{
    harmLink(index, fault.duration, [kind = fault.kind](LinkHarm& harm) {
        if (kind == FaultKind::LosePackets)
            harm.loss = lossShare;
        else if (kind == FaultKind::DelayPackets)
            harm.delay = linkDelay;
        else if (kind == FaultKind::CutIn)
            harm.cutIn = true;
        else
            harm.cutOut = true;
    });
}

void FaultPlayer::harmLink(
    std::size_t index, std::chrono::milliseconds duration, const std::function<void(LinkHarm&)>& change)
{
    change(m_stage.fabric.harm(index));
    disturb(index, duration);
    runAfter(m_context, duration, [this, index] { m_stage.fabric.harm(index) = {}; });
}

void FaultPlayer::playOnProxy(const Fault& fault, std::size_t index)
{
    StoreProxy& proxy = *m_stage.balancers[index].proxy;
    disturb(index, fault.duration);
    switch (fault.kind) {
    case FaultKind::DelayStore:
        proxy.setDelay(storeDelay);
        break;
    case FaultKind::ResetStore:
        proxy.resetOpen();
        break;
    case FaultKind::SilenceStore:
        proxy.silenceOpen();
        break;
    case FaultKind::CutToStore:
        proxy.setCut(true, false);
        break;
    default:
        proxy.setCut(false, true);
        break;
    }
    runAfter(m_context, fault.duration, [&proxy] {
        proxy.setDelay(0ms);
        proxy.setCut(false, false);
    });
}

void FaultPlayer::playOnStore(const Fault& fault)
{
    switch (fault.kind) {
    case FaultKind::StoreSilent:
        storeMode(StoreMode::Silent, fault.duration);
        break;
    case FaultKind::StoreBusy:
        storeMode(StoreMode::Busy, fault.duration);
        break;
    case FaultKind::StoreThrottles:
        storeMode(StoreMode::Throttles, fault.duration);
        break;
    case FaultKind::StoreCloses:
        storeMode(StoreMode::Closes, fault.duration);
        break;
    case FaultKind::StoreSlow:
        storeMode(StoreMode::Slow, fault.duration);
        break;
    case FaultKind::StoreStale:
        disturbStore(fault.duration + staleness);
        m_stage.store.setStaleness(staleness);
        runAfter(m_context, fault.duration, [this] { m_stage.store.setStaleness(0ms); });
        break;
    case FaultKind::DropHistory:
        disturbStore(0ms);
        m_stage.store.dropHistory();
        break;
    case FaultKind::LapseEntries:
        lapse(fault.duration);
        break;
    default:
        putForeignEntries(fault.duration);
        break;
    }
}

void FaultPlayer::storeMode(StoreMode mode, std::chrono::milliseconds duration)
{
    disturbStore(duration);
    m_stage.store.setMode(mode);
    m_storeReturns = std::max(m_storeReturns, std::chrono::steady_clock::now() + duration);
    runAfter(m_context, duration, [this] { returnStore(); });
}

void FaultPlayer::returnStore()
{
    // Another outage has begun meanwhile and goes on.
    if (std::chrono::steady_clock::now() < m_storeReturns)
        return;
    m_stage.store.setMode(StoreMode::Serves);
    disturbStore(entriesReturn);
    runAfter(m_context, entriesReturn, [this] { m_stage.hosts.restoreEntries(); });
}

void FaultPlayer::lapse(std::chrono::milliseconds duration)
{
    storeMode(StoreMode::Silent, duration);
    m_stage.hosts.lapseEntries();
}

void FaultPlayer::putForeignEntries(std::chrono::milliseconds duration)
{
    m_stage.objects.put("servers", "i-ff", { { "service", 7 } });
    m_stage.objects.put("servers", "not a host", "text");
    m_stage.objects.put("config", "other", { { "version", 1'000'000 }, { "routes", nlohmann::json::array() } });
    runAfter(m_context, duration, [this] {
        m_stage.objects.remove("servers", "i-ff");
        m_stage.objects.remove("servers", "not a host");
        m_stage.objects.remove("config", "other");
    });
}

void FaultPlayer::playOnHosts(const Fault& fault)
{
    switch (fault.kind) {
    case FaultKind::CrashHost:
        m_stage.hosts.crash(fault.target);
        break;
    case FaultKind::RestartHost:
        m_stage.hosts.restart(fault.target);
        break;
    case FaultKind::ReuseAddress:
        m_stage.hosts.reuseAddress(fault.target);
        break;
    case FaultKind::DrainHost:
        m_stage.hosts.drain(fault.target);
        break;
    default:
        m_stage.hosts.goDark(fault.target, fault.duration);
        break;
    }
}

void FaultPlayer::disturb(std::size_t index, std::chrono::milliseconds duration)
{
    SoakTime& until = m_stage.balancers[index].harmedUntil;
    until = std::max(until, std::chrono::steady_clock::now() + duration);
}

void FaultPlayer::disturbStore(std::chrono::milliseconds duration)
{
    const auto now = std::chrono::steady_clock::now();
    m_storeHarmedUntil = std::max(m_storeHarmedUntil, now + duration);
    m_stage.promises.noteStoreDisturbed(now);
}

void FaultPlayer::tellPromises()
{
    const auto now = std::chrono::steady_clock::now();
    if (now < m_storeHarmedUntil)
        m_stage.promises.noteStoreDisturbed(now);
    for (const BalancerPlace& place : m_stage.balancers) {
        if (!place.process->isRunning() || place.process->isEnding() || now < place.harmedUntil)
            m_stage.promises.noteDisturbed(place.run, now);
    }
}

void FaultPlayer::endAll()
{
    m_stage.store.setMode(StoreMode::Serves);
    m_stage.store.setStaleness(0ms);
    m_stage.hosts.restoreEntries();
    for (std::size_t index = 0; index < m_stage.balancers.size(); ++index) {
        BalancerPlace& place = m_stage.balancers[index];
        place.process->resume();
        place.proxy->setDelay(0ms);
        place.proxy->setCut(false, false);
        m_stage.fabric.harm(index) = {};
    }
}

} // namespace anvilwalk::soak
