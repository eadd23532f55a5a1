#pragma once

/// Decides whether a draining VM may be stopped. Each entry VM of its zone must have acknowledged
/// the drain and report no requests in flight, or must be confirmed as gone.

#include <optional>
#include <string>

#include "mustardtray/process/GoneNodeDetector.h"
#include "mustardtray/process/VmRecord.h"
#include "mustardtray/process/fleet/FleetView.h"
#include "mustardtray/process/fleet/VmInventory.h"

namespace mustardtray {

/// Observed state of the entry VMs at one point in time.
struct EntryVmObservations
{
  const FleetView& m_view;
  const VmInventory& m_inventory;
  const GoneNodeDetector& m_goneNodeDetector;
  TimePoint m_now{};
};

/// Returns the reason why a planned stop of the VM has to wait, or nothing when the VM may be
/// stopped. An entry VM of the VM's zone is considered when the platform lists it or when it has a
/// report row. It is confirmed as gone when the platform lists it as gone without contradiction, or
/// when a newer incarnation reports from its address.
std::optional<std::string> FindStopBlocker(const EntryVmObservations& aObservations,
                                           const VmRecord& aVm);

/// Evaluates the health of a VM from the reports of the entry VMs in its zone. An active VM is
/// unreachable when at least half of them report it unreachable, and healthy otherwise. For a VM
/// that is out of service, the majority of the reports on its current generation decides; without
/// such reports the result is Unknown.
VmHealth EvaluateHealth(const EntryVmObservations& aObservations, const VmRecord& aVm);

} // namespace mustardtray
