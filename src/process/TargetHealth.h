#pragma once

/// Health of the target VMs of the zone, as this entry VM sees it by probing their minions.

#include <map>
#include <string>

#include "mustardtray/process/fleet/FleetView.h"
#include "mustardtray/version/CompiledConfiguration.h"
#include "process/TargetProber.h"

namespace mustardtray {

/// Used on the control thread only.
class TargetHealth
{
public:
  explicit TargetHealth(asio::io_context& aContext)
    : m_prober(aContext)
  {
  }

  /// Must be called once per heartbeat period. Probes the VMs that are out of service, down or not
  /// known to be healthy in each call, and the others in turn.
  void ProbeDueVms(const std::string& aZone,
                   const FleetView& aFleet,
                   const CompiledConfiguration& aConfiguration);
  VmHealth HealthOf(const std::string& aVm) const;

private:
  struct ProbeHistory
  {
    int m_failures = 0; ///< Consecutive failures.
    VmHealth m_health = VmHealth::Unknown;
  };
  void Probe(const VmRecord& aVm, const CompiledConfiguration& aConfiguration);

  TargetProber m_prober;
  std::map<std::string, ProbeHistory> m_historyByVm; ///< By VM.
  std::string m_nextHealthyVm; ///< Name at which the next round of healthy VMs starts.
};

} // namespace mustardtray
