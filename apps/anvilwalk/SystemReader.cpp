#include "SystemReader.h"

#include <chrono>

namespace anvilwalk {

namespace {

    Result<ConfigIndex> readIndex(ObjectStore& store)
    {
        const auto object = store.get(objectkind::configIndex, "index");
        if (isOk(object))
            return decodeIndex(valueOf(object).spec);
        if (errorOf(object).code == ErrorCode::NotFound)
            return ConfigIndex {};
        return errorOf(object);
    }

    void addVms(const ObjectList& list, ReportInput& input)
    {
        for (const StoredObject& object : list.items) {
            const auto vm = decodeVm(object);
            if (!isOk(vm))
                continue;
            const auto& [dataCentre, entry] = valueOf(vm);
            input.dataCentres.insert(dataCentre);
            if (entry.leaving)
                continue;
            if (entry.role == VmEntry::Role::Entry)
                input.listedBalancers.insert(entry.balancer);
            else
                input.expectedServices.emplace(dataCentre, entry.service);
        }
    }

} // namespace

Result<SystemState> readSystemState(ObjectStore& store)
{
    const auto index = readIndex(store);
    if (!isOk(index))
        return errorOf(index);
    const auto vms = store.list(objectkind::virtualMachine);
    if (!isOk(vms))
        return errorOf(vms);
    const auto statuses = store.list(objectkind::status);
    if (!isOk(statuses))
        return errorOf(statuses);

    SystemState state { .index = valueOf(index), .reportInput = {} };
    state.reportInput.nowUnixMs = unixTimeMs();
    state.reportInput.configVersion = state.index.version;
    addVms(valueOf(vms), state.reportInput);
    for (const StoredObject& object : valueOf(statuses).items) {
        auto status = decodeStatus(object.spec);
        if (isOk(status))
            state.reportInput.statuses.push_back(std::move(valueOf(status)));
        else
            state.reportInput.dataCentres.insert(DataCentreId(object.name));
    }
    return state;
}

std::int64_t unixTimeMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace anvilwalk
