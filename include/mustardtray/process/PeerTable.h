#pragma once

/// The other entry VMs as this node knows them from the table's rows and from their heartbeats.
/// Decides which peers get a heartbeat and which may be routed to. No I/O: events and the current
/// time are passed in.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mustardtray/process/Heartbeat.h"
#include "mustardtray/process/Time.h"
#include "mustardtray/request/RoutingSnapshot.h"

namespace mustardtray {

struct PeerTableOptions
{
  Millis m_livenessTimeout{ 2'000 }; ///< A peer is alive for this long after a heartbeat.
  Millis m_expiryTimeout{ 600'000 }; ///< Removes a peer without a row after this silence.
};

/// One other entry VM.
struct Peer
{
  NodeInfo m_info;
  Heartbeat m_lastHeartbeat;
  TimePoint m_lastHeardAt = TimePoint::min();
  Micros m_roundTrip{ 0 };
  bool m_hasRow = false;
};

class PeerTable
{
public:
  PeerTable(std::string aSelf, std::string aZone, PeerTableOptions aOptions = {});

  /// Takes a row under kNodeRowPrefix. A row of an older incarnation than the known one is ignored.
  void OnRow(const NodeInfo& aInfo);
  void OnRowDeleted(const std::string& aNode);
  /// aRoundTrip is empty for a heartbeat that is not the response to one of this node's own.
  void OnHeartbeat(TimePoint aNow, const Heartbeat& aHeartbeat, std::optional<Micros> aRoundTrip);
  /// Removes peers that have no row and have not been heard from for m_expiryTimeout.
  void Expire(TimePoint aNow);

  /// Peers to send a heartbeat to now: all of this zone and one of each other zone, round-robin.
  /// The number of messages to other zones grows with the number of zones, not of nodes.
  std::vector<NodeInfo> HeartbeatTargets();
  bool IsAlive(TimePoint aNow, const Peer& aPeer) const;
  const std::map<std::string, Peer>& All() const { return m_peers; }

  /// Where each peer accepts forwarded requests. Leaving peers are included: they may own keys.
  std::map<std::string, PeerEndpoint> Endpoints() const;
  /// Free slots of the peers that are alive, by service.
  std::map<std::string, std::vector<PeerCapacity>> FreeCapacities(TimePoint aNow) const;

private:
  std::string m_self;
  std::string m_zone;
  PeerTableOptions m_options;
  std::map<std::string, Peer> m_peers; ///< By node.
  std::map<std::string, std::size_t> m_nextIndexByZone;
};

} // namespace mustardtray
