#pragma once

#include <anvilwalk/units.h>

#include <string>
#include <string_view>

namespace anvilwalk {

// A balancer's answer to a query for the target of a new connection.
struct WhereTable {
    // Route, inputs with their ages, and one line for each target of the service.
    std::string text;
    // Whether the connection would reach a target.
    bool placed = false;
};

// Formats the JSON answer of a balancer. Fails with Internal if the text is not such an answer.
Result<WhereTable> formatWhereAnswer(std::string_view json);

} // namespace anvilwalk
