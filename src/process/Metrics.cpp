#include "mustardtray/process/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace mustardtray {

namespace {

const prometheus::Histogram::BucketBoundaries kSecondsBuckets{ 0.0001, 0.0003, 0.001, 0.003,
                                                               0.01,   0.03,   0.1,   0.3,
                                                               1,      3,      10,    30 };

} // namespace

Metrics::Metrics()
  : m_registry(std::make_unique<prometheus::Registry>())
{
}

Metrics::~Metrics() = default;

prometheus::Counter& Metrics::Counter(const std::string& aName,
                                      const std::string& aHelp,
                                      const MetricLabels& aLabels)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(*m_registry).Add(aLabels);
}

prometheus::Gauge& Metrics::Gauge(const std::string& aName,
                                  const std::string& aHelp,
                                  const MetricLabels& aLabels)
{
  return prometheus::BuildGauge().Name(aName).Help(aHelp).Register(*m_registry).Add(aLabels);
}

prometheus::Histogram& Metrics::Seconds(const std::string& aName,
                                        const std::string& aHelp,
                                        const MetricLabels& aLabels)
{
  return prometheus::BuildHistogram()
    .Name(aName)
    .Help(aHelp)
    .Register(*m_registry)
    .Add(aLabels, kSecondsBuckets);
}

std::string Metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace mustardtray
