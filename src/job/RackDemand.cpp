#include "mustardtray/job/RackDemand.h"

#include "mustardtray/job/RunTimeCorrection.h"

namespace mustardtray::job {

namespace {

/// Overload is assumed when the units sent elsewhere exceed a quarter of the runs in the rack. In
/// the replays an eighth and a half gave the same result; without the rule, units that arrived
/// at 1.5 times the rack's rate took 16% longer than without waits.
constexpr std::size_t kRunsPerUnitSentElsewhere = 4;

} // namespace

Millis RemoteDataDelay(const LocalityInputs& aInputs)
{
  return Scaled(aInputs.m_runTime, aInputs.m_farFactor - 1.0);
}

bool IsRackOverloaded(const LocalityInputs& aInputs, std::size_t aSentElsewhere)
{
  std::size_t runs = 0;
  for (const LocalMinion& minion : *aInputs.m_minions) {
    runs += minion.m_runs.size();
  }
  return aSentElsewhere * kRunsPerUnitSentElsewhere > runs;
}

std::size_t CountSentElsewhere(const MinionTable& aMinions,
                               const JobTable& aJobs,
                               const std::string& aRack,
                               TimePoint aSince)
{
  std::size_t count = 0;
  for (const auto& [id, minion] : aMinions) {
    if (minion.m_entry.HasLabel(aRack)) {
      continue;
    }
    for (const auto& [name, run] : minion.m_runs) {
      const auto job = run.m_orderedAt >= aSince ? aJobs.find(run.m_unit.m_job) : aJobs.end();
      if (job != aJobs.end()) {
        const auto& steps = job->second->m_record.m_spec.m_steps;
        const bool wantsRack =
          run.m_unit.m_step < steps.size() && steps[run.m_unit.m_step].m_dataRack == aRack;
        count += wantsRack ? 1 : 0;
      }
    }
  }
  return count;
}

} // namespace mustardtray::job
