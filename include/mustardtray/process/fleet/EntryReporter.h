#pragma once

/// What an entry VM reports to the fleet controllers about the targets of its zone.

#include <map>
#include <string>

#include "mustardtray/process/fleet/FleetView.h"

namespace mustardtray {

/// What the entry VM itself sees of one target VM.
struct LocalTarget
{
  int m_inFlight = 0;
  VmHealth m_health = VmHealth::Unknown; ///< By its own requests and probes.
};

/// The report on all VMs of the zone that are out, down or unreachable. Build it only after routing
/// has taken over the same VM rows, since it acknowledges their generations; write it when it
/// differs from the last one, with a check of the row's version.
EntryReport BuildEntryReport(const EntryReport& aIdentity,
                             const FleetView& aView,
                             const std::map<std::string, LocalTarget>& aTargets);

} // namespace mustardtray
