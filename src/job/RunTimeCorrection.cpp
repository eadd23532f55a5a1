#include "mustardtray/job/RunTimeCorrection.h"

#include <algorithm>

namespace mustardtray::job {

namespace {

/// Weight of the newest observation: the factor is an average over about twenty units.
constexpr double kNewestWeight = 0.05;
/// Limits the effect of a single unit that hangs.
constexpr double kMaxFactor = 4.0;

} // namespace

void RunTimeCorrection::Observe(const std::string& aQueue, Millis aEstimate, Millis aMeasured)
{
  if (aEstimate.count() <= 0) {
    return;
  }
  const double factor = std::min(
    kMaxFactor, static_cast<double>(aMeasured.count()) / static_cast<double>(aEstimate.count()));
  const auto [entry, isNew] = m_factors.emplace(aQueue, 1.0);
  entry->second += kNewestWeight * (factor - entry->second);
}

double RunTimeCorrection::Factor(const std::string& aQueue) const
{
  const auto found = m_factors.find(aQueue);
  return found == m_factors.end() ? 1.0 : found->second;
}

} // namespace mustardtray::job
