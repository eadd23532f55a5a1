#pragma once

/// Run times that were learned from completions, as ratios to the callers' estimates. Estimates can
/// be off by a large factor that differs between the steps and images of a queue, a few units take
/// several times as long as the rest, and run times change.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "mustardtray/job/RunTimeSketch.h"

namespace mustardtray::job {

/// Units that are expected to have the same ratio of measured to estimated run time.
struct RunTimeKey
{
  std::string_view m_queue;
  std::uint32_t m_step = 0;
  std::string_view m_image;
  bool m_isRemote = false; ///< The unit's data is in another rack, or its gang spans racks.
};

/// Ratios to the caller's estimate.
struct RunTimeFactors
{
  double m_typical = 1.0; ///< Mean without the tail; for critical paths.
  double m_mean = 1.0;    ///< Includes the tail; for work.
};

/// What has been learned of a kind of units, for logs.
struct LearnedRunTime
{
  std::string m_queue;
  std::uint32_t m_step = 0;
  std::string m_image;
  bool m_isRemote = false;
  RunTimeFactors m_factors;
  std::uint64_t m_count = 0; ///< Completions that were observed.
};

class LearnedRunTimes
{
public:
  /// aRatio: measured by estimated run time.
  void Observe(const RunTimeKey& aKey, double aRatio);
  /// Falls back to the local units, then to the queue, then to the caller's estimate.
  RunTimeFactors Factors(const RunTimeKey& aKey) const;
  RunTimeFactors QueueFactors(std::string_view aQueue) const;
  /// Returns a quantile of the tail as a ratio to the estimate; infinite while too few units have
  /// been observed.
  double TailQuantile(const RunTimeKey& aKey, double aQuantile) const;
  /// Returns the mean ratio of the units that took longer than aRatio; 0 if there were none.
  double MeanBeyond(const RunTimeKey& aKey, double aRatio) const;
  /// Returns the weight of the measured times against the caller's estimate, from 0 to 1.
  double Confidence(const RunTimeKey& aKey) const;
  /// Incremented when the factors of any key change by more than some percent.
  std::uint64_t Revision() const { return m_revision; }
  std::size_t Size() const { return m_entries.size(); }
  /// Returns what was learned of steps, those first whose estimates are most wrong.
  std::vector<LearnedRunTime> Describe(std::size_t aMaxTimes) const;

private:
  /// Queue, step, image, remote; the step is kAllSteps for the queue as a whole.
  using Key = std::tuple<std::string, std::uint32_t, std::string, bool>;
  using KeyView = std::tuple<std::string_view, std::uint32_t, std::string_view, bool>;

  struct KeyLess
  {
    using is_transparent = void;

    bool operator()(const KeyView& aLeft, const KeyView& aRight) const { return aLeft < aRight; }
  };

  struct Entry
  {
    Entry();

    RunTimeSketch m_recent; ///< Ratios to the estimate.
    RunTimeSketch m_tail;   ///< Ratios to the typical run time when they were observed.
    std::uint64_t m_count = 0;
    std::uint64_t m_observedAt = 0; ///< Number of the latest observation, for eviction.
    double m_typical = 1.0;         ///< Of the recent observations alone.
    RunTimeFactors m_factors;

    double Confidence() const;
    bool KnowsTail() const;
  };

  static KeyView ViewOf(const RunTimeKey& aKey);
  const Entry* Find(const KeyView& aKey) const;
  /// Returns the entry for the key, or the one that Factors() falls back to.
  const Entry* FindBest(const RunTimeKey& aKey) const;
  void Update(const KeyView& aKey, double aRatio, const RunTimeFactors& aPrior);
  void EvictOldest();

  std::map<Key, Entry, KeyLess> m_entries;
  std::uint64_t m_observations = 0;
  std::uint64_t m_revision = 1;
};

} // namespace mustardtray::job
