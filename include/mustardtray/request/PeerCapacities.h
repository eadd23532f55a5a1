#pragma once

/// Free capacity of the other entry VMs for a service, from their last reports.

#include <string>
#include <vector>

#include "mustardtray/process/Time.h"
#include "mustardtray/request/Routing.h"
#include "mustardtray/version/Configuration.h"

namespace mustardtray {

class PeerCapacities
{
public:
  void Set(std::vector<PeerCapacity> aPeers) { m_peers = std::move(aPeers); }
  bool HasFreeCapacity(Urgency aUrgency, const Hops& aHops) const;
  /// True if the remaining hops allow forwarding to any peer, regardless of its free capacity.
  bool HasEligiblePeer(const Hops& aHops) const;
  /// Reserves capacity at a peer whose round trip time is below aWait, preferably in this zone.
  /// Returns nullptr if there is none.
  const PeerCapacity* Take(Urgency aUrgency, const Hops& aHops, Micros aWait);
  /// Releases the capacity of a request that the peer has answered.
  void Release(const std::string& aPeer);
  /// Assumes no capacity until the next report, after the peer refused a request or was
  /// unreachable.
  void ClearCapacity(const std::string& aPeer);

private:
  PeerCapacity* FindLargest(Urgency aUrgency, bool aSameZone, Micros aWait);

  std::vector<PeerCapacity> m_peers;
};

} // namespace mustardtray
