#pragma once

/// Forecasts where waiting units will run, to tell how many machines a pool needs. A sum of their
/// resources is not enough: units that do not fit beside each other, that need a label or that must
/// be spread can lack a minion while the pool has free capacity.

#include <set>
#include <string>
#include <vector>

#include "mustardtray/job/Deployment.h"
#include "mustardtray/job/PoolState.h"

namespace mustardtray::job {

/// Units of a step that wait for a minion.
struct WaitingUnits
{
  const StepSpec* m_step = nullptr;
  std::string m_unitPrefix; ///< Common prefix of the unit names of the step and occurrence.
  std::uint32_t m_count = 0;
};

/// Units of a step that fit on no minion of the pool.
struct UnplacedUnits
{
  Resources m_need; ///< Of each unit.
  std::string m_requiredLabel;
  std::uint32_t m_maxPerMinion = 0; ///< 0: no limit.
  std::uint32_t m_count = 0;
  bool m_isGang = false; ///< Machines for a part of the units would be of no use.
};

struct PlacementForecast
{
  /// Minions that have or would get long-running units or members of a gang that fits as a whole.
  std::set<std::string> m_hosts;
  std::vector<UnplacedUnits> m_unplaced;
};

/// Distributes units over the pool's minions in addition to what runs there. Long-running units
/// need capacity that is free now, others may wait for the end of units. Minions that have not
/// answered a new owner yet count as available; those that miss calls or fail do not.
PlacementForecast ForecastPlacement(const MinionTable& aMinions,
                                    const std::vector<WaitingUnits>& aWaiting,
                                    TimePoint aNow);

/// Removes the units that an empty machine can hold; returns whether there were any.
bool TakeUnitsFor(const Machine& aMachine, std::vector<UnplacedUnits>& aUnplaced);

} // namespace mustardtray::job
