#include "request/RoutingMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

namespace mustardtray {

namespace {

std::string CacheKey(const std::string& aName, const MetricLabels& aLabels)
{
  std::string key = aName;
  for (const auto& [name, value] : aLabels) {
    key += '\0';
    key += value;
  }
  return key;
}

} // namespace

prometheus::Counter& RoutingMetrics::CounterFor(const std::string& aName,
                                                const std::string& aHelp,
                                                MetricLabels aLabels)
{
  prometheus::Counter*& counter = m_counters[CacheKey(aName, aLabels)];
  if (!counter) {
    counter = &m_metrics.Counter(aName, aHelp, aLabels);
  }
  return *counter;
}

prometheus::Gauge& RoutingMetrics::GaugeFor(const std::string& aName,
                                            const std::string& aHelp,
                                            MetricLabels aLabels)
{
  prometheus::Gauge*& gauge = m_gauges[CacheKey(aName, aLabels)];
  if (!gauge) {
    gauge = &m_metrics.Gauge(aName, aHelp, aLabels);
  }
  return *gauge;
}

void RoutingMetrics::CountResponse(const std::string& aService,
                                   const std::string& aQueue,
                                   std::string_view aOutcome,
                                   Micros aTime)
{
  CounterFor("mustardtray_requests_total",
             "Requests answered, by outcome.",
             { { "service", aService }, { "queue", aQueue }, { "outcome", std::string(aOutcome) } })
    .Increment();
  prometheus::Histogram*& histogram = m_histograms[aService];
  if (!histogram) {
    histogram = &m_metrics.Seconds("mustardtray_request_seconds",
                                   "Time from a request's arrival to its answer.",
                                   { { "service", aService } });
  }
  histogram->Observe(std::chrono::duration<double>(aTime).count());
}

void RoutingMetrics::CountRoute(const std::string& aService, RouteReason aReason)
{
  CounterFor("mustardtray_routes_total",
             "Routing decisions, by reason.",
             { { "service", aService }, { "reason", std::string(ToName(aReason)) } })
    .Increment();
}

void RoutingMetrics::CountAttempt(const std::string& aService, AttemptOutcome aOutcome)
{
  CounterFor("mustardtray_attempts_total",
             "Attempts at minions and at other entry VMs, by how they ended.",
             { { "service", aService }, { "outcome", std::string(ToName(aOutcome)) } })
    .Increment();
}

void RoutingMetrics::CountKeyDecision(std::string_view aDecision)
{
  CounterFor("mustardtray_key_decisions_total",
             "Decisions on idempotency keys.",
             { { "decision", std::string(aDecision) } })
    .Increment();
}

void RoutingMetrics::SetLoad(const std::string& aService, const ServiceLoad& aLoad)
{
  const auto set = [&](const std::string& aName, const std::string& aHelp, int aValue) {
    GaugeFor(aName, aHelp, { { "service", aService } }).Set(aValue);
  };
  set("mustardtray_slots", "Usable slots of this entry VM's share.", aLoad.m_slots);
  set("mustardtray_free_slots", "Free slots for urgent work.", aLoad.m_freeUrgent);
  set("mustardtray_reserved_slots", "Slots kept for urgent work.", aLoad.m_reserve);
  set("mustardtray_queued_urgent", "Urgent requests that wait.", aLoad.m_queuedUrgent);
  set("mustardtray_queued_may_wait", "May-wait requests that wait.", aLoad.m_queuedMayWait);
}

void RoutingMetrics::SetActive(std::size_t aActive)
{
  GaugeFor("mustardtray_active_requests", "Requests not answered yet.", {})
    .Set(static_cast<double>(aActive));
}

} // namespace mustardtray
