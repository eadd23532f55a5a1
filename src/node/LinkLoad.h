#pragma once

/// Measures what the node's link carries towards the node. Other nodes are told when it is much, so
/// that they ask before they send long messages.

#include "node/NodeContext.h"

namespace mustardtray::node {

class LinkLoad
{
public:
  explicit LinkLoad(NodeContext& aContext);

  /// For how long other nodes should ask before they send a job; 0 when they need not.
  Millis AskFirstTime() const;

private:
  void Measure();

  NodeContext& m_context;
  std::uint64_t m_received = 0; ///< Total at the latest measurement.
  TimePoint m_measuredAt{};
  double m_share = 0; ///< Smoothed share of the link in use.
  TimePoint m_askFirstUntil{};
  TimerHandle m_timer;
};

} // namespace mustardtray::node
