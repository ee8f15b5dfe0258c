#pragma once

#include <anvilwalk/load.h>
#include <fakes/FakeClock.h>
#include <fakes/PlacementHarness.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace anvilwalk::fakes {

inline const DataCentreId loadDataCentre { "lima-a" };

inline BalancerId balancerId(std::uint32_t number) { return BalancerId("front-lima-a-" + std::to_string(number)); }

inline LoadMessageHeader loadHeader(
    std::uint32_t sender, std::uint64_t sequence, std::uint32_t part = 0, std::uint32_t parts = 1)
{
    return {
        .sender = balancerId(sender), .dataCentre = loadDataCentre, .sequence = sequence, .part = part, .parts = parts
    };
}

// The targets that a balancer knows, numbered from 1.
struct LoadTargets {
    explicit LoadTargets(std::uint64_t count)
    {
        for (std::uint64_t number = 1; number <= count; ++number)
            catalogue.put(targetRecord(number), StoreVersion(number), clock.now());
    }
    Target& at(std::uint64_t number) { return *catalogue.find(tokenOfTarget(number)); }

    FakeClock clock;
    TargetCatalogue catalogue { TargetCatalogueOptions {} };
};

// Returns the entry of a target; an empty one if there is none.
template <class Entry> Entry entryOf(const std::vector<Entry>& entries, std::uint64_t number)
{
    const auto found = std::find_if(
        entries.begin(), entries.end(), [&](const Entry& entry) { return entry.token == tokenOfTarget(number); });
    return found == entries.end() ? Entry {} : *found;
}

} // namespace anvilwalk::fakes
