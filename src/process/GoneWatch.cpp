#include "mustardtray/process/GoneWatch.h"

namespace mustardtray {

GoneWatch::GoneWatch(std::string aSelf, GoneWatchOptions aOptions)
  : m_self(std::move(aSelf))
  , m_options(aOptions)
{
}

void GoneWatch::OnSeen(const NodeIncarnation& aNode, TimePoint aNow)
{
  Node& node = m_nodes[aNode.m_node];
  if (aNode.m_incarnation > node.m_incarnation) {
    node = Node{ aNode.m_incarnation, aNow, TimePoint::min() };
  }
}

void GoneWatch::OnHeard(const NodeIncarnation& aNode, TimePoint aNow)
{
  OnSeen(aNode, aNow);
  Node& node = m_nodes[aNode.m_node];
  if (node.m_incarnation == aNode.m_incarnation) {
    node.m_lastHeard = aNow;
  }
}

void GoneWatch::OnVmList(const std::vector<VmListing>& aList, TimePoint aAskedAt)
{
  if (aAskedAt < m_listAskedAt) {
    return;
  }
  m_listAskedAt = aAskedAt;
  m_listed.clear();
  for (const VmListing& listing : aList) {
    bool& isPresent = m_listed[listing.m_name];
    isPresent = isPresent || listing.m_state != VmState::Gone;
  }
}

bool GoneWatch::IsListedGone(const std::string& aName) const
{
  // A list that lacks the reader itself is cut short or older than this VM.
  const auto self = m_listed.find(m_self);
  if (self == m_listed.end() || !self->second) {
    return false;
  }
  const auto listed = m_listed.find(aName);
  return listed == m_listed.end() || !listed->second;
}

bool GoneWatch::IsGone(const NodeIncarnation& aNode, TimePoint aNow) const
{
  const auto found = m_nodes.find(aNode.m_node);
  if (found == m_nodes.end() || aNode.m_node == m_self) {
    return found != m_nodes.end() && found->second.m_incarnation > aNode.m_incarnation;
  }
  const Node& node = found->second;
  if (node.m_incarnation != aNode.m_incarnation) {
    return node.m_incarnation > aNode.m_incarnation;
  }
  // The list lags: a line "gone" may still mean the VM's predecessor of the same name.
  const bool meansThisOne = m_listAskedAt >= node.m_firstSeen + m_options.m_listLag;
  const bool isSilent =
    node.m_lastHeard == TimePoint::min() || node.m_lastHeard + m_options.m_silence <= aNow;
  return meansThisOne && isSilent && IsListedGone(aNode.m_node);
}

} // namespace mustardtray
