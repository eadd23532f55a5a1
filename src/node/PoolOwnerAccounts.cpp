#include "node/PoolOwner.h"

#include "mustardtray/process/Log.h"

/// Refusals of jobs, and the shares of client accounts.

namespace mustardtray::node {

namespace {

/// Refused jobs whose first attempt is remembered; enough for some seconds of overload.
constexpr std::size_t kMaxRememberedRefusals = 4'000;
constexpr std::size_t kMaxLoggedAccounts = 8;
constexpr Millis kExcessLogPeriod{ 1'000 };

} // namespace

TimePoint PoolOwner::FirstRefusalTime(const std::string& aId) const
{
  const auto found = m_firstRefusals.find(aId);
  return found == m_firstRefusals.end() ? LeaseClockNow() : found->second.m_at;
}

bool PoolOwner::IsExcess(const job::JobRecord& aRecord, TimePoint aNow)
{
  const auto refused = m_firstRefusals.find(aRecord.m_id);
  if (refused != m_firstRefusals.end() && !refused->second.m_isExcess) {
    return false;
  }
  const bool isExcess = !m_scheduler.ChargeRate(aRecord, aNow);
  if (refused != m_firstRefusals.end()) {
    refused->second.m_isExcess = isExcess;
  }
  return isExcess;
}

SubmitResult PoolOwner::RefuseSubmission(const job::JobRecord& aRecord,
                                         bool aIsExcess,
                                         Millis aRetryAfter,
                                         TimePoint aNow)
{
  m_scheduler.OnRefused(aRecord, aNow);
  if (m_firstRefusals.emplace(aRecord.m_id, FirstRefusal{ aNow, aIsExcess }).second) {
    m_refusalOrder.push_back(aRecord.m_id);
    if (m_refusalOrder.size() > kMaxRememberedRefusals) {
      m_firstRefusals.erase(m_refusalOrder.front());
      m_refusalOrder.pop_front();
    }
  }
  if (aIsExcess) {
    ++m_unloggedExcess;
  }
  if (aIsExcess && aNow - m_excessLoggedAt >= kExcessLogPeriod) {
    m_excessLoggedAt = aNow;
    Log(LogCategory::Placement,
        LogLevel::Info,
        "excess-refused",
        "pool",
        Pool(),
        "job",
        aRecord.m_id,
        "account",
        aRecord.m_account,
        "retry-ms",
        aRetryAfter.count(),
        "refused",
        m_unloggedExcess);
    m_unloggedExcess = 0;
  }
  return { SubmitOutcome::Refused, aRetryAfter };
}

void PoolOwner::LogAccountShares()
{
  const TimePoint now = LeaseClockNow();
  if (m_context.m_deployment.m_accounts.empty() || !IsAuthoritative() ||
      m_scheduler.DescribeWaiting(1, now).empty()) {
    return;
  }
  std::size_t logged = 0;
  for (const job::AccountState& state : m_scheduler.TakeAccountStates(now)) {
    if (++logged > kMaxLoggedAccounts) {
      return;
    }
    Log(LogCategory::Placement,
        LogLevel::Info,
        "account-shares",
        "pool",
        Pool(),
        "account",
        state.m_share.m_account,
        "weight",
        state.m_share.m_weight,
        "part",
        state.m_share.m_part,
        "share",
        state.m_share.m_dominantShare,
        "used-cpu",
        state.m_share.m_used.m_cpu,
        "used-mb",
        state.m_share.m_used.m_memoryMb,
        "waiting",
        state.m_share.m_waiting,
        "refused-excess",
        state.m_excessRefusals);
  }
}

} // namespace mustardtray::node
