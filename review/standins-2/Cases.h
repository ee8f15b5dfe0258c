#pragma once

#include "Lab.h"

namespace lab {

// A route of a configuration.
struct RouteOptions {
    std::string name;
    std::string address;
    std::uint16_t port = 0;
    std::string service;
};

// A configuration as the operator writes it. coldPerSecond is what each service's cold hosts bear.
json configOf(int version, const std::vector<RouteOptions>&, double coldStartS = 2, double coldPerSecond = 0);

// Writes a line for each request, with what became of it, and the sums.
void noteCounts(Lab&);
std::string describe(const Lab&, const Arrival&);

} // namespace lab
