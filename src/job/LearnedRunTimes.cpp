#include "mustardtray/job/LearnedRunTimes.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mustardtray::job {

namespace {

constexpr std::uint32_t kAllSteps = std::numeric_limits<std::uint32_t>::max();
/// An entry takes about 1 KB, so all together take a quarter of a megabyte.
constexpr std::size_t kMaxEntries = 256;
/// Callers choose the names of images; longer ones are told apart by their beginnings.
constexpr std::size_t kMaxImageLength = 128;
/// The median follows a change after 14 completions.
constexpr double kRecentWindow = 20.0;
/// Large enough to hold several units of a tail of 3%.
constexpr double kTailWindow = 400.0;
constexpr double kMinTailWeight = 50.0;
/// Observations that differ from the median by more than this factor are not typical.
constexpr double kMaxDeviation = 3.0;
/// Observations at which measured times and the caller's estimate have equal weight.
constexpr double kEqualWeightCount = 2.0;
/// Limits the effect of a tail that is seen while run times change.
constexpr double kMaxTailFactor = 4.0;
/// Smaller changes are not published, so that paths need not be computed again for each end.
constexpr double kPublishedChange = 0.02;

double Blend(double aPrior, double aMeasured, double aWeight)
{
  // Geometric, since estimates that are too high and too low by a factor are equally wrong.
  return std::exp((1.0 - aWeight) * std::log(aPrior) + aWeight * std::log(aMeasured));
}

bool IsChanged(double aOld, double aNew)
{
  return std::abs(aNew - aOld) > kPublishedChange * aOld;
}

} // namespace

LearnedRunTimes::Entry::Entry()
  : m_recent(kRecentWindow)
  , m_tail(kTailWindow)
{
}

double LearnedRunTimes::Entry::Confidence() const
{
  const auto count = static_cast<double>(m_count);
  return count / (count + kEqualWeightCount);
}

bool LearnedRunTimes::Entry::KnowsTail() const
{
  return m_tail.Weight() >= kMinTailWeight;
}

LearnedRunTimes::KeyView LearnedRunTimes::ViewOf(const RunTimeKey& aKey)
{
  return { aKey.m_queue, aKey.m_step, aKey.m_image.substr(0, kMaxImageLength), aKey.m_isRemote };
}

const LearnedRunTimes::Entry* LearnedRunTimes::Find(const KeyView& aKey) const
{
  const auto found = m_entries.find(aKey);
  return found == m_entries.end() ? nullptr : &found->second;
}

const LearnedRunTimes::Entry* LearnedRunTimes::FindBest(const RunTimeKey& aKey) const
{
  KeyView key = ViewOf(aKey);
  const Entry* entry = Find(key);
  if (!entry && aKey.m_isRemote) {
    std::get<3>(key) = false;
    entry = Find(key);
  }
  return entry ? entry : Find({ aKey.m_queue, kAllSteps, {}, false });
}

RunTimeFactors LearnedRunTimes::Factors(const RunTimeKey& aKey) const
{
  const Entry* entry = FindBest(aKey);
  return entry ? entry->m_factors : RunTimeFactors{};
}

RunTimeFactors LearnedRunTimes::QueueFactors(std::string_view aQueue) const
{
  const Entry* entry = Find({ aQueue, kAllSteps, {}, false });
  return entry ? entry->m_factors : RunTimeFactors{};
}

double LearnedRunTimes::TailQuantile(const RunTimeKey& aKey, double aQuantile) const
{
  const Entry* entry = FindBest(aKey);
  return entry && entry->KnowsTail() ? entry->m_tail.Quantile(aQuantile) * entry->m_typical
                                     : std::numeric_limits<double>::infinity();
}

double LearnedRunTimes::MeanBeyond(const RunTimeKey& aKey, double aRatio) const
{
  const Entry* entry = FindBest(aKey);
  if (!entry || !entry->KnowsTail()) {
    return 0;
  }
  const double relative = aRatio / entry->m_typical;
  const double mean = entry->m_tail.MeanBetween(relative, std::numeric_limits<double>::infinity());
  return mean < relative ? 0 : mean * entry->m_typical; // The mean of no buckets is 1.
}

double LearnedRunTimes::Confidence(const RunTimeKey& aKey) const
{
  const Entry* entry = Find(ViewOf(aKey));
  return entry ? entry->Confidence() : 0.0;
}

std::vector<LearnedRunTime> LearnedRunTimes::Describe(std::size_t aMaxTimes) const
{
  std::vector<LearnedRunTime> times;
  for (const auto& [key, entry] : m_entries) {
    const auto& [queue, step, image, isRemote] = key;
    if (step != kAllSteps) {
      times.push_back({ queue, step, image, isRemote, entry.m_factors, entry.m_count });
    }
  }
  const auto error = [](const LearnedRunTime& aTime) {
    return std::abs(std::log(aTime.m_factors.m_typical));
  };
  std::stable_sort(times.begin(), times.end(), [&](const auto& aLeft, const auto& aRight) {
    return error(aLeft) > error(aRight);
  });
  times.resize(std::min(times.size(), aMaxTimes));
  return times;
}

void LearnedRunTimes::Observe(const RunTimeKey& aKey, double aRatio)
{
  ++m_observations;
  if (!aKey.m_isRemote) {
    Update({ aKey.m_queue, kAllSteps, {}, false }, aRatio, {});
  }
  RunTimeKey local = aKey;
  local.m_isRemote = false;
  Update(ViewOf(aKey), aRatio, aKey.m_isRemote ? Factors(local) : QueueFactors(aKey.m_queue));
}

void LearnedRunTimes::Update(const KeyView& aKey, double aRatio, const RunTimeFactors& aPrior)
{
  auto found = m_entries.find(aKey);
  if (found == m_entries.end()) {
    if (m_entries.size() >= kMaxEntries) {
      EvictOldest();
    }
    const auto& [queue, step, image, isRemote] = aKey;
    found =
      m_entries.emplace(Key{ std::string(queue), step, std::string(image), isRemote }, Entry{})
        .first;
  }
  Entry& entry = found->second;
  entry.m_observedAt = m_observations;
  if (entry.m_count > 0) {
    entry.m_tail.Add(aRatio / entry.m_typical);
  }
  ++entry.m_count;
  entry.m_recent.Add(aRatio);
  const double median = entry.m_recent.Quantile(0.5);
  entry.m_typical = entry.m_recent.MeanBetween(median / kMaxDeviation, median * kMaxDeviation);
  const double tailFactor =
    entry.KnowsTail() ? std::clamp(entry.m_tail.Mean(), 1.0, kMaxTailFactor) : 1.0;
  const double typical = Blend(aPrior.m_typical, entry.m_typical, entry.Confidence());
  const RunTimeFactors factors{ typical, typical * tailFactor };
  if (IsChanged(entry.m_factors.m_typical, factors.m_typical) ||
      IsChanged(entry.m_factors.m_mean, factors.m_mean)) {
    entry.m_factors = factors;
    ++m_revision;
  }
}

void LearnedRunTimes::EvictOldest()
{
  m_entries.erase(
    std::min_element(m_entries.begin(), m_entries.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.m_observedAt < aRight.second.m_observedAt;
    }));
}

} // namespace mustardtray::job
