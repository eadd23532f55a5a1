#pragma once

/// Counters, gauges and histograms of one process, implemented with prometheus-cpp. Thread-safe.

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "mustardtray/process/Time.h"

namespace prometheus {
class Registry;
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace mustardtray {

using MetricLabels = std::map<std::string, std::string>;

/// Registry of one process. The returned metrics live as long as the registry, so that frequently
/// executed code can look them up once.
class Metrics
{
public:
  Metrics();
  ~Metrics();

  prometheus::Counter& Counter(const std::string& aName,
                               const std::string& aHelp,
                               const MetricLabels& aLabels = {});
  prometheus::Gauge& Gauge(const std::string& aName,
                           const std::string& aHelp,
                           const MetricLabels& aLabels = {});
  /// A histogram of seconds with buckets from 0.1 ms to 30 s.
  prometheus::Histogram& Seconds(const std::string& aName,
                                 const std::string& aHelp,
                                 const MetricLabels& aLabels = {});

  /// All metrics in the Prometheus text exposition format.
  std::string Text() const;

private:
  std::unique_ptr<prometheus::Registry> m_registry;
};

} // namespace mustardtray
