#include "mustardtray/request/PeerRooms.h"

namespace mustardtray {

namespace {

int Room(const PeerRoom& aPeer, Urgency aUrgency)
{
  return aUrgency == Urgency::Urgent ? aPeer.m_freeUrgent : aPeer.m_freeMayWait;
}

bool HopAllowed(const PeerRoom& aPeer, const Hops& aHops)
{
  return aPeer.m_sameZone ? !aHops.m_withinZone : !aHops.m_acrossZones;
}

} // namespace

bool PeerRooms::HasRoom(Urgency aUrgency, const Hops& aHops) const
{
  for (const PeerRoom& peer : m_peers) {
    if (Room(peer, aUrgency) > 0 && HopAllowed(peer, aHops)) {
      return true;
    }
  }
  return false;
}

PeerRoom* PeerRooms::Best(Urgency aUrgency, bool aSameZone, Micros aWait)
{
  PeerRoom* best = nullptr;
  for (PeerRoom& peer : m_peers) {
    const int room = Room(peer, aUrgency);
    if (peer.m_sameZone != aSameZone || room <= 0 || peer.m_roundTrip >= aWait) {
      continue;
    }
    if (!best || room > Room(*best, aUrgency)) {
      best = &peer;
    }
  }
  return best;
}

const PeerRoom* PeerRooms::Take(Urgency aUrgency, const Hops& aHops, Micros aWait)
{
  PeerRoom* peer = aHops.m_withinZone ? nullptr : Best(aUrgency, true, aWait);
  if (!peer && !aHops.m_acrossZones) {
    peer = Best(aUrgency, false, aWait);
  }
  if (peer) {
    --peer->m_freeUrgent;
    --peer->m_freeMayWait;
  }
  return peer;
}

void PeerRooms::SetFull(const std::string& aPeer)
{
  for (PeerRoom& peer : m_peers) {
    if (peer.m_id == aPeer) {
      peer.m_freeUrgent = 0;
      peer.m_freeMayWait = 0;
    }
  }
}

} // namespace mustardtray
