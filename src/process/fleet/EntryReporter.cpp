#include "mustardtray/process/fleet/EntryReporter.h"

namespace mustardtray {

EntryReport BuildEntryReport(const EntryReport& aIdentity,
                             const FleetView& aView,
                             const std::map<std::string, LocalTargetStatus>& aTargets)
{
  EntryReport report = aIdentity;
  report.m_targets.clear();
  for (const auto& [name, row] : aView.m_vms) {
    const VmRecord& vm = row.m_value;
    if (vm.m_zone != aIdentity.m_zone) {
      continue;
    }
    const auto found = aTargets.find(name);
    const LocalTargetStatus local = found == aTargets.end() ? LocalTargetStatus{} : found->second;
    if (vm.IsOut() || vm.m_isDown || local.m_health == VmHealth::Unreachable) {
      report.m_targets[name] = TargetReport{ vm.m_generation, local.m_inFlight, local.m_health };
    }
  }
  return report;
}

} // namespace mustardtray
