#include "mustardtray/job/Placement.h"

#include <algorithm>

namespace mustardtray::job {

namespace {

/// Consecutive failures of different jobs after which the minion itself is assumed to be faulty.
constexpr int kSuspiciousFailures = 2;
/// Consecutive calls without an answer after which the minion gets no work.
constexpr int kMaxMissedCalls = 1;

// Weights of the placement score; 1 is the whole capacity of a minion. The lowest score wins.
constexpr double kRemoteDataPenalty =
  10.0; ///< Not in the data's rack: the unit takes far_x times as long.
constexpr double kMaintenancePenalty = 20.0;   ///< The unit would soon have to be moved again.
constexpr double kRecentFailurePenalty = 50.0; ///< The unit's latest failure was on this minion.
constexpr double kOtherWorkPenalty = 2.0;      ///< The unit may crash the minion.
/// For each other such unit on the minion: the next crash has to leave fewer suspects.
constexpr double kOtherSuspectPenalty = 3.0;
constexpr double kSlowMinionPenalty = 30.0;     ///< Units take longer on it than on its peers.
constexpr double kAvoidedMinionPenalty = 100.0; ///< The minion is being drained first.
constexpr double kSameStepPenalty =
  5.0; ///< For each unit of the same long-running step on the minion.

/// Whether the minion has a run that may still show whether the minion works. Long-running units do
/// not end as done; that they are at work shows it.
bool HasUnprovenRun(const MinionState& aMinion)
{
  return std::any_of(aMinion.m_runs.begin(), aMinion.m_runs.end(), [](const auto& aEntry) {
    constexpr int kAtWorkPercent = 100;
    const Run& run = aEntry.second;
    return !run.m_isLongRunning || run.m_phase != RunPhase::Running ||
           run.m_percent < kAtWorkPercent;
  });
}

int CountSuspects(const MinionState& aMinion)
{
  return static_cast<int>(
    std::count_if(aMinion.m_runs.begin(), aMinion.m_runs.end(), [](const auto& aEntry) {
      return aEntry.second.m_isSuspect;
    }));
}

/// Returns the share of the minion's capacity that stays free after placing the unit. Small values
/// are preferred, so that whole minions stay free for wide steps and for moves.
double FreeShareAfter(const MinionState& aMinion, const Resources& aNeed)
{
  const Resources free = aMinion.Free();
  const Resources& all = aMinion.m_entry.m_capacity;
  const auto share = [](std::int64_t aFree, std::int64_t aNeedOf, std::int64_t aAll) {
    return aAll <= 0 ? 0.0 : static_cast<double>(aFree - aNeedOf) / static_cast<double>(aAll);
  };
  return share(free.m_cpu, aNeed.m_cpu, all.m_cpu) +
         0.5 * share(free.m_memoryMb, aNeed.m_memoryMb, all.m_memoryMb);
}

} // namespace

std::uint32_t CountUnitsOfStep(const MinionState& aMinion, const std::string& aUnitPrefix)
{
  std::uint32_t count = 0;
  for (auto run = aMinion.m_runs.lower_bound(aUnitPrefix);
       run != aMinion.m_runs.end() && run->first.starts_with(aUnitPrefix);
       ++run) {
    ++count;
  }
  return count;
}

bool IsSuspicious(const MinionState& aMinion)
{
  return aMinion.m_consecutiveFailures >= kSuspiciousFailures;
}

bool KeepsUnits(const MinionState& aMinion)
{
  bool hasLongRunning = false;
  for (const auto& [name, run] : aMinion.m_runs) {
    if (run.m_isLongRunning && run.m_phase == RunPhase::Stopping) {
      return false;
    }
    hasLongRunning = hasLongRunning || run.m_isLongRunning;
  }
  return hasLongRunning && !aMinion.m_isReleased;
}

namespace {

PlacementObstacle FindObstacleBesideCordon(const MinionState& aMinion, TimePoint aNow)
{
  if (aMinion.m_entry.m_isDraining) {
    return PlacementObstacle::Draining;
  }
  if (aMinion.m_missedCalls >= kMaxMissedCalls) {
    return PlacementObstacle::MissedCall;
  }
  if (IsSuspicious(aMinion) && (HasUnprovenRun(aMinion) || aNow < aMinion.m_probeAt)) {
    return PlacementObstacle::Suspicious;
  }
  // These obstacles pass by themselves within a short time; see ForecastPlacement().
  if (!aMinion.m_isFenced) {
    return PlacementObstacle::NotFenced;
  }
  if (!aMinion.m_isRecorded) {
    return PlacementObstacle::Unrecorded;
  }
  if (aNow < aMinion.m_pausedUntil) {
    return PlacementObstacle::Paused;
  }
  if (aMinion.m_runsOfUnknownSize > 0) {
    return PlacementObstacle::UnknownRun;
  }
  const TimePoint outdatedAt = aMinion.m_entry.m_outdatedAt;
  if (outdatedAt != TimePoint{} && aNow >= outdatedAt) {
    return PlacementObstacle::RegistrationOld;
  }
  return PlacementObstacle::None;
}

} // namespace

PlacementObstacle FindObstacle(const MinionState& aMinion, TimePoint aNow)
{
  if (!aMinion.m_isRegistered) {
    return PlacementObstacle::Unregistered;
  }
  return aMinion.m_isCordoned ? PlacementObstacle::Cordoned
                              : FindObstacleBesideCordon(aMinion, aNow);
}

PlacementObstacle FindObstacle(const MinionState& aMinion,
                               const PlacementRequest& aRequest,
                               TimePoint aNow)
{
  const bool isUsableThoughCordoned = aMinion.m_isRegistered && aMinion.m_isCordoned &&
                                      aRequest.m_mayUseCordoned && KeepsUnits(aMinion);
  const PlacementObstacle common =
    isUsableThoughCordoned ? FindObstacleBesideCordon(aMinion, aNow) : FindObstacle(aMinion, aNow);
  if (common != PlacementObstacle::None) {
    return common;
  }
  if (aRequest.m_isIsolated && !aMinion.m_runs.empty()) {
    return PlacementObstacle::NotEmpty;
  }
  if (aMinion.m_isolatedRuns > 0 && !aRequest.m_ignoresIsolation) {
    return PlacementObstacle::Isolated;
  }
  const bool isHeldForUnit =
    aRequest.m_isIsolated && aRequest.m_job && aMinion.m_heldForJob == *aRequest.m_job;
  if (!aMinion.m_heldForJob.empty() && !isHeldForUnit && !aRequest.m_ignoresHold) {
    return PlacementObstacle::Held;
  }
  const StepSpec& step = *aRequest.m_step;
  const Resources need = step.Reserved();
  const Resources free = aMinion.Free();
  if (free.m_cpu < need.m_cpu) {
    return PlacementObstacle::Cpu;
  }
  if (free.m_memoryMb < need.m_memoryMb) {
    return PlacementObstacle::Memory;
  }
  if (free.m_gpu < need.m_gpu) {
    return PlacementObstacle::Gpu;
  }
  if (!step.m_requiredLabel.empty() && !aMinion.m_entry.HasLabel(step.m_requiredLabel)) {
    return PlacementObstacle::Label;
  }
  if (aRequest.m_advice &&
      !aRequest.m_advice->FindTicket(StepName(aRequest.m_unitPrefix), aMinion.m_entry.m_id, aNow)) {
    return PlacementObstacle::NoTicket;
  }
  if (step.m_maxPerMinion > 0 &&
      CountUnitsOfStep(aMinion, aRequest.m_unitPrefix) >= step.m_maxPerMinion) {
    return PlacementObstacle::StepLimit;
  }
  return PlacementObstacle::None;
}

bool IsEligible(const MinionState& aMinion, const PlacementRequest& aRequest, TimePoint aNow)
{
  const StepSpec& step = *aRequest.m_step;
  const bool hasTicket =
    !aRequest.m_advice ||
    aRequest.m_advice->FindTicket(StepName(aRequest.m_unitPrefix), aMinion.m_entry.m_id, aNow);
  return hasTicket && aMinion.m_entry.m_capacity.Fits(step.Reserved()) &&
         (step.m_requiredLabel.empty() || aMinion.m_entry.HasLabel(step.m_requiredLabel));
}

bool AcceptsWork(const MinionState& aMinion, TimePoint aNow)
{
  return FindObstacle(aMinion, aNow) == PlacementObstacle::None;
}

MinionState* ChooseMinion(MinionTable& aMinions, const PlacementRequest& aRequest, TimePoint aNow)
{
  const StepSpec& step = *aRequest.m_step;
  const Resources need = step.Reserved();
  MinionState* best = nullptr;
  double bestScore = 0;
  for (auto& [id, minion] : aMinions) {
    if (aRequest.m_onlyMinion && *aRequest.m_onlyMinion != id) {
      continue;
    }
    if (FindObstacle(minion, aRequest, aNow) != PlacementObstacle::None) {
      continue;
    }
    double score = FreeShareAfter(minion, need);
    if (step.m_isLongRunning) {
      score += kSameStepPenalty * CountUnitsOfStep(minion, aRequest.m_unitPrefix);
      score += minion.m_isAwaitingMaintenance ? kMaintenancePenalty : 0.0;
    }
    if (!step.m_dataRack.empty() && !minion.m_entry.HasLabel(step.m_dataRack)) {
      score += kRemoteDataPenalty;
    }
    if (aRequest.m_isSuspect && !minion.m_runs.empty()) {
      score += kOtherWorkPenalty + kOtherSuspectPenalty * CountSuspects(minion);
    }
    if (aRequest.m_lastFailedMinion && *aRequest.m_lastFailedMinion == id) {
      score += kRecentFailurePenalty;
    }
    score += minion.m_isSlow && aNow < minion.m_trialAt ? kSlowMinionPenalty : 0.0;
    score += aRequest.m_avoidedMinion == &minion ? kAvoidedMinionPenalty : 0.0;
    if (!best || score < bestScore) {
      best = &minion;
      bestScore = score;
    }
  }
  return best;
}

std::string StepName(const std::string& aUnitPrefix)
{
  return aUnitPrefix.substr(0, aUnitPrefix.rfind('.'));
}

std::vector<std::string> AdviceCandidates(const MinionTable& aMinions,
                                          const StepSpec& aStep,
                                          TimePoint aNow)
{
  const Resources need = aStep.Reserved();
  std::vector<std::string> candidates;
  std::vector<std::string> full;
  for (const auto& [id, minion] : aMinions) {
    const bool isAllowed =
      aStep.m_requiredLabel.empty() || minion.m_entry.HasLabel(aStep.m_requiredLabel);
    if (isAllowed && AcceptsWork(minion, aNow) && minion.m_entry.m_capacity.Fits(need)) {
      (minion.Free().Fits(need) ? candidates : full).push_back(id);
    }
  }
  candidates.insert(candidates.end(), full.begin(), full.end());
  return candidates;
}

} // namespace mustardtray::job
