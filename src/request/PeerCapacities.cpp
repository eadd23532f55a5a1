#include "mustardtray/request/PeerCapacities.h"

#include <algorithm>

namespace mustardtray {

namespace {

int FreeSlots(const PeerCapacity& aPeer, Urgency aUrgency)
{
  return aUrgency == Urgency::Urgent ? aPeer.m_freeUrgent : aPeer.m_freeMayWait;
}

bool IsHopAllowed(const PeerCapacity& aPeer, const Hops& aHops)
{
  return aPeer.m_isSameZone ? !aHops.m_withinZone : !aHops.m_acrossZones;
}

} // namespace

bool PeerCapacities::HasFreeCapacity(Urgency aUrgency, const Hops& aHops) const
{
  for (const PeerCapacity& peer : m_peers) {
    if (FreeSlots(peer, aUrgency) > 0 && IsHopAllowed(peer, aHops)) {
      return true;
    }
  }
  return false;
}

bool PeerCapacities::HasEligiblePeer(const Hops& aHops) const
{
  return std::any_of(m_peers.begin(), m_peers.end(), [&](const PeerCapacity& aPeer) {
    return IsHopAllowed(aPeer, aHops);
  });
}

void PeerCapacities::Release(const std::string& aPeer)
{
  for (PeerCapacity& peer : m_peers) {
    if (peer.m_id == aPeer) {
      ++peer.m_freeUrgent;
      ++peer.m_freeMayWait;
    }
  }
}

PeerCapacity* PeerCapacities::FindLargest(Urgency aUrgency, bool aSameZone, Micros aWait)
{
  PeerCapacity* best = nullptr;
  for (PeerCapacity& peer : m_peers) {
    const int freeSlots = FreeSlots(peer, aUrgency);
    if (peer.m_isSameZone != aSameZone || freeSlots <= 0 || peer.m_roundTrip >= aWait) {
      continue;
    }
    if (!best || freeSlots > FreeSlots(*best, aUrgency)) {
      best = &peer;
    }
  }
  return best;
}

const PeerCapacity* PeerCapacities::Take(Urgency aUrgency, const Hops& aHops, Micros aWait)
{
  PeerCapacity* peer = aHops.m_withinZone ? nullptr : FindLargest(aUrgency, true, aWait);
  if (!peer && !aHops.m_acrossZones) {
    peer = FindLargest(aUrgency, false, aWait);
  }
  if (peer) {
    --peer->m_freeUrgent;
    --peer->m_freeMayWait;
  }
  return peer;
}

void PeerCapacities::ClearCapacity(const std::string& aPeer)
{
  for (PeerCapacity& peer : m_peers) {
    if (peer.m_id == aPeer) {
      peer.m_freeUrgent = 0;
      peer.m_freeMayWait = 0;
    }
  }
}

} // namespace mustardtray
