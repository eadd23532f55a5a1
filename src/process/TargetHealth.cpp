#include "process/TargetHealth.h"

namespace mustardtray {

namespace {

constexpr Millis kProbeTimeout{ 500 };
constexpr int kFailuresToUnreachable = 2;
/// Healthy active VMs probed at each turn.
constexpr std::size_t kActivePerTurn = 2;

} // namespace

void TargetHealth::ProbeSome(const std::string& aZone,
                             const FleetView& aFleet,
                             const CompiledConfiguration& aConfiguration)
{
  std::vector<const VmRecord*> inTurn;
  std::size_t first = 0;
  for (const auto& [name, row] : aFleet.m_vms) {
    const VmRecord& vm = row.m_value;
    if (vm.m_zone != aZone) {
      continue;
    }
    const bool isInDoubt = vm.IsOut() || vm.m_down || Of(name) != VmHealth::Healthy;
    if (isInDoubt) {
      Probe(vm, aConfiguration);
      continue;
    }
    first = name < m_nextActive ? inTurn.size() + 1 : first;
    inTurn.push_back(&vm);
  }
  for (std::size_t i = 0; i < std::min(kActivePerTurn, inTurn.size()); ++i) {
    const VmRecord& vm = *inTurn[(first + i) % inTurn.size()];
    Probe(vm, aConfiguration);
    m_nextActive = vm.m_name + '\0';
  }
}

VmHealth TargetHealth::Of(const std::string& aVm) const
{
  const auto found = m_seen.find(aVm);
  return found == m_seen.end() ? VmHealth::Unknown : found->second.m_health;
}

void TargetHealth::Probe(const VmRecord& aVm, const CompiledConfiguration& aConfiguration)
{
  const std::vector<std::string> services = aConfiguration.ServicesOn(aVm.m_name);
  if (services.empty()) {
    m_seen[aVm.m_name].m_health = VmHealth::Healthy;
    return;
  }
  const std::uint16_t port = aConfiguration.Source().m_services.at(services.front()).m_port;
  m_prober.Probe({ aVm.m_name, aVm.m_address, port },
                 kProbeTimeout,
                 [this, name = aVm.m_name](bool aIsReachable) {
                   Seen& seen = m_seen[name];
                   seen.m_failures = aIsReachable ? 0 : seen.m_failures + 1;
                   if (aIsReachable) {
                     seen.m_health = VmHealth::Healthy;
                   } else if (seen.m_failures >= kFailuresToUnreachable) {
                     seen.m_health = VmHealth::Unreachable;
                   }
                 });
}

} // namespace mustardtray
