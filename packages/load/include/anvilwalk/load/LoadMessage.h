#pragma once

#include <anvilwalk/units.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace anvilwalk {

// What one balancer saw of a target since its last report.
struct TargetLoadReport {
    FlowToken token;
    std::uint32_t openFlows = 0;
    // Requests in progress, opening packets that are not answered yet included.
    std::uint32_t requestsInProgress = 0;
    std::uint32_t responses = 0;
    // Sum of the response times.
    Duration responseTimeSum { 0 };
    // The target leaves packets unanswered.
    bool unanswered = false;

    friend bool operator==(const TargetLoadReport&, const TargetLoadReport&) = default;
};

// What the balancers of a data centre saw of a target, as their collector sums it.
struct TargetLoadSum {
    FlowToken token;
    std::uint32_t openFlows = 0;
    std::uint32_t requestsInProgress = 0;
    std::uint32_t unansweredBalancers = 0;
    std::uint32_t answeredBalancers = 0;
    // Moving average over the last seconds; 0 if it is not known.
    Duration responseTime { 0 };

    friend bool operator==(const TargetLoadSum&, const TargetLoadSum&) = default;
};

// Common part of all messages. Messages that do not fit into a datagram are sent in parts, each of which stands alone.
struct LoadMessageHeader {
    BalancerId sender;
    DataCentreId dataCentre;
    // Increases with each report or summary of the sender; equal in all its parts.
    std::uint64_t sequence = 0;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;

    friend bool operator==(const LoadMessageHeader&, const LoadMessageHeader&) = default;
};

struct LoadReport {
    LoadMessageHeader header;
    std::vector<TargetLoadReport> targets;

    friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

struct LoadSummary {
    LoadMessageHeader header;
    // Mean time since the reports were made.
    Duration age { 0 };
    // Balancers whose reports it sums.
    std::uint32_t balancers = 0;
    std::vector<TargetLoadSum> targets;

    friend bool operator==(const LoadSummary&, const LoadSummary&) = default;
};

using LoadMessage = std::variant<LoadReport, LoadSummary>;

// Largest encoded message, in bytes; fits into one datagram without fragmentation.
inline constexpr std::size_t maxLoadMessageBytes = 1400;

// Largest number of flows, requests, responses or balancers in a message. A balancer tracks 50,000 flows at most, so
// neither a report nor a sum reaches it.
inline constexpr std::uint32_t maxLoadCount = 10'000'000;

// Encode a report or summary as CBOR, in as many parts as needed. The part numbers of the header are ignored. Figures
// above the bounds of the format are reduced to them.
std::vector<std::string> encodeLoadMessage(const LoadReport&);
std::vector<std::string> encodeLoadMessage(const LoadSummary&);

// Decodes one part. InvalidArgument: the bytes are not a message of this format, or a figure is out of range.
Result<LoadMessage> decodeLoadMessage(std::string_view bytes);

} // namespace anvilwalk
