#pragma once

#include <anvilwalk/version.h>

namespace anvilwalk {

// Computes the next slots and targets of one service for TablePlanner.
class ServicePlan {
public:
    // A null current table means that the service is new.
    ServicePlan(const TablePlannerOptions&, const PlannerInput&, ServiceId, const ServiceSlots* current,
        TableVersion nextVersion, std::uint32_t& nextTargetId);

    // True if something changed.
    bool run();
    table::ServiceTable message() const;

private:
    void mergeTargets();
    void addTarget(const KnownTarget&);
    void noteHealth(TargetId, const KnownTarget&);
    void suspectDoubts();
    void setWeights();
    std::uint32_t nextWeight(const TableTarget&, std::uint32_t wanted) const;
    void advancePhases();
    bool advance(SlotIndex, SlotException&);
    void moveAgreedDoubts();
    void rebalance();
    std::vector<TargetId> eligibleTargets() const;
    std::map<TargetId, std::size_t> wantedSlots(const std::vector<TargetId>& eligible) const;
    std::vector<SlotIndex> slotsToMove(const std::map<TargetId, std::size_t>& wanted) const;
    void fillNewService(const std::map<TargetId, std::size_t>& wanted);
    void appendCandidate(SlotIndex, TargetId, SlotPhase);
    void dropUnusedTargets();
    bool isDoubted(TargetId id) const { return m_doubted.contains(id); }

    const TablePlannerOptions& m_options;
    const PlannerInput& m_input;
    ServiceId m_service;
    TableVersion m_nextVersion;
    std::uint32_t& m_nextTargetId;
    ServiceSlots m_slots;
    bool m_isNew;
    bool m_changed = false;
    absl::flat_hash_set<TargetId> m_doubted;
    // Targets that look bad, in doubt or not.
    absl::flat_hash_set<TargetId> m_suspected;
    absl::flat_hash_set<TargetId> m_known;
    std::map<TargetId, std::uint32_t> m_wantedWeights;
};

} // namespace anvilwalk
