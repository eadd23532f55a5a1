#include "process/TargetHealth.h"

namespace mustardtray {

namespace {

constexpr Millis kProbeTimeout{ 500 };
constexpr int kFailuresUntilUnreachable = 2;
/// Number of healthy active VMs that each call probes.
constexpr std::size_t kHealthyProbesPerCall = 2;

} // namespace

void TargetHealth::ProbeDueVms(const std::string& aZone,
                               const FleetView& aFleet,
                               const CompiledConfiguration& aConfiguration)
{
  std::vector<const VmRecord*> healthyVms;
  std::size_t first = 0;
  for (const auto& [name, row] : aFleet.m_vms) {
    const VmRecord& vm = row.m_value;
    if (vm.m_zone != aZone) {
      continue;
    }
    const bool isProbedEachCall = vm.IsOut() || vm.m_isDown || HealthOf(name) != VmHealth::Healthy;
    if (isProbedEachCall) {
      Probe(vm, aConfiguration);
      continue;
    }
    first = name < m_nextHealthyVm ? healthyVms.size() + 1 : first;
    healthyVms.push_back(&vm);
  }
  for (std::size_t i = 0; i < std::min(kHealthyProbesPerCall, healthyVms.size()); ++i) {
    const VmRecord& vm = *healthyVms[(first + i) % healthyVms.size()];
    Probe(vm, aConfiguration);
    m_nextHealthyVm = vm.m_name + '\0';
  }
}

VmHealth TargetHealth::HealthOf(const std::string& aVm) const
{
  const auto found = m_historyByVm.find(aVm);
  return found == m_historyByVm.end() ? VmHealth::Unknown : found->second.m_health;
}

void TargetHealth::Probe(const VmRecord& aVm, const CompiledConfiguration& aConfiguration)
{
  const std::vector<std::string> services = aConfiguration.ServicesOn(aVm.m_name);
  if (services.empty()) {
    m_historyByVm[aVm.m_name].m_health = VmHealth::Healthy;
    return;
  }
  const std::uint16_t port = aConfiguration.Source().m_services.at(services.front()).m_port;
  m_prober.Probe({ aVm.m_name, aVm.m_address, port },
                 kProbeTimeout,
                 [this, name = aVm.m_name](bool aIsReachable) {
                   ProbeHistory& history = m_historyByVm[name];
                   history.m_failures = aIsReachable ? 0 : history.m_failures + 1;
                   if (aIsReachable) {
                     history.m_health = VmHealth::Healthy;
                   } else if (history.m_failures >= kFailuresUntilUnreachable) {
                     history.m_health = VmHealth::Unreachable;
                   }
                 });
}

} // namespace mustardtray
