#pragma once

/// What a node knows of the other entry VMs: from the table's rows and from their heartbeats. Pure:
/// fed with events and the time, it decides whom to send heartbeats and who may be routed to.

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
  Millis m_aliveFor{ 2'000 };         ///< After a heartbeat a peer may be routed to for this long.
  Millis m_forgottenAfter{ 600'000 }; ///< A peer without a row that was silent this long.
};

/// One other entry VM.
struct Peer
{
  NodeInfo m_info;
  Heartbeat m_last; ///< Its last heartbeat.
  TimePoint m_lastHeard = TimePoint::min();
  Micros m_roundTrip{ 0 };
  bool m_hasRow = false;
};

class PeerTable
{
public:
  PeerTable(std::string aSelf, std::string aZone, PeerTableOptions aOptions = {});

  /// A row under kNodeRowPrefix. One of an older incarnation than the known one is ignored.
  void OnRow(const NodeInfo& aInfo);
  void OnRowDeleted(const std::string& aNode);
  /// aRoundTrip is nothing for a heartbeat that came in by itself.
  void OnHeartbeat(TimePoint aNow, const Heartbeat& aHeartbeat, std::optional<Micros> aRoundTrip);
  /// Forgets peers that have neither a row nor been heard from for long.
  void Expire(TimePoint aNow);

  /// Peers to send a heartbeat now: all of this zone, and one of each other zone in turn, so that
  /// the messages of a node grow with the zones and not with the nodes.
  std::vector<NodeInfo> HeartbeatTargets();
  bool IsAlive(TimePoint aNow, const Peer& aPeer) const;
  const std::map<std::string, Peer>& All() const { return m_peers; }

  /// Where each peer takes forwarded requests, also those that are leaving: they may own keys.
  std::map<std::string, PeerEndpoint> Endpoints() const;
  /// Their free slots, by service.
  std::map<std::string, std::vector<PeerCapacity>> Rooms(TimePoint aNow) const;

private:
  std::string m_self;
  std::string m_zone;
  PeerTableOptions m_options;
  std::map<std::string, Peer> m_peers; ///< By node.
  std::map<std::string, std::size_t> m_nextOfZone;
};

} // namespace mustardtray
