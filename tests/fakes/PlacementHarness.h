#pragma once

#include <anvilwalk/placement.h>
#include <fakes/FakeClock.h>

#include <optional>
#include <string>
#include <variant>

namespace anvilwalk::fakes {

inline const ServiceName boardService { "board" };
inline const ServiceName photoService { "photos" };

inline TargetRecord targetRecord(std::uint64_t number, const ServiceName& service = boardService,
    const std::string& dataCentre = "lima-a", TargetState state = TargetState::Ready)
{
    return { .name = "i-" + std::to_string(number),
        .key = TargetKey(number),
        .startedMs = 1000,
        .service = service,
        .address = { .address = { 0x0a800000U + static_cast<std::uint32_t>(number) }, .port = 8080 },
        .dataCentre = DataCentreId(dataCentre),
        .slots = 3,
        .state = state };
}

inline constexpr ServiceAddress boardAddress { .address = { 0xc6120001 }, .port = 443 };
inline constexpr ServiceAddress photoAddress { .address = { 0xc6120002 }, .port = 443 };

inline RouteTablePointer routeTable(std::uint64_t version, bool withPhotos = true)
{
    std::vector<Route> routes;
    routes.push_back({ .name = "board", .address = boardAddress, .services = { { .service = boardService } } });
    if (withPhotos)
        routes.push_back({ .name = "photos", .address = photoAddress, .services = { { .service = photoService } } });
    return std::make_shared<const RouteTable>(ConfigVersion(version), std::move(routes), std::chrono::seconds(15));
}

inline FlowKey flowKey(std::uint32_t number, const ServiceAddress& address = boardAddress)
{
    return { .source = { 0x64400000U + number },
        .destination = address.address,
        .sourcePort = static_cast<std::uint16_t>(40'000 + number % 20'000),
        .destinationPort = address.port };
}

// A token router with its dependencies, for one balancer in data centre lima-a.
struct PlacementHarness {
    explicit PlacementHarness(const TargetChooserOptions& chooserOptions = { .dataCentre = DataCentreId("lima-a") })
        : chooser(chooserOptions)
    {
        router.setRoutes(routeTable(1));
        router.setViewCurrent(true);
    }

    void put(const TargetRecord& record) { targets.put(record, StoreVersion(++version), clock.now()); }
    void remove(std::uint64_t number)
    {
        ++version;
        targets.remove({ { .name = targetRecord(number).name, .version = StoreVersion(version) } },
            StoreVersion(version), clock.now());
    }

    Decision send(const PacketFields& fields) { return router.route(PacketView({}, fields), clock.now()); }

    // Sends an opening packet. Returns the token of the chosen target, or nothing if the packet was not forwarded.
    std::optional<FlowToken> open(const FlowKey& key, std::uint32_t copy = 0)
    {
        const Decision decision = send({ .key = key, .kind = PacketKind::Opening, .openingCopy = copy });
        const auto* forward = std::get_if<ForwardToTarget>(&decision);
        return forward == nullptr ? std::nullopt : std::optional<FlowToken>(forward->token);
    }

    Decision sendData(const FlowKey& key, FlowToken token, std::uint32_t acknowledgement = 1)
    {
        return send({ .key = key, .token = token, .acknowledgement = acknowledgement, .payloadBytes = 100 });
    }

    FakeClock clock;
    std::uint64_t version = 0;
    TargetCatalogue targets { TargetCatalogueOptions {} };
    FlowTracker flows { FlowTrackerOptions {}, targets };
    TargetChooser chooser;
    TokenRouter router { TokenRouterOptions {}, targets, flows, chooser };
};

inline FlowToken tokenOfTarget(std::uint64_t number) { return tokenOf(TargetKey(number)); }

} // namespace anvilwalk::fakes
