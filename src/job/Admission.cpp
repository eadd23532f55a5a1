#include "mustardtray/job/Admission.h"

#include <algorithm>

namespace mustardtray::job {

namespace {

/// Share of the new job's critical path that does not overlap with the backlog: its last units run
/// after the work ahead is done, and units differ in size.
constexpr double kTailShare = 0.8;
/// Accounts for minions that are never completely full and for the delays of starts and ends.
constexpr double kWaitFactor = 1.15;
/// A late job has some value up to this multiple of its objective.
constexpr double kLateLimit = 3.0;
/// The Retry-After header has a resolution of one second.
constexpr Millis kShortestRetry{ 1'000 };
/// Longer waits are useless to callers with objectives of a few seconds.
constexpr Millis kLongestRetry{ 10'000 };

} // namespace

AdmissionVerdict Admit(const AdmissionInput& aInput)
{
  AdmissionVerdict verdict;
  if (aInput.m_isLasting || aInput.m_isTimed) {
    return verdict;
  }
  if (aInput.m_cores <= 0) {
    verdict.m_isAccepted = false;
    verdict.m_retryAfter = kShortestRetry;
    return verdict;
  }
  const auto chain = static_cast<double>(aInput.m_chain.count());
  const auto objective = static_cast<double>(aInput.m_objective.count());
  const auto waited = static_cast<double>(aInput.m_waited.count());
  const double wait = (aInput.m_backlogWork + aInput.m_work) / aInput.m_cores;
  const double needed = std::max(kWaitFactor * wait + kTailShare * chain, chain);
  verdict.m_expectedWait = Millis(static_cast<Millis::rep>(wait));
  const double waitForAll = (aInput.m_allWork + aInput.m_work) / aInput.m_cores;
  const double neededLate = std::max(kWaitFactor * waitForAll + kTailShare * chain, chain);
  verdict.m_isLate = waited + needed > objective;
  verdict.m_isAccepted = !verdict.m_isLate || waited + neededLate <= kLateLimit * objective;
  if (!verdict.m_isAccepted) {
    verdict.m_retryAfter =
      std::clamp(Millis(static_cast<Millis::rep>(waitForAll)), kShortestRetry, kLongestRetry);
  }
  return verdict;
}

} // namespace mustardtray::job
