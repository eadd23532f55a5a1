#include "mustardtray/job/MinionSpeeds.h"

#include <algorithm>
#include <vector>

namespace mustardtray::job {

namespace {

/// A tail of 3% rarely yields more than half of so many.
constexpr std::size_t kMaxCompletions = 9;
constexpr std::size_t kMinCompletions = 5;
/// With fewer peers their median depends on a single one.
constexpr std::size_t kMinPeers = 3;
/// Minions of one kind differ by less.
constexpr double kSlowRatio = 1.5;

double Median(std::vector<double> aValues)
{
  const auto middle = aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

} // namespace

void MinionSpeeds::Observe(const std::string& aMinion, double aRatio)
{
  Speed& speed = m_minions[aMinion];
  speed.m_ratios.push_back(aRatio);
  if (speed.m_ratios.size() > kMaxCompletions) {
    speed.m_ratios.pop_front();
  }
  speed.m_median = Median({ speed.m_ratios.begin(), speed.m_ratios.end() });
}

double MinionSpeeds::Slowness(const std::string& aMinion) const
{
  const auto found = m_minions.find(aMinion);
  if (found == m_minions.end() || found->second.m_ratios.size() < kMinCompletions) {
    return 1.0;
  }
  std::vector<double> peers;
  for (const auto& [id, speed] : m_minions) {
    if (id != aMinion && speed.m_ratios.size() >= kMinCompletions) {
      peers.push_back(speed.m_median);
    }
  }
  return peers.size() < kMinPeers ? 1.0 : found->second.m_median / Median(std::move(peers));
}

bool MinionSpeeds::IsSlow(const std::string& aMinion) const
{
  return Slowness(aMinion) >= kSlowRatio;
}

} // namespace mustardtray::job
