#include <anvilwalk/membership/MemberMessage.h>

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

    // Incremented when the meaning of a field changes, so that balancers of different releases ignore each other's
    // messages instead of misinterpreting them.
    constexpr unsigned formatVersion = 3;

    // Members are encoded as arrays and field names are short, because every member receives several messages a second.
    json encodeMember(const Member& member)
    {
        return json::array({ member.id.value(), member.dataCentre.value(), member.viewAddress.address.value,
            member.viewAddress.port, member.startedMs });
    }

    std::int64_t encodeAge(Duration age)
    {
        // Longer ages need not be told apart.
        constexpr milliseconds maxAge = std::chrono::hours(1);
        return std::clamp(duration_cast<milliseconds>(age), milliseconds::zero(), maxAge).count();
    }

    json encodeEvacuations(const std::optional<EvacuationStatus>& evacuations)
    {
        if (!evacuations)
            return nullptr;
        json names = json::array();
        for (const DataCentreId& dataCentre : evacuations->dataCentres)
            names.push_back(dataCentre.value());
        return json::array({ evacuations->version.value(), evacuations->lastChange.value(), encodeAge(evacuations->age),
            std::move(names) });
    }

    json encodeStatus(const ViewStatus& view)
    {
        return json::array({ view.targets.value(), view.lastTargetChange.value(), view.config.value(),
            encodeAge(view.targetsAge), encodeAge(view.routesAge), encodeEvacuations(view.evacuations) });
    }

    // The functions below throw if a value is missing, has the wrong type or is out of range; decodeMemberMessage
    // converts the exception into an error.
    template <class Number> Number readNumber(const json& value)
    {
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() > std::numeric_limits<Number>::max())
            throw std::invalid_argument("not an unsigned integer in range");
        return value.get<Number>();
    }

    Duration readAge(const json& value) { return milliseconds(readNumber<std::uint32_t>(value)); }

    Member readMember(const json& value)
    {
        return { .id = BalancerId(value.at(0).get<std::string>()),
            .dataCentre = DataCentreId(value.at(1).get<std::string>()),
            .viewAddress
            = { .address = { readNumber<std::uint32_t>(value.at(2)) }, .port = readNumber<std::uint16_t>(value.at(3)) },
            .startedMs = readNumber<std::uint64_t>(value.at(4)) };
    }

    std::optional<EvacuationStatus> readEvacuations(const json& value)
    {
        if (value.is_null())
            return std::nullopt;
        EvacuationStatus evacuations { .version = StoreVersion(readNumber<std::uint64_t>(value.at(0))),
            .lastChange = StoreVersion(readNumber<std::uint64_t>(value.at(1))),
            .age = readAge(value.at(2)),
            .dataCentres = {} };
        for (const json& name : value.at(3))
            evacuations.dataCentres.emplace_back(name.get<std::string>());
        return evacuations;
    }

    ViewStatus readStatus(const json& value)
    {
        return { .targets = StoreVersion(readNumber<std::uint64_t>(value.at(0))),
            .lastTargetChange = StoreVersion(readNumber<std::uint64_t>(value.at(1))),
            .config = ConfigVersion(readNumber<std::uint64_t>(value.at(2))),
            .targetsAge = readAge(value.at(3)),
            .routesAge = readAge(value.at(4)),
            .evacuations = readEvacuations(value.at(5)) };
    }

    MemberMessageKind readKind(const json& value)
    {
        const auto number = readNumber<std::uint8_t>(value);
        if (number > static_cast<std::uint8_t>(MemberMessageKind::Introduction))
            throw std::invalid_argument("unknown kind of message");
        return static_cast<MemberMessageKind>(number);
    }

    MemberMessage readMessage(const json& object)
    {
        if (readNumber<unsigned>(object.at("f")) != formatVersion)
            throw std::invalid_argument("unsupported format version");
        MemberMessage message { .kind = readKind(object.at("k")),
            .sender = readMember(object.at("s")),
            .leaving = object.at("l").get<bool>(),
            .hasView = object.at("h").get<bool>(),
            .relay = object.at("r").get<bool>(),
            .needsCurrentTargets = object.at("c").get<bool>(),
            .view = readStatus(object.at("v")),
            .memberCount = readNumber<std::uint32_t>(object.at("n")),
            .members = {} };
        for (const json& member : object.at("m"))
            message.members.push_back(readMember(member));
        return message;
    }

} // namespace

std::string encodeMemberMessage(const MemberMessage& message)
{
    json members = json::array();
    for (const Member& member : message.members)
        members.push_back(encodeMember(member));
    const json object = { { "f", formatVersion }, { "k", static_cast<unsigned>(message.kind) },
        { "s", encodeMember(message.sender) }, { "l", message.leaving }, { "h", message.hasView },
        { "r", message.relay }, { "c", message.needsCurrentTargets }, { "v", encodeStatus(message.view) },
        { "n", message.memberCount }, { "m", std::move(members) } };
    std::string bytes;
    json::to_cbor(object, bytes);
    return bytes;
}

Result<MemberMessage> decodeMemberMessage(std::string_view bytes)
{
    try {
        return readMessage(json::from_cbor(bytes));
    } catch (const std::exception& error) {
        return Error { .code = ErrorCode::InvalidArgument,
            .message = std::string("invalid message from a balancer: ") + error.what() };
    }
}

} // namespace anvilwalk
