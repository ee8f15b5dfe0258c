#include <anvilwalk/process/RelayCodec.h>

#include <anvilwalk/version.h>

#include <optional>

namespace anvilwalk {

namespace {

    // Maximum length of a balancer id in the settings.
    constexpr std::size_t maxIdLength = 64;

    relay::RelayPurpose toMessage(RelayPurpose purpose)
    {
        switch (purpose) {
        case RelayPurpose::Decide:
            return relay::RELAY_PURPOSE_DECIDE;
        case RelayPurpose::Replicate:
            return relay::RELAY_PURPOSE_REPLICATE;
        case RelayPurpose::Confirmed:
            return relay::RELAY_PURPOSE_CONFIRMED;
        }
        return relay::RELAY_PURPOSE_UNSPECIFIED;
    }

    std::optional<RelayPurpose> fromMessage(relay::RelayPurpose purpose)
    {
        switch (purpose) {
        case relay::RELAY_PURPOSE_DECIDE:
            return RelayPurpose::Decide;
        case relay::RELAY_PURPOSE_REPLICATE:
            return RelayPurpose::Replicate;
        case relay::RELAY_PURPOSE_CONFIRMED:
            return RelayPurpose::Confirmed;
        default:
            return std::nullopt;
        }
    }

    bool isValidId(const std::string& id) { return !id.empty() && id.size() <= maxIdLength; }

    bool isValidHeader(const relay::RelayedPacket& message, RelayPurpose purpose)
    {
        if (message.hops() == 0 || message.service() == 0 || message.slot() >= slotsPerService)
            return false;
        if (!isValidId(message.sender()))
            return false;
        if (purpose == RelayPurpose::Decide)
            return message.target() == 0 && message.owner().size() <= maxIdLength;
        return message.target() != 0 && isValidId(message.owner());
    }

} // namespace

std::size_t encodeRelayed(const RelayHeader& header, std::span<const std::uint8_t> packet,
    relay::RelayedPacket& scratch, std::span<std::uint8_t> buffer)
{
    scratch.set_purpose(toMessage(header.purpose));
    scratch.set_hops(header.hops);
    scratch.set_sender(header.sender.value());
    scratch.set_owner(header.owner.value());
    scratch.set_service(header.service.value());
    scratch.set_slot(header.slot.value());
    scratch.set_target(header.target.value());
    scratch.set_table_version(header.tableVersion.value());
    scratch.set_packet(packet.data(), packet.size());
    const std::size_t size = scratch.ByteSizeLong();
    if (size > buffer.size())
        return 0;
    scratch.SerializeWithCachedSizesToArray(buffer.data());
    return size;
}

std::variant<RelayedPacketView, DropReason> decodeRelayed(
    std::span<const std::uint8_t> datagram, relay::RelayedPacket& message)
{
    if (!message.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())))
        return DropReason::BadRelayHeader;
    const auto purpose = fromMessage(message.purpose());
    if (!purpose || !isValidHeader(message, *purpose))
        return DropReason::BadRelayHeader;
    const std::string& bytes = message.packet();
    const auto parsed = PacketView::parse({ reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size() });
    if (const auto* reason = std::get_if<DropReason>(&parsed))
        return *reason;
    const auto& packet = std::get<PacketView>(parsed);
    // The slot is derived from the packet's flow key, so a header with another slot does not match the packet.
    if (slotOf(packet.key().hash()).value() != message.slot())
        return DropReason::BadRelayHeader;
    return RelayedPacketView {
        .header = { .purpose = *purpose,
            .hops = message.hops(),
            .sender = BalancerId(message.sender()),
            .owner = BalancerId(message.owner()),
            .service = ServiceId(message.service()),
            .slot = SlotIndex(static_cast<std::uint16_t>(message.slot())),
            .target = TargetId(message.target()),
            .tableVersion = TableVersion(message.table_version()) },
        .packet = packet,
    };
}

} // namespace anvilwalk
