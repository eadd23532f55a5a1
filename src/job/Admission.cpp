#include "mustardtray/job/Admission.h"

#include <algorithm>

namespace mustardtray::job {

namespace {

/// Share of the new job's critical path that does not overlap with the backlog: its last units run
/// after the work ahead is done, and units differ in size.
constexpr double kNonOverlappingShare = 0.8;
/// Accounts for minions that are never completely full and for the delays of starts and ends.
constexpr double kWaitFactor = 1.15;
/// The part of kWaitFactor that is due to the delays of starts and ends.
constexpr double kDelayFactor = 1.05;
/// Half of a burst of 4 s, in milliseconds: the time for which arrivals are expected to go on.
constexpr double kMaxArrivalTime = 2'000;
/// A late job has some value up to this multiple of its objective.
constexpr double kMaxLateFactor = 3.0;
/// The Retry-After header has a resolution of one second.
constexpr Millis kMinRetryAfter{ 1'000 };
/// Longer waits are useless to callers with objectives of a few seconds.
constexpr Millis kMaxRetryAfter{ 10'000 };

} // namespace

AdmissionDecision Admit(const AdmissionInput& aInput)
{
  AdmissionDecision decision;
  if (aInput.m_isLongRunning || aInput.m_isScheduled) {
    return decision;
  }
  if (aInput.m_availableCores <= 0) {
    decision.m_isAccepted = false;
    decision.m_retryAfter = kMinRetryAfter;
    return decision;
  }
  const auto criticalPath = static_cast<double>(aInput.m_criticalPath.count());
  const auto objective = static_cast<double>(aInput.m_objective.count());
  const auto sinceFirstAttempt = static_cast<double>(aInput.m_sinceFirstAttempt.count());
  // The wait factor covers minions that are nearly full. Wide units leave more of a minion free.
  const double waitFactor =
    aInput.m_packedCores > 0
      ? std::max(kWaitFactor, kDelayFactor * aInput.m_availableCores / aInput.m_packedCores)
      : kWaitFactor;
  const double wait = (aInput.m_workAhead + aInput.m_work) / aInput.m_availableCores;
  const double needed =
    std::max(waitFactor * wait + kNonOverlappingShare * criticalPath, criticalPath);
  decision.m_expectedWait = Millis(static_cast<Millis::rep>(wait));
  const double waitForTotalWork = (aInput.m_totalWork + aInput.m_work) / aInput.m_availableCores;
  // Jobs that arrive later and can be in time go first. On an idle pool they delay nothing.
  const double waitForArrivals = std::min(1.0, aInput.m_arrivingCores / aInput.m_availableCores) *
                                 std::min(waitForTotalWork, kMaxArrivalTime);
  const double neededLate =
    waitForArrivals +
    std::max(waitFactor * waitForTotalWork + kNonOverlappingShare * criticalPath, criticalPath);
  decision.m_isLate = sinceFirstAttempt + needed > objective;
  decision.m_isAccepted =
    !decision.m_isLate || sinceFirstAttempt + neededLate <= kMaxLateFactor * objective;
  if (!decision.m_isAccepted) {
    decision.m_retryAfter = std::clamp(
      Millis(static_cast<Millis::rep>(waitForTotalWork)), kMinRetryAfter, kMaxRetryAfter);
  }
  return decision;
}

} // namespace mustardtray::job
