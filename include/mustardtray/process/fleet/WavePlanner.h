#pragma once

/// Plans maintenance waves: which VMs to take out of service next, whether a wave has to halt, its
/// progress and its remaining time.

#include <map>
#include <string>
#include <vector>

#include "mustardtray/process/Time.h"
#include "mustardtray/process/fleet/BudgetLedger.h"

namespace mustardtray {

struct WaveProgress
{
  int m_total = 0;
  int m_done = 0;
  int m_out = 0;     ///< Currently out of service for this wave.
  int m_failing = 0; ///< Of the VMs out of service: those with failed actions.
  int m_waiting = 0;
  bool m_isHalted = false;
  Millis m_remaining{ 0 }; ///< Estimate under the current budgets.
};

/// VMs of a wave that may be taken out of service next, and the others that have to wait.
struct WaveCandidates
{
  std::vector<std::string> m_candidates;            ///< In order of preference.
  std::map<std::string, std::string> m_waitReasons; ///< Reason by VM.
};

/// Counts the VMs of the wave by state and estimates the remaining time from aVmOutageTime, the
/// time out of service for one VM.
WaveProgress ComputeWaveProgress(const FleetState& aState,
                                 const WaveRecord& aWave,
                                 Millis aVmOutageTime);

/// Selects the VMs to take out of service. Each candidate fits all budgets on its own; the caller
/// takes out as many as its transactions allow. A VM that is already down comes first, because it
/// uses no additional budget. VMs in racks and zones where others are out of service come next: a
/// failure of such a rack then makes fewer additional VMs unavailable.
WaveCandidates PlanWave(const FleetState& aState, const WaveRecord& aWave, WallTime aWallNow);

/// Returns whether the VM may be taken out of service for aOutageTime under the maintenance
/// windows. It has to return before the window ends. A VM that no window's selector matches is not
/// restricted.
bool IsMaintenanceAllowed(const FleetState& aState,
                          const std::string& aVm,
                          WallTime aWallNow,
                          Millis aOutageTime);

/// Returns the id of the wave's operation on one VM.
std::string WaveOperationId(const WaveRecord& aWave, const std::string& aVm);

/// Returns the lower bound of a wave's duration over all orders of the VMs. Each pair holds the
/// number of VMs to reboot and the number allowed out of service at once; one VM takes
/// aVmOutageTime.
Millis MinimumWaveDuration(const std::vector<std::pair<int, int>>& aCountsAndAllowed,
                           Millis aVmOutageTime);

} // namespace mustardtray
