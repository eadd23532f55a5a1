#pragma once

/// Chooses a minion for a work unit. Considers units of different size, data that is in one rack,
/// units that must be spread and minions that may be faulty.

#include <string>

#include "mustardtray/job/AdviceCache.h"
#include "mustardtray/job/PoolState.h"

namespace mustardtray::job {

/// The step of the unit to place, and its placement constraints.
struct PlacementRequest
{
  const StepSpec* m_step = nullptr;
  std::string m_unitPrefix; ///< Common prefix of the unit names of the step and occurrence.
  /// Minion of the unit's latest failure; used only when no other fits.
  const std::string* m_lastFailedMinion = nullptr;
  const AdviceCache* m_advice = nullptr; ///< If set, only minions with a ticket are used.
};

/// Returns the minion for the unit, or nullptr when it fits on none at present.
MinionState* ChooseMinion(MinionTable& aMinions, const PlacementRequest& aRequest, TimePoint aNow);

/// Returns the advisor's name for the step of a unit's name or name prefix.
std::string StepName(const std::string& aUnitPrefix);
/// Returns the minions that could run the step, to ask the advisor about; those with free capacity
/// come first.
std::vector<std::string> AdviceCandidates(const MinionTable& aMinions,
                                          const StepSpec& aStep,
                                          TimePoint aNow);

/// Whether the minion can get any new work at present.
bool AcceptsWork(const MinionState& aMinion, TimePoint aNow);
/// Whether the minion has failed runs or refused orders so often in a row that it gets only one
/// unit at a time.
bool IsSuspicious(const MinionState& aMinion);

} // namespace mustardtray::job
