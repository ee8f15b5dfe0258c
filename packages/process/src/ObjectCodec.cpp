#include <anvilwalk/process.h>

#include <absl/strings/escaping.h>

namespace anvilwalk {

using nlohmann::json;

namespace {

    Error invalid(const std::string& message) { return { .code = ErrorCode::InvalidArgument, .message = message }; }

    // The string under the key; empty if it is missing or not a string.
    std::string stringField(const json& spec, const char* key)
    {
        const auto found = spec.find(key);
        return found != spec.end() && found->is_string() ? found->get<std::string>() : "";
    }

    Status decodeEntryVm(const json& spec, VmEntry& entry)
    {
        entry.role = VmEntry::Role::Entry;
        entry.balancer = BalancerId(stringField(spec, "balancer"));
        const auto control = Ipv4Endpoint::parse(stringField(spec, "controlAddress"));
        if (entry.balancer.value().empty() || !control)
            return invalid("VM list entry " + entry.name + ": balancer or controlAddress is not valid");
        entry.controlEndpoint = *control;
        return std::monostate {};
    }

    Status decodeTargetVm(const json& spec, VmEntry& entry)
    {
        entry.role = VmEntry::Role::Target;
        entry.service = ServiceName(stringField(spec, "service"));
        entry.healthUrl = stringField(spec, "healthUrl");
        const auto tunnel = Ipv4Endpoint::parse(stringField(spec, "tunnelAddress"));
        if (entry.service.value().empty() || !tunnel)
            return invalid("VM list entry " + entry.name + ": service or tunnelAddress is not valid");
        entry.tunnel = *tunnel;
        // All output identifies targets by host name.
        if (const std::string host = stringField(spec, "host"); !host.empty())
            entry.name = host;
        return std::monostate {};
    }

} // namespace

json encodeTable(const table::TableSet& table)
{
    return { { "tableVersion", table.version() }, { "configVersion", table.config_version() },
        { "dataCentre", table.data_centre() }, { "writer", table.writer() },
        { "encoded", absl::Base64Escape(table.SerializeAsString()) } };
}

Result<table::TableSet> decodeTable(const json& spec)
{
    if (!spec.is_object())
        return invalid("the slot table object has no spec");
    std::string bytes;
    table::TableSet table;
    if (!absl::Base64Unescape(stringField(spec, "encoded"), &bytes) || bytes.empty() || !table.ParseFromString(bytes))
        return invalid("the slot table object is not valid");
    return table;
}

json encodeLease(const WriterLease& lease)
{
    return { { "holder", lease.holder.value() }, { "renewals", lease.renewals } };
}

Result<WriterLease> decodeLease(const StoredObject& object)
{
    const json& spec = object.spec;
    if (!spec.is_object() || !spec.contains("renewals") || !spec["renewals"].is_number_integer())
        return invalid("the lease object is not valid");
    return WriterLease { .holder = BalancerId(stringField(spec, "holder")),
        .renewals = spec["renewals"].get<std::uint64_t>(),
        .version = object.version };
}

Result<LocatedVm> decodeVm(const StoredObject& object)
{
    const json& spec = object.spec;
    if (!spec.is_object())
        return invalid("VM list entry " + object.name + " has no spec");
    LocatedVm vm { .dataCentre = DataCentreId(stringField(spec, "dataCentre")), .entry = {} };
    vm.entry.name = object.name;
    vm.entry.leaving = stringField(spec, "state") == "leaving";
    const std::string role = stringField(spec, "role");
    if (role != "entry" && role != "target")
        return invalid("VM list entry " + object.name + ": role is neither entry nor target");
    const Status decoded = role == "entry" ? decodeEntryVm(spec, vm.entry) : decodeTargetVm(spec, vm.entry);
    if (!isOk(decoded))
        return errorOf(decoded);
    return vm;
}

} // namespace anvilwalk
