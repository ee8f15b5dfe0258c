#include <anvilwalk/load/LoadMessage.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace anvilwalk {

namespace {

    using nlohmann::json;
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    // Unit of encoded response times. Short, because it limits how well fast targets can be told apart.
    using TenthsOfMilliseconds = std::chrono::duration<std::uint64_t, std::ratio<1, 10'000>>;

    // Incremented when the meaning of a field changes, so that balancers of different releases ignore each other's
    // messages instead of misinterpreting them.
    constexpr unsigned formatVersion = 1;

    enum class MessageKind : unsigned {
        Report,
        Summary,
    };

    // Bytes of a message without its targets: up to 60 and the names of the balancer and the data centre.
    constexpr std::size_t maxHeaderBytes = 250;
    constexpr std::uint64_t maxParts = 4096;
    constexpr std::uint64_t maxAgeMs = 60'000;
    // One hour.
    constexpr std::uint64_t maxResponseTime = 36'000'000;

    std::uint32_t encodeCount(std::uint32_t count) { return std::min(count, maxLoadCount); }

    std::uint64_t encodeResponseTime(Duration time)
    {
        return std::min(duration_cast<TenthsOfMilliseconds>(std::max(time, Duration::zero())).count(), maxResponseTime);
    }

    // Targets are encoded as arrays and field names are short, because messages hold dozens of them.
    json encodeTarget(const TargetLoadReport& target)
    {
        return json::array({ target.token.value(), encodeCount(target.openFlows),
            encodeCount(target.requestsInProgress), encodeCount(target.responses),
            encodeResponseTime(target.responseTimeSum), target.unanswered ? 1U : 0U });
    }

    json encodeTarget(const TargetLoadSum& target)
    {
        return json::array({ target.token.value(), encodeCount(target.openFlows),
            encodeCount(target.requestsInProgress), encodeCount(target.unansweredBalancers),
            encodeCount(target.answeredBalancers), encodeResponseTime(target.responseTime) });
    }

    // Returns the encoded size of a target: one byte for the array, and each number in the shortest form.
    std::size_t encodedSize(const json& target)
    {
        std::size_t size = 1;
        for (const json& value : target) {
            const auto number = value.get<std::uint64_t>();
            if (number < 24)
                size += 1;
            else if (number <= std::numeric_limits<std::uint8_t>::max())
                size += 2;
            else if (number <= std::numeric_limits<std::uint16_t>::max())
                size += 3;
            else
                size += 5;
        }
        return size;
    }

    // Distributes the targets over as many lists as there must be messages.
    template <class Target> std::vector<json> splitTargets(const std::vector<Target>& targets)
    {
        std::vector<json> lists { json::array() };
        std::size_t bytes = maxHeaderBytes;
        for (const Target& target : targets) {
            json encoded = encodeTarget(target);
            const std::size_t size = encodedSize(encoded);
            if (bytes + size > maxLoadMessageBytes) {
                lists.push_back(json::array());
                bytes = maxHeaderBytes;
            }
            bytes += size;
            lists.back().push_back(std::move(encoded));
        }
        return lists;
    }

    template <class Message> std::vector<std::string> encodeParts(const Message& message, json common)
    {
        std::vector<json> lists = splitTargets(message.targets);
        common["f"] = formatVersion;
        common["s"] = message.header.sender.value();
        common["d"] = message.header.dataCentre.value();
        common["n"] = message.header.sequence;
        common["q"] = lists.size();
        std::vector<std::string> encoded(lists.size());
        for (std::size_t part = 0; part < lists.size(); ++part) {
            common["p"] = part;
            common["t"] = std::move(lists[part]);
            json::to_cbor(common, encoded[part]);
        }
        return encoded;
    }

    // The functions below throw if a value is missing, has the wrong type or is out of range; decodeLoadMessage
    // converts the exception into an error.
    std::uint64_t readNumber(const json& value, std::uint64_t maximum)
    {
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() > maximum)
            throw std::invalid_argument("not an unsigned integer in range");
        return value.get<std::uint64_t>();
    }

    std::uint32_t readCount(const json& value) { return static_cast<std::uint32_t>(readNumber(value, maxLoadCount)); }

    FlowToken readToken(const json& value)
    {
        const auto token = static_cast<std::uint32_t>(readNumber(value, std::numeric_limits<std::uint32_t>::max()));
        if (token == 0)
            throw std::invalid_argument("a target without a token");
        return FlowToken(token);
    }

    Duration readResponseTime(const json& value)
    {
        return duration_cast<Duration>(TenthsOfMilliseconds(readNumber(value, maxResponseTime)));
    }

    LoadMessageHeader readHeader(const json& object)
    {
        LoadMessageHeader header { .sender = BalancerId(object.at("s").get<std::string>()),
            .dataCentre = DataCentreId(object.at("d").get<std::string>()),
            .sequence = readNumber(object.at("n"), std::numeric_limits<std::uint64_t>::max()),
            .part = static_cast<std::uint32_t>(readNumber(object.at("p"), maxParts)),
            .parts = static_cast<std::uint32_t>(readNumber(object.at("q"), maxParts)) };
        if (header.sender.value().empty())
            throw std::invalid_argument("no sender");
        if (header.part >= header.parts)
            throw std::invalid_argument("a part beyond the last one");
        return header;
    }

    const json& readTargets(const json& object)
    {
        const json& targets = object.at("t");
        if (!targets.is_array())
            throw std::invalid_argument("not a list of targets");
        return targets;
    }

    LoadReport readReport(const json& object)
    {
        LoadReport report { .header = readHeader(object), .targets = {} };
        for (const json& target : readTargets(object))
            report.targets.push_back({ .token = readToken(target.at(0)),
                .openFlows = readCount(target.at(1)),
                .requestsInProgress = readCount(target.at(2)),
                .responses = readCount(target.at(3)),
                .responseTimeSum = readResponseTime(target.at(4)),
                .unanswered = readNumber(target.at(5), 1) == 1 });
        return report;
    }

    LoadSummary readSummary(const json& object)
    {
        LoadSummary summary { .header = readHeader(object),
            .age = milliseconds(readNumber(object.at("a"), maxAgeMs)),
            .balancers = readCount(object.at("b")),
            .targets = {} };
        for (const json& target : readTargets(object))
            summary.targets.push_back({ .token = readToken(target.at(0)),
                .openFlows = readCount(target.at(1)),
                .requestsInProgress = readCount(target.at(2)),
                .unansweredBalancers = readCount(target.at(3)),
                .answeredBalancers = readCount(target.at(4)),
                .responseTime = readResponseTime(target.at(5)) });
        return summary;
    }

    LoadMessage readMessage(const json& object)
    {
        if (readNumber(object.at("f"), std::numeric_limits<unsigned>::max()) != formatVersion)
            throw std::invalid_argument("unsupported format version");
        const auto kind = readNumber(object.at("k"), static_cast<unsigned>(MessageKind::Summary));
        if (kind == static_cast<unsigned>(MessageKind::Report))
            return readReport(object);
        return readSummary(object);
    }

} // namespace

std::vector<std::string> encodeLoadMessage(const LoadReport& report)
{
    return encodeParts(report, { { "k", static_cast<unsigned>(MessageKind::Report) } });
}

std::vector<std::string> encodeLoadMessage(const LoadSummary& summary)
{
    const auto age = std::clamp<std::int64_t>(
        duration_cast<milliseconds>(summary.age).count(), 0, static_cast<std::int64_t>(maxAgeMs));
    return encodeParts(summary,
        { { "k", static_cast<unsigned>(MessageKind::Summary) }, { "a", static_cast<std::uint64_t>(age) },
            { "b", encodeCount(summary.balancers) } });
}

Result<LoadMessage> decodeLoadMessage(std::string_view bytes)
{
    try {
        if (bytes.size() > maxLoadMessageBytes)
            throw std::invalid_argument("larger than a datagram");
        return readMessage(json::from_cbor(bytes));
    } catch (const std::exception& error) {
        return Error { .code = ErrorCode::InvalidArgument,
            .message = std::string("invalid load message: ") + error.what() };
    }
}

} // namespace anvilwalk
