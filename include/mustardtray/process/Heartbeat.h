#pragma once

/// Heartbeats between entry VMs, sent about twice a second as JSON over HTTP. The response to a
/// heartbeat is the receiver's own heartbeat.

#include <cstdint>
#include <map>
#include <string>

#include "mustardtray/process/Error.h"
#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/KeyOwnership.h"

namespace mustardtray {

/// Identity and addresses of one run of a daemon. Also stored as the node's row in the table.
struct NodeInfo
{
  NodeIncarnation m_id; ///< Incarnation 0 until the node has registered in the table.
  std::string m_zone;
  std::string m_region;
  std::string m_peerUrl;    ///< For heartbeats and configuration.
  std::string m_forwardUrl; ///< For forwarded requests.

  bool operator==(const NodeInfo&) const = default;
};

/// Capacity and demand of one service at the sender. m_urgent and m_mayWait are the numbers of
/// requests that would start at once.
struct FreeSlots
{
  int m_urgent = 0;
  int m_mayWait = 0;
  double m_demand = 0; ///< Slots that the arriving requests keep busy.
};

struct Heartbeat
{
  NodeInfo m_sender;
  bool m_isLeaving = false; ///< The sender shuts down: forward nothing to it.
  std::uint64_t m_configVersion = 0;
  std::uint64_t m_acknowledgedShareGeneration = 0; ///< Of the zone's slot shares.
  std::uint64_t m_settledShareLossGeneration = 0;
  std::map<std::string, FreeSlots> m_freeSlots;           ///< By service.
  std::map<std::string, std::uint64_t> m_outOfServiceVms; ///< Row generation by VM name.
};

/// Rows of entry VMs are stored under this prefix followed by the node's name.
inline constexpr std::string_view kNodeRowPrefix = "node/";

Json ToJson(const NodeInfo& aInfo);
/// Errors: Invalid with the JSON pointer of the first fault.
Result<NodeInfo> ParseNodeInfo(const Json& aValue);
Json ToJson(const Heartbeat& aHeartbeat);
/// Errors: Invalid with the JSON pointer of the first fault.
Result<Heartbeat> ParseHeartbeat(const Json& aValue);

} // namespace mustardtray
