#pragma once

/// Distribution of ratios of measured to estimated run times, in buckets on a logarithmic scale.
/// Older observations count less, so a change shows after some completions.

#include <array>
#include <cstddef>

namespace mustardtray::job {

class RunTimeSketch
{
public:
  /// aWindow: number of recent observations that make up most of the weight.
  explicit RunTimeSketch(double aWindow);

  void Add(double aRatio);
  /// Sum of the weights of all observations; at most the window.
  double Weight() const;
  /// Returns the mean ratio of the bucket that holds the quantile; 1 without observations.
  double Quantile(double aQuantile) const;
  /// Returns the mean of the buckets with means from aLow to aHigh; 1 when there are none.
  double MeanBetween(double aLow, double aHigh) const;
  double Mean() const;

private:
  /// Four buckets for each doubling: from 1/256 to 256 times the estimate.
  static constexpr std::size_t kBuckets = 64;

  struct Bucket
  {
    float m_weight = 0;
    float m_sum = 0; ///< Weighted sum of the ratios; the mean is more exact than the limits.

    double Mean() const { return static_cast<double>(m_sum) / static_cast<double>(m_weight); }
  };

  float m_decay;
  std::array<Bucket, kBuckets> m_buckets{};
};

} // namespace mustardtray::job
