#include "mustardtray/process/fleet/DrainGate.h"

#include <set>

#include <fmt/format.h>

namespace mustardtray {

namespace {

/// Returns whether another entry VM has started later at the same address.
bool IsReplaced(const FleetView& aView, const EntryReport& aReport)
{
  if (aReport.m_address.empty()) {
    return false;
  }
  for (const auto& [name, row] : aView.m_reports) {
    const EntryReport& other = row.m_value;
    if (name != aReport.m_entryVm && other.m_address == aReport.m_address &&
        other.m_incarnation > aReport.m_incarnation) {
      return true;
    }
  }
  return false;
}

/// The inventory and the watch must agree. The inventory excludes a list from which the entry VM is
/// only missing; the watch excludes a line that may refer to an earlier VM of the same name.
bool IsConfirmedGone(const EntryVmObservations& aObservations, const std::string& aEntryVm)
{
  const auto found = aObservations.m_view.m_reports.find(aEntryVm);
  const bool isListedGone = aObservations.m_inventory.IsGone(aEntryVm);
  if (found == aObservations.m_view.m_reports.end()) {
    return isListedGone;
  }
  const EntryReport& report = found->second.m_value;
  const NodeIncarnation node{ aEntryVm, report.m_incarnation };
  return IsReplaced(aObservations.m_view, report) ||
         (isListedGone && aObservations.m_goneNodeDetector.IsGone(node, aObservations.m_now));
}

/// Returns the entry VMs of a zone that are not confirmed as gone.
std::set<std::string> RelevantEntryVms(const EntryVmObservations& aObservations,
                                       const std::string& aZone)
{
  std::set<std::string> names;
  for (const auto& [name, vm] : aObservations.m_inventory.Vms()) {
    if (vm.m_listing.m_role == VmRole::Entry && vm.m_listing.m_zone == aZone) {
      names.insert(name);
    }
  }
  for (const auto& [name, row] : aObservations.m_view.m_reports) {
    if (row.m_value.m_zone == aZone) {
      names.insert(name);
    }
  }
  std::erase_if(
    names, [&aObservations](const auto& aName) { return IsConfirmedGone(aObservations, aName); });
  return names;
}

const TargetReport* FindReport(const FleetView& aView,
                               const std::string& aEntryVm,
                               const std::string& aVm)
{
  const auto report = aView.m_reports.find(aEntryVm);
  if (report == aView.m_reports.end()) {
    return nullptr;
  }
  const auto target = report->second.m_value.m_targets.find(aVm);
  return target == report->second.m_value.m_targets.end() ? nullptr : &target->second;
}

struct HealthVotes
{
  int m_voters = 0;
  int m_healthy = 0;
  int m_unreachable = 0;
};

HealthVotes CountVotes(const EntryVmObservations& aObservations, const VmRecord& aVm)
{
  HealthVotes votes;
  for (const std::string& entryVm : RelevantEntryVms(aObservations, aVm.m_zone)) {
    ++votes.m_voters;
    const TargetReport* report = FindReport(aObservations.m_view, entryVm, aVm.m_name);
    if (!report || (aVm.IsOut() && report->m_generation != aVm.m_generation)) {
      continue;
    }
    votes.m_healthy += report->m_health == VmHealth::Healthy ? 1 : 0;
    votes.m_unreachable += report->m_health == VmHealth::Unreachable ? 1 : 0;
  }
  return votes;
}

} // namespace

std::optional<std::string> FindStopBlocker(const EntryVmObservations& aObservations,
                                           const VmRecord& aVm)
{
  if (!aObservations.m_inventory.HasVmList()) {
    return "the platform's VM list has not been read yet";
  }
  for (const std::string& entryVm : RelevantEntryVms(aObservations, aVm.m_zone)) {
    const TargetReport* report = FindReport(aObservations.m_view, entryVm, aVm.m_name);
    if (!report || report->m_generation != aVm.m_generation) {
      return fmt::format("entry VM {} has not acknowledged the drain and is not confirmed as gone",
                         entryVm);
    }
    if (report->m_inFlight > 0) {
      return fmt::format("entry VM {} has {} requests in flight", entryVm, report->m_inFlight);
    }
  }
  return std::nullopt;
}

VmHealth EvaluateHealth(const EntryVmObservations& aObservations, const VmRecord& aVm)
{
  if (aObservations.m_inventory.IsGone(aVm.m_name)) {
    return VmHealth::Unreachable;
  }
  const HealthVotes votes = CountVotes(aObservations, aVm);
  if (aVm.IsOut() || aVm.m_isDown) {
    if (votes.m_healthy > votes.m_unreachable) {
      return VmHealth::Healthy;
    }
    return votes.m_unreachable > 0 ? VmHealth::Unreachable : VmHealth::Unknown;
  }
  const bool isUnreachable = votes.m_unreachable > 0 && votes.m_unreachable * 2 >= votes.m_voters;
  return isUnreachable ? VmHealth::Unreachable : VmHealth::Healthy;
}

} // namespace mustardtray
