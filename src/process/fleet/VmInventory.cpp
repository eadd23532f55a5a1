#include "mustardtray/process/fleet/VmInventory.h"

#include <fmt/format.h>

namespace mustardtray {

namespace {

/// Live, leaving and gone in any mix but gone alone: the VM is still there and takes no more.
VmState CombinedState(const std::vector<const VmListing*>& aLines)
{
  bool isGoneOnly = true;
  bool isLiveOnly = true;
  for (const VmListing* line : aLines) {
    isGoneOnly = isGoneOnly && line->m_state == VmState::Gone;
    isLiveOnly = isLiveOnly && line->m_state == VmState::Live;
  }
  if (isGoneOnly) {
    return VmState::Gone;
  }
  return isLiveOnly ? VmState::Live : VmState::Leaving;
}

void NoteContradictions(const std::vector<const VmListing*>& aLines, std::set<std::string>& aFaults)
{
  const VmListing& first = *aLines.front();
  for (const VmListing* line : aLines) {
    if (line->m_state != first.m_state) {
      aFaults.insert(
        fmt::format("listed both {} and {}", ToName(first.m_state), ToName(line->m_state)));
    }
    if (line->m_address != first.m_address || line->m_zone != first.m_zone) {
      aFaults.insert("listed at two places");
    }
  }
}

/// Keeps what was known before where the list says nothing or something else.
VmListing Reconciled(const VmListing& aKnown,
                     const VmListing& aLine,
                     std::set<std::string>& aFaults)
{
  VmListing merged = aLine;
  if (aLine.m_rack.empty()) {
    merged.m_rack = aKnown.m_rack;
  }
  if (!aKnown.m_zone.empty() && aLine.m_zone != aKnown.m_zone) {
    aFaults.insert(fmt::format("zone changed from {} to {}", aKnown.m_zone, aLine.m_zone));
    merged.m_zone = aKnown.m_zone;
  }
  return merged;
}

} // namespace

void VmInventory::Update(const std::vector<VmListing>& aList, TimePoint aNow)
{
  m_isKnown = true;
  std::map<std::string, std::vector<const VmListing*>> lines;
  for (const VmListing& line : aList) {
    lines[line.m_name].push_back(&line);
  }
  for (const auto& [name, group] : lines) {
    Merge(group);
  }
  for (auto& [name, vm] : m_vms) {
    if (!lines.contains(name)) {
      MarkMissing(vm, aNow);
    }
  }
}

void VmInventory::Merge(const std::vector<const VmListing*>& aLines)
{
  BelievedVm& vm = m_vms[aLines.front()->m_name];
  const bool wasGone = vm.m_listing.m_state == VmState::Gone;
  const VmListing known = wasGone ? VmListing{} : vm.m_listing;
  vm.m_faults.clear();
  vm.m_isMissing = false;
  NoteContradictions(aLines, vm.m_faults);
  vm.m_listing = Reconciled(known, *aLines.front(), vm.m_faults);
  vm.m_listing.m_state = CombinedState(aLines);
  if (vm.m_listing.m_rack.empty()) {
    vm.m_faults.insert("rack unknown");
  }
}

void VmInventory::MarkMissing(BelievedVm& aVm, TimePoint aNow) const
{
  if (!aVm.m_isMissing) {
    aVm.m_isMissing = true;
    aVm.m_missingSince = aNow;
  }
  if (aNow - aVm.m_missingSince >= m_vanishGrace && aVm.m_listing.m_state != VmState::Gone) {
    aVm.m_faults.insert("missing from the list");
  }
}

const BelievedVm* VmInventory::Find(const std::string& aVm) const
{
  const auto found = m_vms.find(aVm);
  return found == m_vms.end() ? nullptr : &found->second;
}

bool VmInventory::IsGone(const std::string& aVm) const
{
  const BelievedVm* vm = Find(aVm);
  return vm && vm->m_listing.m_state == VmState::Gone;
}

} // namespace mustardtray
