#pragma once

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fakes/ControlHarness.h>

namespace anvilwalk::fakes {

// Runs a scenario with several seeds, or with the seed in ANVILWALK_SEED. Failure messages contain the seed.
inline void forEachSeed(const std::function<void(std::uint64_t)>& scenario, std::uint64_t count = 20)
{
    if (const char* text = std::getenv("ANVILWALK_SEED")) {
        const std::uint64_t seed = std::strtoull(text, nullptr, 10);
        INFO("ANVILWALK_SEED=" << seed);
        scenario(seed);
        return;
    }
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        INFO("ANVILWALK_SEED=" << seed);
        scenario(seed);
    }
}

inline ServiceConfig dispatchService(std::uint32_t id = 1)
{
    ServiceConfig service;
    service.id = ServiceId(id);
    service.name = ServiceName("cordeles/service" + std::to_string(id));
    service.addresses = { { .address = { 0xcb007100 + id }, .port = 443, .protocol = Protocol::Tcp } };
    service.idleDeadline = std::chrono::milliseconds(5000);
    return service;
}

inline VmEntry targetVm(std::uint32_t number, std::uint32_t service = 1)
{
    VmEntry entry;
    entry.name = "host-" + std::to_string(service) + "-" + std::to_string(number);
    entry.service = ServiceName("cordeles/service" + std::to_string(service));
    entry.tunnel = { .address = { 0x0a000000 + service * 256 + number }, .port = 5555 };
    return entry;
}

inline std::vector<VmEntry> targetVms(std::uint32_t count, std::uint32_t service = 1)
{
    std::vector<VmEntry> entries;
    for (std::uint32_t number = 1; number <= count; ++number)
        entries.push_back(targetVm(number, service));
    return entries;
}

} // namespace anvilwalk::fakes
