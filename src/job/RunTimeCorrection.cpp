#include "mustardtray/job/RunTimeCorrection.h"

#include <algorithm>

namespace mustardtray::job {

namespace {

/// Weight of the newest observation: the factor is an average over about twenty units.
constexpr double kNewestWeight = 0.05;
/// Limits the effect of a single unit that hangs.
constexpr double kMaxFactor = 4.0;
constexpr double kOverdueQuantile = 0.99;

double Ratio(Millis aTime, Millis aEstimate)
{
  return static_cast<double>(aTime.count()) / static_cast<double>(aEstimate.count());
}

} // namespace

void RunTimeCorrection::Observe(const std::string& aQueue, Millis aEstimate, Millis aMeasured)
{
  Observe(RunTimeKey{ aQueue, 0, {}, false }, aEstimate, aMeasured);
}

void RunTimeCorrection::Observe(const RunTimeKey& aKey, Millis aEstimate, Millis aMeasured)
{
  if (aEstimate.count() <= 0) {
    return;
  }
  // A run may end in the millisecond in which it was ordered.
  const double ratio = Ratio(std::max(aMeasured, Millis{ 1 }), aEstimate);
  if (m_learns) {
    m_learned.Observe(aKey, ratio);
    return;
  }
  const auto [entry, isNew] = m_factors.emplace(std::string(aKey.m_queue), 1.0);
  entry->second += kNewestWeight * (std::min(kMaxFactor, ratio) - entry->second);
  ++m_revision;
}

double RunTimeCorrection::Factor(std::string_view aQueue) const
{
  if (m_learns) {
    return m_learned.QueueFactors(aQueue).m_typical;
  }
  const auto found = m_factors.find(aQueue);
  return found == m_factors.end() ? 1.0 : found->second;
}

double RunTimeCorrection::Factor(const RunTimeKey& aKey) const
{
  return m_learns ? m_learned.Factors(aKey).m_typical : Factor(aKey.m_queue);
}

double RunTimeCorrection::WorkFactor(const RunTimeKey& aKey) const
{
  return m_learns ? m_learned.Factors(aKey).m_mean : Factor(aKey.m_queue);
}

double RunTimeCorrection::Work(const std::string& aQueue, const JobSpec& aSpec) const
{
  double work = 0;
  for (std::uint32_t s = 0; s < aSpec.m_steps.size(); ++s) {
    const StepSpec& step = aSpec.m_steps[s];
    work += static_cast<double>(step.m_count) * static_cast<double>(step.m_need.m_cpu) / 1'000.0 *
            static_cast<double>(step.m_estimate.count()) * WorkFactor(KeyOf(aQueue, aSpec, s));
  }
  return work;
}

CorrectedPaths RunTimeCorrection::Paths(const std::string& aQueue, const JobSpec& aSpec) const
{
  CorrectedPaths paths;
  paths.m_revision = Revision();
  paths.m_pathFrom.resize(aSpec.m_steps.size(), Millis{ 0 });
  // Steps depend only on earlier ones, so iterating backwards visits dependent steps first.
  for (std::size_t s = aSpec.m_steps.size(); s-- > 0;) {
    const StepSpec& step = aSpec.m_steps[s];
    paths.m_pathFrom[s] +=
      Scaled(step.m_estimate, Factor(KeyOf(aQueue, aSpec, static_cast<std::uint32_t>(s))));
    paths.m_critical = std::max(paths.m_critical, paths.m_pathFrom[s]);
    for (const std::uint32_t predecessor : step.m_after) {
      paths.m_pathFrom[predecessor] = std::max(paths.m_pathFrom[predecessor], paths.m_pathFrom[s]);
    }
  }
  return paths;
}

Millis RunTimeCorrection::RemainingBeyond(const RunTimeKey& aKey,
                                          Millis aEstimate,
                                          Millis aElapsed) const
{
  if (!m_learns || aEstimate.count() <= 0) {
    return Millis{ 0 };
  }
  const double ratio = Ratio(aElapsed, aEstimate);
  return Scaled(aEstimate, std::max(0.0, m_learned.MeanBeyond(aKey, ratio) - ratio));
}

bool RunTimeCorrection::IsOverdue(const RunTimeKey& aKey, Millis aEstimate, Millis aElapsed) const
{
  return m_learns && aEstimate.count() > 0 &&
         Ratio(aElapsed, aEstimate) > m_learned.TailQuantile(aKey, kOverdueQuantile);
}

} // namespace mustardtray::job
