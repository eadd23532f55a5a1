#pragma once

/// Tells whether a daemon's incarnation is surely gone, so that others may take over what it held.
/// Silence is no proof: a node that is frozen or cut off comes back.

#include <map>
#include <string>
#include <vector>

#include "mustardtray/process/KeyOwnership.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

struct GoneWatchOptions
{
  Millis m_listLag{ 120'000 }; ///< The VM list shows no state that is older.
  Millis m_silence{ 10'000 };  ///< A node heard from within this time is not gone.
};

/// Rests on two promises of the platform: a VM that was listed as gone never runs again, and no
/// two VMs run under one name.
class GoneWatch
{
public:
  GoneWatch(std::string aSelf, GoneWatchOptions aOptions = {});

  /// The incarnation stands in the table or in a peer's message. Incarnations of a node grow: a
  /// daemon registers with one more than the table holds.
  void OnSeen(const NodeIncarnation& aNode, TimePoint aNow);
  /// The incarnation itself gave a sign of life: a heartbeat, or a renewal of its row.
  void OnHeard(const NodeIncarnation& aNode, TimePoint aNow);
  /// The whole VM list came; it was asked for at aAskedAt.
  void OnVmList(const std::vector<VmListing>& aList, TimePoint aAskedAt);

  bool IsGone(const NodeIncarnation& aNode, TimePoint aNow) const;

private:
  struct Node
  {
    std::uint64_t m_incarnation = 0; ///< Newest that was seen.
    TimePoint m_firstSeen{};         ///< When the newest incarnation was first seen.
    TimePoint m_lastHeard = TimePoint::min();
  };
  bool IsListedGone(const std::string& aName) const;

  std::string m_self;
  GoneWatchOptions m_options;
  std::map<std::string, Node> m_nodes;
  std::map<std::string, bool> m_listed; ///< By VM name: whether any line says live or leaving.
  TimePoint m_listAskedAt = TimePoint::min();
};

} // namespace mustardtray
