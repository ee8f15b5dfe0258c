#pragma once

#include <anvilwalk/process/ControlPlane.h>
#include <anvilwalk/process/ObjectStore.h>

#include <nlohmann/json.hpp>

namespace anvilwalk {

// Specs of the system's objects in the object API. The configuration's objects are in ConfigCodec.h.

// Slot tables: the versions in plain sight and the protobuf message in base64, which is about a third of its
// size as JSON.
nlohmann::json encodeTable(const table::TableSet&);
Result<table::TableSet> decodeTable(const nlohmann::json& spec);

nlohmann::json encodeLease(const WriterLease&);
Result<WriterLease> decodeLease(const StoredObject&);

// An entry of the VM list and its data centre.
struct LocatedVm {
    DataCentreId dataCentre;
    VmEntry entry;
};
Result<LocatedVm> decodeVm(const StoredObject&);

} // namespace anvilwalk
