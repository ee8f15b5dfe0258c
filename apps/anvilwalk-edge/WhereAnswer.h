#pragma once

#include <anvilwalk/discovery.h>
#include <anvilwalk/placement.h>
#include <anvilwalk/units.h>

#include <optional>
#include <string>
#include <vector>

namespace anvilwalk {

// What a balancer's explanation of a choice is based on, and how old that is.
struct WhereInputs {
    BalancerId balancer {};
    DataCentreId dataCentre {};
    ConfigVersion configVersion {};
    StoreVersion targetsVersion {};
    // Time since the store last confirmed each input; nullopt if it never did.
    std::optional<Duration> targetsAge {};
    std::optional<Duration> routesAge {};
    std::optional<Duration> evacuationsAge {};
    std::vector<DataCentreId> evacuatedDataCentres {};
    MonotonicTime now {};
};

// Encodes the answer to a query as JSON (docs/OPERATIONS.md lists the fields).
std::string encodeWhereAnswer(const WhereQuery&, const PlacementExplanation&, const WhereInputs&);

} // namespace anvilwalk
