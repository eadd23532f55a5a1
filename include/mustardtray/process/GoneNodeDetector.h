#pragma once

/// Tells whether an incarnation of a daemon is confirmed as gone, so that others may take over what
/// it owned. Missing heartbeats are no proof: a node that is frozen or cut off may come back.

#include <map>
#include <string>
#include <vector>

#include "mustardtray/process/KeyOwnership.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

struct GoneNodeDetectorOptions
{
  Millis m_listLag{ 120'000 };           ///< Upper bound of the VM list's age.
  Millis m_unresponsivePeriod{ 10'000 }; ///< A node heard from within this time is not gone.
};

/// Relies on two guarantees of the platform: a VM that was listed as gone never runs again, and no
/// two VMs run under the same name at once.
class GoneNodeDetector
{
public:
  GoneNodeDetector(std::string aSelf, GoneNodeDetectorOptions aOptions = {});

  /// The incarnation was found in the table or in a peer's message. Incarnations of a node
  /// increase: a daemon registers with the incarnation in the table plus one.
  void OnIncarnationSeen(const NodeIncarnation& aNode, TimePoint aNow);
  /// The incarnation is alive: it sent a heartbeat or renewed its row.
  void OnAlive(const NodeIncarnation& aNode, TimePoint aNow);
  /// Takes a complete VM list that was requested at aRequestedAt.
  void OnVmList(const std::vector<VmListing>& aList, TimePoint aRequestedAt);

  bool IsGone(const NodeIncarnation& aNode, TimePoint aNow) const;

private:
  struct Node
  {
    std::uint64_t m_incarnation = 0; ///< Newest known incarnation.
    TimePoint m_firstSeen{};         ///< When the newest incarnation was first seen.
    TimePoint m_lastHeardAt = TimePoint::min();
  };
  bool IsListedGone(const std::string& aName) const;

  std::string m_self;
  GoneNodeDetectorOptions m_options;
  std::map<std::string, Node> m_nodes;
  std::map<std::string, bool> m_isListedByVm; ///< By VM name: whether any line is live or leaving.
  TimePoint m_listRequestedAt = TimePoint::min();
};

} // namespace mustardtray
