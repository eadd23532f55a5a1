#pragma once

/// What this entry VM sees of the target VMs of its zone, by probing their minions.

#include <map>
#include <string>

#include "mustardtray/process/fleet/FleetView.h"
#include "mustardtray/version/CompiledConfiguration.h"
#include "process/TargetProber.h"

namespace mustardtray {

/// Lives on the control thread.
class TargetHealth
{
public:
  explicit TargetHealth(asio::io_context& aContext)
    : m_prober(aContext)
  {
  }

  /// Probes, once a heartbeat: VMs that are out or in doubt each time, the others in turn.
  void ProbeSome(const std::string& aZone,
                 const FleetView& aFleet,
                 const CompiledConfiguration& aConfiguration);
  VmHealth Of(const std::string& aVm) const;

private:
  struct Seen
  {
    int m_failures = 0; ///< In a row.
    VmHealth m_health = VmHealth::Unknown;
  };
  void Probe(const VmRecord& aVm, const CompiledConfiguration& aConfiguration);

  TargetProber m_prober;
  std::map<std::string, Seen> m_seen; ///< By VM.
  std::string m_nextActive;           ///< Where the turn of the active VMs goes on.
};

} // namespace mustardtray
