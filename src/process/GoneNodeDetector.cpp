#include "mustardtray/process/GoneNodeDetector.h"

namespace mustardtray {

GoneNodeDetector::GoneNodeDetector(std::string aSelf, GoneNodeDetectorOptions aOptions)
  : m_self(std::move(aSelf))
  , m_options(aOptions)
{
}

void GoneNodeDetector::OnIncarnationSeen(const NodeIncarnation& aNode, TimePoint aNow)
{
  Node& node = m_nodes[aNode.m_node];
  if (aNode.m_incarnation > node.m_incarnation) {
    node = Node{ aNode.m_incarnation, aNow, TimePoint::min() };
  }
}

void GoneNodeDetector::OnAlive(const NodeIncarnation& aNode, TimePoint aNow)
{
  OnIncarnationSeen(aNode, aNow);
  Node& node = m_nodes[aNode.m_node];
  if (node.m_incarnation == aNode.m_incarnation) {
    node.m_lastHeardAt = aNow;
  }
}

void GoneNodeDetector::OnVmList(const std::vector<VmListing>& aList, TimePoint aRequestedAt)
{
  if (aRequestedAt < m_listRequestedAt) {
    return;
  }
  m_listRequestedAt = aRequestedAt;
  m_isListedByVm.clear();
  for (const VmListing& listing : aList) {
    bool& isPresent = m_isListedByVm[listing.m_name];
    isPresent = isPresent || listing.m_state != VmState::Gone;
  }
}

bool GoneNodeDetector::IsListedGone(const std::string& aName) const
{
  // A list without this node itself is truncated or older than this VM.
  const auto self = m_isListedByVm.find(m_self);
  if (self == m_isListedByVm.end() || !self->second) {
    return false;
  }
  const auto listed = m_isListedByVm.find(aName);
  return listed == m_isListedByVm.end() || !listed->second;
}

bool GoneNodeDetector::IsGone(const NodeIncarnation& aNode, TimePoint aNow) const
{
  const auto found = m_nodes.find(aNode.m_node);
  if (found == m_nodes.end() || aNode.m_node == m_self) {
    return found != m_nodes.end() && found->second.m_incarnation > aNode.m_incarnation;
  }
  const Node& node = found->second;
  if (node.m_incarnation != aNode.m_incarnation) {
    return node.m_incarnation > aNode.m_incarnation;
  }
  // The list lags: a line "gone" may still refer to an earlier VM of the same name.
  const bool isListNewEnough = m_listRequestedAt >= node.m_firstSeen + m_options.m_listLag;
  const bool isUnresponsive = node.m_lastHeardAt == TimePoint::min() ||
                              node.m_lastHeardAt + m_options.m_unresponsivePeriod <= aNow;
  return isListNewEnough && isUnresponsive && IsListedGone(aNode.m_node);
}

} // namespace mustardtray
