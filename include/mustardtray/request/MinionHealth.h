#pragma once

/// Determines the health of a service's minions from the outcomes of their attempts. An unhealthy
/// minion, which fails too often or is too slow, receives only single probes at increasing
/// intervals until one probe succeeds.

#include <map>
#include <optional>
#include <set>
#include <string>

#include "mustardtray/process/Time.h"
#include "mustardtray/request/Routing.h"

namespace mustardtray {

/// Risk of using a request as a probe. Each level delays the probe by one more probe interval.
enum class ProbeRisk
{
  Low = 0,    ///< Idempotent request that may wait.
  Medium = 1, ///< Idempotent urgent request.
  High = 2,   ///< Request that cannot be retried after a failed probe.
};

/// One finished attempt at a minion.
struct HealthSample
{
  AttemptOutcome m_outcome = AttemptOutcome::Succeeded;
  Micros m_runTime{ 0 };
  Micros m_queueMeanRunTime{ 0 }; ///< Mean run time of the request's queue over all minions.
  bool m_isProbe = false;
};

class MinionHealth
{
public:
  /// Removes the state of minions that are not listed.
  void SetMinions(const std::set<std::string>& aIds);

  /// True if the minion may use all of its slots. Also true for an unknown minion.
  bool IsHealthy(const std::string& aId) const;
  bool HasHealthyMinion() const;
  /// True if the minion is unhealthy and may receive one request now. While no minion is healthy,
  /// each receives one request at a time, with a short delay after each failure.
  bool CanProbe(TimePoint aNow, const std::string& aId, ProbeRisk aRisk) const;
  /// The next time after aNow at which CanProbe() may become true for a minion without another
  /// event.
  std::optional<TimePoint> NextProbe(TimePoint aNow) const;

  void OnProbeSent(const std::string& aId);
  /// Records the outcome of an attempt. Returns true if the minion's health changed.
  bool OnOutcome(TimePoint aNow, const std::string& aId, const HealthSample& aSample);

private:
  struct State
  {
    bool m_isHealthy = true;
    bool m_isProbeInFlight = false;
    int m_consecutiveFailures = 0;
    int m_consecutiveSuccesses = 0;
    double m_failureRatio = 0; ///< Exponential moving average.
    double m_slowness = 1;     ///< Exponential moving average of Slowness().
    int m_runSamples = 0;
    Micros m_probeInterval{ 0 };
    TimePoint m_nextProbe;
    TimePoint m_nextFallbackAttempt; ///< Earliest attempt while no minion is healthy.
  };

  static void UpdateStatistics(State& aState, bool aFailed, double aSlowness);
  static bool OnProbeOutcome(TimePoint aNow, State& aState, bool aFailed, double aSlowness);
  bool IsFailingOrSlow(const std::string& aId, const State& aState) const;
  bool IsSlow(const std::string& aId, double aSlowness) const;
  double MedianFailureRatioOfOthers(const std::string& aId) const;
  std::optional<double> MedianSlownessOfOthers(const std::string& aId) const;
  TimePoint ProbeTime(const State& aState, ProbeRisk aRisk) const;
  static void MarkUnhealthy(TimePoint aNow, State& aState);

  std::map<std::string, State> m_states;
};

} // namespace mustardtray
