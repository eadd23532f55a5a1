#include "mustardtray/process/fleet/LeaseManager.h"

#include "mustardtray/process/fleet/BudgetLedger.h"

namespace mustardtray {

std::optional<Transaction> LeaseManager::PlanRenewal(const FleetView& aView,
                                                     const FleetPolicy& aPolicy,
                                                     const std::string& aScope,
                                                     TimePoint aNow)
{
  const auto found = aView.m_leases.find(aScope);
  const auto row = found == aView.m_leases.end() ? Versioned<LeaseRecord>{} : found->second;
  Observation& observation = m_observations[aScope];
  if (observation.m_version != row.m_version) {
    observation = Observation{ row.m_version, aNow };
  }
  const bool isOwn = row.m_value.m_holder == m_node;
  const auto held = m_heldUntil.find(aScope);
  const bool isRecentlyRenewed =
    isOwn && held != m_heldUntil.end() && aNow < held->second - aPolicy.m_leaseDuration * 2 / 3;
  const bool isHeldByOther =
    row.m_version != 0 && !isOwn &&
    aNow < observation.m_since + aPolicy.m_leaseDuration + aPolicy.m_leaseMargin;
  if (isRecentlyRenewed || isHeldByOther) {
    return std::nullopt;
  }
  Transaction transaction;
  const LeaseRecord next{ m_node, row.m_value.m_renewals + 1 };
  AddCheckedWrite(transaction, kLeaseRowPrefix, aScope, row.m_version, next);
  return transaction;
}

void LeaseManager::OnCommitted(const std::string& aScope,
                               const FleetPolicy& aPolicy,
                               TimePoint aSentAt)
{
  m_heldUntil[aScope] = aSentAt + aPolicy.m_leaseDuration;
}

bool LeaseManager::Holds(const std::string& aScope, TimePoint aNow) const
{
  const auto found = m_heldUntil.find(aScope);
  return found != m_heldUntil.end() && aNow < found->second;
}

} // namespace mustardtray
