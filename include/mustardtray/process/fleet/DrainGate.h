#pragma once

/// Decides whether a draining VM may be stopped: every entry VM that can reach it has promised to
/// send nothing more and reports nothing in flight, or is surely gone.

#include <optional>
#include <string>

#include "mustardtray/process/GoneNodeDetector.h"
#include "mustardtray/process/VmRecord.h"
#include "mustardtray/process/fleet/FleetView.h"
#include "mustardtray/process/fleet/VmInventory.h"

namespace mustardtray {

/// What is known of the entry VMs.
struct EntryEvidence
{
  const FleetView& m_view;
  const VmInventory& m_inventory;
  const GoneNodeDetector& m_goneNodeDetector;
  TimePoint m_now{};
};

/// Why a planned stop of the VM has to wait; nothing when it may go on. Entry VMs of the VM's zone
/// count when the platform lists them or when they have a report row. One is surely gone when the
/// platform says so without contradiction, or when a newer incarnation reports from its address.
std::optional<std::string> RefuseStop(const EntryEvidence& aEvidence, const VmRecord& aVm);

/// What the zone's entry VMs say about the health of a VM. An active VM is unreachable when half
/// of them or more say so, and healthy otherwise. For a VM that is out, the majority of those
/// decides that report its present generation; none gives Unknown.
VmHealth JudgeHealth(const EntryEvidence& aEvidence, const VmRecord& aVm);

} // namespace mustardtray
