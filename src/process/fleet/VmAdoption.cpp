#include "mustardtray/process/fleet/VmAdoption.h"

namespace mustardtray {

namespace {

const ReconciledVm* FindListed(const FleetState& aState, const std::string& aVm)
{
  const ReconciledVm* listed = aState.m_inventory ? aState.m_inventory->Find(aVm) : nullptr;
  const bool isPresent =
    listed && !listed->m_isMissing && listed->m_listing.m_state != VmState::Gone;
  return isPresent ? listed : nullptr;
}

} // namespace

std::optional<Transaction> PlanAdoption(const FleetState& aState, const std::string& aVm)
{
  const ReconciledVm* listed = FindListed(aState, aVm);
  if (aState.m_view.m_vms.contains(aVm) || !listed || listed->m_listing.m_role != VmRole::Target) {
    return std::nullopt;
  }
  VmRecord record;
  record.m_name = aVm;
  record.m_address = listed->m_listing.m_address;
  record.m_zone = listed->m_listing.m_zone;
  record.m_rack = listed->m_listing.m_rack;
  record.m_pool =
    PoolByLabels(aState.m_configuration, LabelsOf(aState.m_configuration, listed->m_listing));
  if (record.m_pool.empty()) {
    return std::nullopt;
  }
  record.m_homePool = record.m_pool;
  record.m_configVersion = aState.m_configuration.m_version;
  record.m_generation = 1;
  Transaction transaction;
  AddCheckedWrite(transaction, kVmRowPrefix, aVm, 0, record);
  return transaction;
}

std::optional<Transaction> PlanListingUpdate(const FleetState& aState, const std::string& aVm)
{
  const ReconciledVm* listed = FindListed(aState, aVm);
  if (!listed) {
    return std::nullopt;
  }
  const auto& row = aState.m_view.m_vms.at(aVm);
  VmRecord record = row.m_value;
  const VmListing& listing = listed->m_listing;
  if (!listing.m_rack.empty()) {
    record.m_rack = listing.m_rack;
  }
  if (!listing.m_address.empty() && listed->m_inconsistencies.empty()) {
    record.m_address = listing.m_address;
  }
  if (record == row.m_value) {
    return std::nullopt;
  }
  Transaction transaction;
  AddCheckedWrite(transaction, kVmRowPrefix, aVm, row.m_version, record);
  return transaction;
}

std::optional<Transaction> PlanRetirement(const FleetState& aState, const std::string& aVm)
{
  const auto& row = aState.m_view.m_vms.at(aVm);
  const bool isConfigured =
    !PoolByLabels(aState.m_configuration, aState.m_index.m_labelsByVm.at(aVm)).empty();
  if (isConfigured || !aState.IsListed(aVm, VmState::Gone)) {
    return std::nullopt;
  }
  const std::string key = std::string(kVmRowPrefix) + aVm;
  Transaction transaction;
  transaction.m_checks.push_back(RowCheck{ key, row.m_version });
  transaction.m_writes.push_back(RowWrite{ key, std::nullopt });
  // A move's transaction checks the pool rows, so they must change whenever a pool loses a VM.
  for (const std::string& name : { row.m_value.m_pool, row.m_value.m_targetPool }) {
    auto pool = aState.m_view.Pool(name);
    pool.m_value.m_leaving.erase(aVm);
    pool.m_value.m_joining.erase(aVm);
    if (!name.empty()) {
      AddCheckedWrite(transaction, kPoolRowPrefix, name, pool.m_version, pool.m_value);
    }
  }
  return transaction;
}

Transaction PlanHomePoolChange(const FleetState& aState,
                               const std::string& aVm,
                               const std::string& aHomePool)
{
  const auto& row = aState.m_view.m_vms.at(aVm);
  VmRecord record = row.m_value;
  record.m_homePool = aHomePool;
  record.m_configVersion = aState.m_configuration.m_version;
  Transaction transaction;
  AddCheckedWrite(transaction, kVmRowPrefix, aVm, row.m_version, record);
  return transaction;
}

} // namespace mustardtray
