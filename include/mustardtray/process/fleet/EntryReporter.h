#pragma once

/// Builds the report of an entry VM to the fleet controllers about the targets of its zone.

#include <map>
#include <string>

#include "mustardtray/process/fleet/FleetView.h"

namespace mustardtray {

/// Status of one target VM as observed by this entry VM.
struct LocalTargetStatus
{
  int m_inFlight = 0;
  VmHealth m_health = VmHealth::Unknown; ///< From its own requests and probes.
};

/// Builds the report on all VMs of the zone that are out of service, down or unreachable. The
/// report acknowledges the generations of the VM rows, so routing must already use the same rows.
/// The caller writes it when it differs from the last one, with a check of the row's version.
EntryReport BuildEntryReport(const EntryReport& aIdentity,
                             const FleetView& aView,
                             const std::map<std::string, LocalTargetStatus>& aTargets);

} // namespace mustardtray
