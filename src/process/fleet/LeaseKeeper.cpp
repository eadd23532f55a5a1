#include "mustardtray/process/fleet/LeaseKeeper.h"

#include "mustardtray/process/fleet/BudgetLedger.h"

namespace mustardtray {

std::optional<Transaction> LeaseKeeper::Plan(const FleetView& aView,
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
  const bool isFresh =
    isOwn && held != m_heldUntil.end() && aNow < held->second - aPolicy.m_lease * 2 / 3;
  const bool isForeign = row.m_version != 0 && !isOwn &&
                         aNow < observation.m_since + aPolicy.m_lease + aPolicy.m_leaseGuard;
  if (isFresh || isForeign) {
    return std::nullopt;
  }
  Transaction transaction;
  const LeaseRecord next{ m_node, row.m_value.m_renewals + 1 };
  AddCheckedWrite(transaction, kLeaseRowPrefix, aScope, row.m_version, next);
  return transaction;
}

void LeaseKeeper::OnCommitted(const std::string& aScope,
                              const FleetPolicy& aPolicy,
                              TimePoint aSentAt)
{
  m_heldUntil[aScope] = aSentAt + aPolicy.m_lease;
}

bool LeaseKeeper::Holds(const std::string& aScope, TimePoint aNow) const
{
  const auto found = m_heldUntil.find(aScope);
  return found != m_heldUntil.end() && aNow < found->second;
}

} // namespace mustardtray
