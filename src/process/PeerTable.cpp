#include "mustardtray/process/PeerTable.h"

namespace mustardtray {

PeerTable::PeerTable(std::string aSelf, std::string aZone, PeerTableOptions aOptions)
  : m_self(std::move(aSelf))
  , m_zone(std::move(aZone))
  , m_options(aOptions)
{
}

void PeerTable::OnRow(const NodeInfo& aInfo)
{
  if (aInfo.m_id.m_node == m_self) {
    return;
  }
  Peer& peer = m_peers[aInfo.m_id.m_node];
  peer.m_hasRow = true;
  if (aInfo.m_id.m_incarnation >= peer.m_info.m_id.m_incarnation) {
    peer.m_info = aInfo;
  }
}

void PeerTable::OnRowDeleted(const std::string& aNode)
{
  const auto found = m_peers.find(aNode);
  if (found != m_peers.end()) {
    found->second.m_hasRow = false;
  }
}

void PeerTable::OnHeartbeat(TimePoint aNow,
                            const Heartbeat& aHeartbeat,
                            std::optional<Micros> aRoundTrip)
{
  const NodeInfo& sender = aHeartbeat.m_sender;
  if (sender.m_id.m_node == m_self) {
    return;
  }
  Peer& peer = m_peers[sender.m_id.m_node];
  const bool isOld = sender.m_id.m_incarnation < peer.m_info.m_id.m_incarnation;
  if (isOld) {
    return;
  }
  peer.m_info = sender;
  peer.m_lastHeartbeat = aHeartbeat;
  peer.m_lastHeardAt = aNow;
  peer.m_roundTrip = aRoundTrip.value_or(peer.m_roundTrip);
}

void PeerTable::Expire(TimePoint aNow)
{
  std::erase_if(m_peers, [&](const auto& aEntry) {
    const Peer& peer = aEntry.second;
    const bool isUnresponsive = peer.m_lastHeardAt == TimePoint::min() ||
                                peer.m_lastHeardAt + m_options.m_expiryTimeout < aNow;
    return !peer.m_hasRow && isUnresponsive;
  });
}

std::vector<NodeInfo> PeerTable::HeartbeatTargets()
{
  std::vector<NodeInfo> targets;
  std::map<std::string, std::vector<const NodeInfo*>> nodesByZone;
  for (const auto& [node, peer] : m_peers) {
    if (peer.m_info.m_zone == m_zone) {
      targets.push_back(peer.m_info);
    } else {
      nodesByZone[peer.m_info.m_zone].push_back(&peer.m_info);
    }
  }
  for (const auto& [zone, nodes] : nodesByZone) {
    targets.push_back(*nodes[m_nextIndexByZone[zone]++ % nodes.size()]);
  }
  return targets;
}

bool PeerTable::IsAlive(TimePoint aNow, const Peer& aPeer) const
{
  const bool hasBeenHeard = aPeer.m_lastHeardAt != TimePoint::min();
  return hasBeenHeard && aNow < aPeer.m_lastHeardAt + m_options.m_livenessTimeout &&
         !aPeer.m_lastHeartbeat.m_isLeaving;
}

std::map<std::string, PeerEndpoint> PeerTable::Endpoints() const
{
  std::map<std::string, PeerEndpoint> endpoints;
  for (const auto& [node, peer] : m_peers) {
    if (!peer.m_info.m_forwardUrl.empty()) {
      endpoints[node] = { peer.m_info.m_id,
                          peer.m_info.m_forwardUrl,
                          peer.m_info.m_zone == m_zone };
    }
  }
  return endpoints;
}

std::map<std::string, std::vector<PeerCapacity>> PeerTable::FreeCapacities(TimePoint aNow) const
{
  std::map<std::string, std::vector<PeerCapacity>> capacities;
  for (const auto& [node, peer] : m_peers) {
    if (!IsAlive(aNow, peer)) {
      continue;
    }
    for (const auto& [service, free] : peer.m_lastHeartbeat.m_freeSlots) {
      capacities[service].push_back(
        { node, peer.m_info.m_zone == m_zone, free.m_urgent, free.m_mayWait, peer.m_roundTrip });
    }
  }
  return capacities;
}

} // namespace mustardtray
