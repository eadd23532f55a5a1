#pragma once

/// Logs the use of the store, and when the control thread runs late and which work held it up.

#include <functional>

#include "node/NodeContext.h"

namespace mustardtray::node {

class NodeMonitor
{
public:
  /// aCountPools: returns the number of pools that this node owns.
  NodeMonitor(NodeContext& aContext, std::function<std::size_t()> aCountPools);

private:
  void CheckDelay();
  void LogSummary() const;

  NodeContext& m_context;
  std::function<std::size_t()> m_countPools;
  TimePoint m_checkedAt{};
  TimePoint m_loggedAt{};
  Micros m_longestDelay{ 0 };       ///< Since m_loggedAt.
  Micros m_processorTimeAtLog{ 0 }; ///< Of this process up to m_loggedAt.
  TimerHandle m_delayTimer;
  TimerHandle m_summaryTimer;
};

} // namespace mustardtray::node
