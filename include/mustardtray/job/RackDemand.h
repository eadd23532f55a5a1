#pragma once

/// Demand for the minions of a rack that hold the data of units.

#include <cstddef>

#include "mustardtray/job/LocalityWait.h"
#include "mustardtray/job/PoolState.h"

namespace mustardtray::job {

/// Returns how much time a unit takes longer in another rack.
Millis RemoteDataDelay(const LocalityInputs& aInputs);

/// Whether units want the rack faster than it can run them. A unit that waits then takes the place
/// of one that would start there without a wait, so waits only add to the time of all units.
/// aSentElsewhere: units of this rack that started in another one within RemoteDataDelay().
bool IsRackOverloaded(const LocalityInputs& aInputs, std::size_t aSentElsewhere);

/// Returns the number of units of the rack that have started in other racks since a time, as far as
/// they still run.
std::size_t CountSentElsewhere(const MinionTable& aMinions,
                               const JobTable& aJobs,
                               const std::string& aRack,
                               TimePoint aSince);

} // namespace mustardtray::job
