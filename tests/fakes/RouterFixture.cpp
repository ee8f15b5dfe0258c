#include "RouterFixture.h"

namespace anvilwalk::fakes {

namespace {

    constexpr std::uint32_t firstServiceAddress = 0xcb007100;
    constexpr std::uint32_t firstClientAddress = 0xc6336400;

    ServiceAddress addressOf(ServiceId service)
    {
        return { .address = { firstServiceAddress + service.value() },
            .port = 443,
            .protocol = service == telemetry ? Protocol::Udp : Protocol::Tcp };
    }

    ConfigSnapshotPointer makeConfig(const ServiceLimits& limits)
    {
        std::vector<ServiceConfig> services;
        for (const ServiceId id : { dispatch, photos, telemetry }) {
            ServiceConfig service;
            service.id = id;
            service.name = ServiceName("cordeles/" + std::to_string(id.value()));
            service.addresses = { addressOf(id) };
            service.limits = limits;
            services.push_back(std::move(service));
        }
        return std::make_shared<const ConfigSnapshot>(ConfigVersion(1), std::move(services));
    }

} // namespace

RouterFixture::RouterFixture(const RouterFixtureOptions& options)
    : cluster(options.balancers, makeConfig(options.limits), options.router, options.flows)
{
    table.addService(dispatch, { TargetId(1), TargetId(2), TargetId(3), TargetId(4) });
    table.addService(photos, { TargetId(11), TargetId(12) });
    table.addService(telemetry, { TargetId(21), TargetId(22) });
    publishTable();
}

void RouterFixture::publishTable() { cluster.setTableEverywhere(table.build()); }

void RouterFixture::publishTableTo(const std::vector<std::size_t>& balancers)
{
    const TableSnapshotPointer next = table.build();
    for (const std::size_t balancer : balancers)
        cluster.setTable(balancer, next);
}

void RouterFixture::moveSlot(ServiceId service, SlotIndex slot, TargetId target)
{
    for (std::size_t i = 0; i < cluster.size(); ++i)
        cluster.node(i).state.announcedAt[{ service, slot }] = clock.now();
    table.announce(service, slot, target);
    publishTable();
    clock.advance(std::chrono::seconds(8));
    table.startMoving(service, slot);
    publishTable();
}

RouteResult RouterFixture::open(std::size_t balancer, const FlowKey& key)
{
    return cluster.send(balancer, buildTcpPacket(key, { .syn = true }), clock.now());
}

RouteResult RouterFixture::data(std::size_t balancer, const FlowKey& key)
{
    return cluster.send(balancer, buildTcpPacket(key, { .ack = true }), clock.now());
}

RouteResult RouterFixture::close(std::size_t balancer, const FlowKey& key)
{
    return cluster.send(balancer, buildTcpPacket(key, { .ack = true, .fin = true }), clock.now());
}

RouteResult RouterFixture::datagram(std::size_t balancer, const FlowKey& key)
{
    return cluster.send(balancer, buildUdpPacket(key), clock.now());
}

FlowKey flowOf(ServiceId service, std::uint32_t number)
{
    const ServiceAddress address = addressOf(service);
    return { .source = { firstClientAddress + number / 50'000 },
        .destination = address.address,
        .sourcePort = static_cast<std::uint16_t>(10'000 + number % 50'000),
        .destinationPort = address.port,
        .protocol = address.protocol };
}

FlowKey flowInSlot(ServiceId service, SlotIndex slot, std::uint32_t number)
{
    for (std::uint32_t candidate = 0;; ++candidate) {
        const FlowKey key = flowOf(service, candidate);
        if (slotOf(key.hash()) == slot && number-- == 0)
            return key;
    }
}

} // namespace anvilwalk::fakes
