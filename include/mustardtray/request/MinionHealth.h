#pragma once

/// Judges the minions of a service by the outcomes of their attempts: a failing or slow one takes
/// no work beyond single probes at growing intervals, and one good probe brings it back.

#include <map>
#include <optional>
#include <set>
#include <string>

#include "mustardtray/process/Time.h"
#include "mustardtray/request/Routing.h"

namespace mustardtray {

/// How unsuitable a request is as a probe: each step waits one more probe interval.
enum class ProbeRisk
{
  Low = 0,    ///< Idempotent work that may wait.
  Medium = 1, ///< Idempotent urgent work.
  High = 2,   ///< Work that cannot be retried when the probe fails.
};

/// One finished attempt at a minion.
struct HealthSample
{
  AttemptOutcome m_outcome = AttemptOutcome::Succeeded;
  Micros m_run{ 0 };
  Micros m_usualRun{ 0 }; ///< Mean of the request's queue over all minions.
  bool m_isProbe = false;
};

class MinionHealth
{
public:
  /// Forgets minions that are not listed.
  void SetMinions(const std::set<std::string>& aIds);

  /// True when the minion takes work up to its slots.
  bool IsHealthy(const std::string& aId) const;
  bool AnyHealthy() const;
  /// True when the minion is not healthy and may take one request now. While no minion is
  /// healthy, each takes one request at a time with a short pause after each failure.
  bool MayProbe(TimePoint aNow, const std::string& aId, ProbeRisk aRisk) const;
  /// When MayProbe() may become true by time alone, if any minion waits for that.
  std::optional<TimePoint> NextProbe(TimePoint aNow) const;

  void OnProbeSent(const std::string& aId);
  /// Counts an outcome. Returns true when the minion's health changed.
  bool OnOutcome(TimePoint aNow, const std::string& aId, const HealthSample& aSample);

private:
  struct State
  {
    bool m_isHealthy = true;
    bool m_probeInFlight = false;
    int m_consecutiveFailures = 0;
    int m_successesInARow = 0;
    double m_failureRatio = 0; ///< Moving.
    double m_slowness = 1;     ///< Moving mean of run time over the usual one.
    int m_runSamples = 0;
    Micros m_probeInterval{ 0 };
    TimePoint m_nextProbe;
    TimePoint m_nextLastResort; ///< Next attempt while no minion is healthy.
  };

  static void Count(State& aState, bool aFailed, double aSlowness);
  static bool OnProbeOutcome(TimePoint aNow, State& aState, bool aFailed, double aSlowness);
  bool LooksBad(const std::string& aId, const State& aState) const;
  bool IsSlow(const std::string& aId, double aSlowness) const;
  double MedianFailureRatioOfOthers(const std::string& aId) const;
  std::optional<double> MedianSlownessOfOthers(const std::string& aId) const;
  TimePoint ProbeDue(const State& aState, ProbeRisk aRisk) const;
  static void Suspect(TimePoint aNow, State& aState);

  std::map<std::string, State> m_states;
};

} // namespace mustardtray
