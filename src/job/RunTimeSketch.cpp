#include "mustardtray/job/RunTimeSketch.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mustardtray::job {

namespace {

constexpr double kBucketsPerDoubling = 4.0;
/// Lighter buckets hold only observations that have decayed.
constexpr float kMinWeight = 1e-4F;

} // namespace

RunTimeSketch::RunTimeSketch(double aWindow)
  : m_decay(static_cast<float>(1.0 - 1.0 / aWindow))
{
}

void RunTimeSketch::Add(double aRatio)
{
  for (Bucket& bucket : m_buckets) {
    bucket.m_weight *= m_decay;
    bucket.m_sum *= m_decay;
    if (bucket.m_weight < kMinWeight) {
      bucket = {};
    }
  }
  // The ratio 1 is in the middle of its bucket: accurate estimates do not spread over two.
  const double position =
    std::round(std::log2(std::max(aRatio, std::numeric_limits<double>::min())) *
               kBucketsPerDoubling) +
    static_cast<double>(kBuckets) / 2;
  const double index = std::clamp(position, 0.0, static_cast<double>(kBuckets - 1));
  Bucket& bucket = m_buckets[static_cast<std::size_t>(index)];
  bucket.m_weight += 1.0F;
  bucket.m_sum += static_cast<float>(aRatio);
}

double RunTimeSketch::Weight() const
{
  double weight = 0;
  for (const Bucket& bucket : m_buckets) {
    weight += static_cast<double>(bucket.m_weight);
  }
  return weight;
}

double RunTimeSketch::Quantile(double aQuantile) const
{
  const double target = aQuantile * Weight();
  double weight = 0;
  double ratio = 1.0;
  for (const Bucket& bucket : m_buckets) {
    if (bucket.m_weight > 0) {
      ratio = bucket.Mean();
      weight += static_cast<double>(bucket.m_weight);
      if (weight >= target) {
        break;
      }
    }
  }
  return ratio;
}

double RunTimeSketch::MeanBetween(double aLow, double aHigh) const
{
  double weight = 0;
  double sum = 0;
  for (const Bucket& bucket : m_buckets) {
    if (bucket.m_weight > 0 && bucket.Mean() >= aLow && bucket.Mean() <= aHigh) {
      weight += static_cast<double>(bucket.m_weight);
      sum += static_cast<double>(bucket.m_sum);
    }
  }
  return weight > 0 ? sum / weight : 1.0;
}

double RunTimeSketch::Mean() const
{
  return MeanBetween(0, std::numeric_limits<double>::infinity());
}

} // namespace mustardtray::job
