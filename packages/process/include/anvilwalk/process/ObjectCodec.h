#pragma once

#include <anvilwalk/process/ControlPlane.h>
#include <anvilwalk/process/ObjectStore.h>

#include <nlohmann/json.hpp>

namespace anvilwalk {

// Converts objects stored in the object API to and from their JSON specs. Configuration objects are handled by
// ConfigCodec.h. Decoding errors: InvalidArgument.

// Slot tables. The versions are plain JSON fields; the table itself is a protobuf message in base64, about a
// third of the size of the same data as JSON.
nlohmann::json encodeTable(const table::TableSet&);
Result<table::TableSet> decodeTable(const nlohmann::json& spec);

nlohmann::json encodeLease(const WriterLease&);
Result<WriterLease> decodeLease(const StoredObject&);

// A VM list entry with its data centre.
struct LocatedVm {
    DataCentreId dataCentre;
    VmEntry entry;
};
Result<LocatedVm> decodeVm(const StoredObject&);

} // namespace anvilwalk
