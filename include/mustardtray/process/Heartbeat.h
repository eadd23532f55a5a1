#pragma once

/// What entry VMs tell each other directly, about twice a second, as JSON over HTTP. The answer to
/// a heartbeat is the receiver's own.

#include <cstdint>
#include <map>
#include <string>

#include "mustardtray/process/Error.h"
#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/KeyOwnership.h"

namespace mustardtray {

/// Where one run of a daemon can be reached. Also the table's row of the node.
struct NodeInfo
{
  NodeIncarnation m_id; ///< Incarnation 0 until the node has registered in the table.
  std::string m_zone;
  std::string m_region;
  std::string m_peerUrl;    ///< Heartbeats and configuration.
  std::string m_forwardUrl; ///< Forwarded requests.

  bool operator==(const NodeInfo&) const = default;
};

/// Of one service at the sender: requests that would start at once, and the demand.
struct FreeSlots
{
  int m_urgent = 0;
  int m_mayWait = 0;
  double m_demand = 0; ///< Slots kept busy by what arrives there.
};

struct Heartbeat
{
  NodeInfo m_sender;
  bool m_isLeaving = false; ///< The sender shuts down: nothing is to be forwarded to it.
  std::uint64_t m_configVersion = 0;
  std::uint64_t m_sharesAcknowledged = 0; ///< Generation of the zone's slot shares.
  std::uint64_t m_sharesSettledLoss = 0;
  std::map<std::string, FreeSlots> m_free;        ///< By service.
  std::map<std::string, std::uint64_t> m_leaving; ///< VMs of the zone out of service: generation.
};

/// Rows of entry VMs are stored under this prefix followed by the node's name.
inline constexpr std::string_view kNodeRowPrefix = "node/";

Json ToJson(const NodeInfo& aInfo);
/// Errors: Invalid with the pointer of the first fault.
Result<NodeInfo> ParseNodeInfo(const Json& aValue);
Json ToJson(const Heartbeat& aHeartbeat);
/// Errors: Invalid with the pointer of the first fault.
Result<Heartbeat> ParseHeartbeat(const Json& aValue);

} // namespace mustardtray
