#pragma once

/// Corrects callers' run time estimates by measured ones: by one factor for each queue, which suits
/// estimates that are off by up to a half, or by run times that are learned for each step and
/// image.

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mustardtray/job/Job.h"
#include "mustardtray/job/LearnedRunTimes.h"
#include "mustardtray/process/Time.h"

namespace mustardtray::job {

/// Multiplies a time by a factor and rounds down to whole milliseconds.
inline Millis Scaled(Millis aTime, double aFactor)
{
  return Millis(static_cast<Millis::rep>(static_cast<double>(aTime.count()) * aFactor));
}

/// Longest paths of corrected run times.
struct CorrectedPaths
{
  std::uint64_t m_revision = 0;   ///< See RunTimeCorrection::Revision(); 0: not computed.
  std::vector<Millis> m_pathFrom; ///< By step: longest path that begins with it.
  Millis m_critical{ 0 };
};

class RunTimeCorrection
{
public:
  /// aLearns: uses run times learned for each step and image instead of one factor for each queue.
  explicit RunTimeCorrection(bool aLearns = false)
    : m_learns(aLearns)
  {
  }

  void Observe(const std::string& aQueue, Millis aEstimate, Millis aMeasured);
  void Observe(const RunTimeKey& aKey, Millis aEstimate, Millis aMeasured);
  /// Returns the ratio of measured to estimated run time; 1 for a queue without observations.
  double Factor(std::string_view aQueue) const;
  /// The same for the units of a step, without the tail.
  double Factor(const RunTimeKey& aKey) const;
  /// The same for the units of a step, with the tail: the ratio of measured to estimated work.
  double WorkFactor(const RunTimeKey& aKey) const;
  /// Returns the corrected work of the steps in core-milliseconds.
  double Work(const std::string& aQueue, const JobSpec& aSpec) const;
  CorrectedPaths Paths(const std::string& aQueue, const JobSpec& aSpec) const;
  /// Returns how much longer a unit will run that has been running for aElapsed, which is longer
  /// than expected; 0 if no unit has taken that long, or nothing is known.
  Millis RemainingBeyond(const RunTimeKey& aKey, Millis aEstimate, Millis aElapsed) const;
  /// Whether the unit has run for longer than 99% of its kind, so its end cannot be foreseen.
  bool IsOverdue(const RunTimeKey& aKey, Millis aEstimate, Millis aElapsed) const;

  bool Learns() const { return m_learns; }
  const LearnedRunTimes& Learned() const { return m_learned; }
  /// Changes when the result of Paths() may have changed.
  std::uint64_t Revision() const { return m_learns ? m_learned.Revision() : m_revision; }

private:
  bool m_learns;
  std::map<std::string, double, std::less<>> m_factors; ///< By queue.
  std::uint64_t m_revision = 1;
  LearnedRunTimes m_learned;
};

/// Returns the key of the units of a step.
inline RunTimeKey KeyOf(const std::string& aQueue,
                        const JobSpec& aSpec,
                        std::uint32_t aStep,
                        bool aIsRemote = false)
{
  return { aQueue, aStep, aSpec.m_steps[aStep].m_image, aIsRemote };
}

} // namespace mustardtray::job
