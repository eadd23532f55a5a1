#pragma once

/// Where a unit should run. Load that it answers: units of uneven size, data in racks, units that
/// must be spread, minions under suspicion.

#include <string>

#include "mustardtray/job/AdviceBook.h"
#include "mustardtray/job/PoolState.h"

namespace mustardtray::job {

/// What is being placed.
struct PlacementRequest
{
  const StepSpec* m_step = nullptr;
  std::string m_unitPrefix; ///< Of names of units of the same step and occurrence.
  const std::string* m_avoid =
    nullptr; ///< Minion of the latest failure; used only when no other fits.
  const AdviceBook* m_advice = nullptr; ///< Only minions with a ticket; nullptr: all.
};

/// The minion for the unit; nullptr when it fits nowhere now.
MinionState* ChooseMinion(MinionTable& aMinions, const PlacementRequest& aRequest, TimePoint aNow);

/// The step that a unit's name prefix belongs to, as the advisor names it.
std::string StepName(const std::string& aUnitPrefix);
/// Minions that could run the step, those with room first: what to ask the advisor about.
std::vector<std::string> AdviceCandidates(const MinionTable& aMinions,
                                          const StepSpec& aStep,
                                          TimePoint aNow);

/// Whether the minion takes work at all at present.
bool TakesWork(const MinionState& aMinion, TimePoint aNow);
/// Whether the minion failed or ignored so much that it gets one unit at a time.
bool IsSuspicious(const MinionState& aMinion);

} // namespace mustardtray::job
