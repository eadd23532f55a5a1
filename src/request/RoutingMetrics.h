#pragma once

/// Metrics of routing decisions. Caches the metric of each set of labels.

#include <map>
#include <string>
#include <string_view>

#include "mustardtray/process/Metrics.h"
#include "mustardtray/process/Time.h"
#include "mustardtray/request/Routing.h"

namespace mustardtray {

class RoutingMetrics
{
public:
  explicit RoutingMetrics(Metrics& aMetrics)
    : m_metrics(aMetrics)
  {
  }

  /// Counts a response and records the time since the request's arrival. aOutcome is "answered",
  /// "not-run" or "unknown".
  void CountResponse(const std::string& aService,
                     const std::string& aQueue,
                     std::string_view aOutcome,
                     Micros aTime);
  void CountRoute(const std::string& aService, RouteReason aReason);
  void CountAttempt(const std::string& aService, AttemptOutcome aOutcome);
  void CountKeyDecision(std::string_view aDecision);
  void SetLoad(const std::string& aService, const ServiceLoad& aLoad);
  void SetActive(std::size_t aActive);

private:
  prometheus::Counter& CounterFor(const std::string& aName,
                                  const std::string& aHelp,
                                  MetricLabels aLabels);
  prometheus::Gauge& GaugeFor(const std::string& aName,
                              const std::string& aHelp,
                              MetricLabels aLabels);

  Metrics& m_metrics;
  std::map<std::string, prometheus::Counter*> m_counters;
  std::map<std::string, prometheus::Gauge*> m_gauges;
  std::map<std::string, prometheus::Histogram*> m_histograms;
};

} // namespace mustardtray
