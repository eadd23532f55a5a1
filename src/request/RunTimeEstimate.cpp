#include "mustardtray/request/RunTimeEstimate.h"

#include <algorithm>
#include <cmath>

namespace mustardtray {

namespace {

constexpr double kMeanGain = 0.05;
constexpr double kDeviationGain = 0.1;
constexpr double kUpperEstimateDeviations = 2;
constexpr Micros kMaxSampleAge = std::chrono::seconds(10);

Micros ToMicros(double aValue)
{
  return Micros(static_cast<Micros::rep>(aValue));
}

} // namespace

RunTimeEstimate::RunTimeEstimate(Micros aHint)
  : m_hint(aHint)
{
}

void RunTimeEstimate::Add(TimePoint aNow, Micros aRunTime)
{
  const auto run = static_cast<double>(aRunTime.count());
  if (!m_isMeasured) {
    m_mean = run;
    m_deviation = run / 2;
    m_isMeasured = true;
  } else {
    m_deviation += kDeviationGain * (std::abs(run - m_mean) - m_deviation);
    m_mean += kMeanGain * (run - m_mean);
  }
  m_lastSample = aNow;
}

bool RunTimeEstimate::IsStale(TimePoint aNow) const
{
  return !m_isMeasured || aNow - m_lastSample > kMaxSampleAge;
}

Micros RunTimeEstimate::Mean(TimePoint aNow) const
{
  if (!m_isMeasured) {
    return m_hint;
  }
  const Micros mean = ToMicros(m_mean);
  return IsStale(aNow) ? std::min(mean, m_hint) : mean;
}

Micros RunTimeEstimate::UpperEstimate(TimePoint aNow) const
{
  if (IsStale(aNow)) {
    return Mean(aNow);
  }
  return ToMicros(m_mean + kUpperEstimateDeviations * m_deviation);
}

} // namespace mustardtray
