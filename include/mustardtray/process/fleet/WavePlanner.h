#pragma once

/// Plans maintenance waves: which VMs to take out next, whether a wave has to halt, how far it is
/// and how long it still takes.

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
  int m_out = 0;     ///< Out for this wave now.
  int m_failing = 0; ///< Of these, with failed actions.
  int m_waiting = 0;
  bool m_isHalted = false;
  Millis m_remaining{ 0 }; ///< Estimate under the present budgets.
};

/// A VM of the wave that may be taken out next, in order of preference.
struct WaveCandidates
{
  std::vector<std::string> m_next;
  std::map<std::string, std::string> m_reasons; ///< Why each other VM waits.
};

/// Names of the VMs that the wave still has to reboot, and of all that it concerns.
WaveProgress MeasureWave(const FleetState& aState, const WaveRecord& aWave, Millis aVmOutTime);

/// VMs to take out, each of which fits all budgets alone; the caller applies as many as its
/// transactions allow. A VM that is down already comes first, because it costs no budget. Then come
/// VMs of racks and zones where others are out: a failure of that rack then adds less to them.
WaveCandidates PlanWave(const FleetState& aState, const WaveRecord& aWave, WallTime aWallNow);

/// Whether the maintenance windows let the VM be taken out now and return within the window. A VM
/// that no window's selector matches is free at any time.
bool IsInWindow(const FleetState& aState, const std::string& aVm, WallTime aWallNow, Millis aOut);

/// Id of the wave's operation on one VM.
std::string WaveOperationId(const WaveRecord& aWave, const std::string& aVm);

/// The shortest time in which any order could reboot the counts of VMs with the given numbers out
/// at once, each taking aVmOutTime.
Millis LowerBound(const std::vector<std::pair<int, int>>& aCountsAndAllowed, Millis aVmOutTime);

} // namespace mustardtray
