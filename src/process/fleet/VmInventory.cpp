#include "mustardtray/process/fleet/VmInventory.h"

#include <fmt/format.h>

namespace mustardtray {

namespace {

/// Lines with different states mean that the VM still exists and takes no new work.
VmState CombinedState(const std::vector<const VmListing*>& aListings)
{
  bool isGoneOnly = true;
  bool isLiveOnly = true;
  for (const VmListing* listing : aListings) {
    isGoneOnly = isGoneOnly && listing->m_state == VmState::Gone;
    isLiveOnly = isLiveOnly && listing->m_state == VmState::Live;
  }
  if (isGoneOnly) {
    return VmState::Gone;
  }
  return isLiveOnly ? VmState::Live : VmState::Leaving;
}

void AddInconsistencies(const std::vector<const VmListing*>& aListings,
                        std::set<std::string>& aInconsistencies)
{
  const VmListing& first = *aListings.front();
  for (const VmListing* listing : aListings) {
    if (listing->m_state != first.m_state) {
      aInconsistencies.insert(
        fmt::format("listed both {} and {}", ToName(first.m_state), ToName(listing->m_state)));
    }
    if (listing->m_address != first.m_address || listing->m_zone != first.m_zone) {
      aInconsistencies.insert("listed with different addresses or zones");
    }
  }
}

/// Keeps the previous rack when the list has none, and the previous zone when the list has another
/// one.
VmListing ReconcileListing(const VmListing& aPrevious,
                           const VmListing& aListing,
                           std::set<std::string>& aInconsistencies)
{
  VmListing merged = aListing;
  if (aListing.m_rack.empty()) {
    merged.m_rack = aPrevious.m_rack;
  }
  if (!aPrevious.m_zone.empty() && aListing.m_zone != aPrevious.m_zone) {
    aInconsistencies.insert(
      fmt::format("zone changed from {} to {}", aPrevious.m_zone, aListing.m_zone));
    merged.m_zone = aPrevious.m_zone;
  }
  return merged;
}

} // namespace

void VmInventory::Update(const std::vector<VmListing>& aList, TimePoint aNow)
{
  m_hasVmList = true;
  std::map<std::string, std::vector<const VmListing*>> listings;
  for (const VmListing& listing : aList) {
    listings[listing.m_name].push_back(&listing);
  }
  for (const auto& [name, vmListings] : listings) {
    MergeListings(vmListings);
  }
  for (auto& [name, vm] : m_vms) {
    if (!listings.contains(name)) {
      MarkMissing(vm, aNow);
    }
  }
}

void VmInventory::MergeListings(const std::vector<const VmListing*>& aListings)
{
  ReconciledVm& vm = m_vms[aListings.front()->m_name];
  const bool wasGone = vm.m_listing.m_state == VmState::Gone;
  const VmListing previous = wasGone ? VmListing{} : vm.m_listing;
  vm.m_inconsistencies.clear();
  vm.m_isMissing = false;
  AddInconsistencies(aListings, vm.m_inconsistencies);
  vm.m_listing = ReconcileListing(previous, *aListings.front(), vm.m_inconsistencies);
  vm.m_listing.m_state = CombinedState(aListings);
  if (vm.m_listing.m_rack.empty()) {
    vm.m_inconsistencies.insert("rack unknown");
  }
}

void VmInventory::MarkMissing(ReconciledVm& aVm, TimePoint aNow) const
{
  if (!aVm.m_isMissing) {
    aVm.m_isMissing = true;
    aVm.m_missingSince = aNow;
  }
  if (aNow - aVm.m_missingSince >= m_missingGrace && aVm.m_listing.m_state != VmState::Gone) {
    aVm.m_inconsistencies.insert("missing from the list");
  }
}

const ReconciledVm* VmInventory::Find(const std::string& aVm) const
{
  const auto found = m_vms.find(aVm);
  return found == m_vms.end() ? nullptr : &found->second;
}

bool VmInventory::IsGone(const std::string& aVm) const
{
  const ReconciledVm* vm = Find(aVm);
  return vm && vm->m_listing.m_state == VmState::Gone;
}

} // namespace mustardtray
