#pragma once

/// Room that other entry VMs have for a service, as far as this one knows.

#include <string>
#include <vector>

#include "mustardtray/process/Time.h"
#include "mustardtray/request/Routing.h"
#include "mustardtray/version/Configuration.h"

namespace mustardtray {

class PeerRooms
{
public:
  void Set(std::vector<PeerRoom> aPeers) { m_peers = std::move(aPeers); }
  bool HasRoom(Urgency aUrgency, const Hops& aHops) const;
  /// Takes room at a peer that is nearer than aWait: in this zone first, then in another.
  /// nullptr when there is none.
  const PeerRoom* Take(Urgency aUrgency, const Hops& aHops, Micros aWait);
  /// The peer refused or could not be reached: no room until the next report.
  void SetFull(const std::string& aPeer);

private:
  PeerRoom* Best(Urgency aUrgency, bool aSameZone, Micros aWait);

  std::vector<PeerRoom> m_peers;
};

} // namespace mustardtray
