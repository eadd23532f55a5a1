#include "mustardtray/request/MinionHealth.h"

#include <algorithm>
#include <vector>

namespace mustardtray {

namespace {

constexpr double kFailureRatioGain = 0.2;
constexpr double kSlownessGain = 0.2;
/// Consecutive failures that mark a minion unhealthy if it fails more often than the others.
constexpr int kMinConsecutiveFailures = 3;
/// Minimum excess over the median failure ratio of the others for a minion to count as failing.
constexpr double kMinFailureRatioExcess = 0.3;
/// Consecutive failures that mark a minion unhealthy regardless of the others.
constexpr int kMaxConsecutiveFailures = 10;
constexpr int kMinRunSamples = 5;
constexpr double kSlownessLimitFactor = 4; ///< Multiple of the median slowness of the others.
/// Added to both run times, so that a difference of a few milliseconds does not change their ratio
/// much.
constexpr Micros kRunSmoothing = std::chrono::milliseconds(10);
/// Consecutive successes after which the probe interval returns to its minimum.
constexpr int kSuccessesToResetInterval = 20;
constexpr Micros kMinProbeInterval = std::chrono::milliseconds(500);
constexpr Micros kFallbackRetryDelay = std::chrono::milliseconds(100);
constexpr Micros kMaxProbeInterval = std::chrono::seconds(16);

/// Ratio of the run time to the mean run time of the request's queue.
double Slowness(const HealthSample& aSample)
{
  const Micros run = aSample.m_runTime + kRunSmoothing;
  const Micros queueMean = aSample.m_queueMeanRunTime + kRunSmoothing;
  return static_cast<double>(run.count()) / static_cast<double>(queueMean.count());
}

double Median(std::vector<double>& aValues)
{
  const auto middle = aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

} // namespace

void MinionHealth::SetMinions(const std::set<std::string>& aIds)
{
  std::erase_if(m_states, [&](const auto& aEntry) { return !aIds.contains(aEntry.first); });
  for (const std::string& id : aIds) {
    m_states.try_emplace(id);
  }
}

bool MinionHealth::IsHealthy(const std::string& aId) const
{
  const auto found = m_states.find(aId);
  return found == m_states.end() || found->second.m_isHealthy;
}

bool MinionHealth::HasHealthyMinion() const
{
  return std::any_of(
    m_states.begin(), m_states.end(), [](const auto& aEntry) { return aEntry.second.m_isHealthy; });
}

bool MinionHealth::CanProbe(TimePoint aNow, const std::string& aId, ProbeRisk aRisk) const
{
  const auto found = m_states.find(aId);
  if (found == m_states.end() || found->second.m_isHealthy || found->second.m_isProbeInFlight) {
    return false;
  }
  return aNow >= ProbeTime(found->second, aRisk);
}

TimePoint MinionHealth::ProbeTime(const State& aState, ProbeRisk aRisk) const
{
  if (!HasHealthyMinion()) {
    return aState.m_nextFallbackAttempt;
  }
  return aState.m_nextProbe + static_cast<int>(aRisk) * aState.m_probeInterval;
}

std::optional<TimePoint> MinionHealth::NextProbe(TimePoint aNow) const
{
  std::optional<TimePoint> next;
  for (const auto& [id, state] : m_states) {
    if (state.m_isHealthy || state.m_isProbeInFlight) {
      continue;
    }
    for (const ProbeRisk risk : { ProbeRisk::Low, ProbeRisk::Medium, ProbeRisk::High }) {
      const TimePoint due = ProbeTime(state, risk);
      if (due > aNow && (!next || due < *next)) {
        next = due;
      }
    }
  }
  return next;
}

void MinionHealth::OnProbeSent(const std::string& aId)
{
  const auto found = m_states.find(aId);
  if (found != m_states.end()) {
    found->second.m_isProbeInFlight = true;
  }
}

void MinionHealth::UpdateStatistics(State& aState, bool aFailed, double aSlowness)
{
  aState.m_failureRatio += kFailureRatioGain * ((aFailed ? 1 : 0) - aState.m_failureRatio);
  aState.m_consecutiveFailures = aFailed ? aState.m_consecutiveFailures + 1 : 0;
  aState.m_consecutiveSuccesses = aFailed ? 0 : aState.m_consecutiveSuccesses + 1;
  if (!aFailed) {
    const double gain = aState.m_runSamples == 0 ? 1 : kSlownessGain;
    aState.m_slowness += gain * (aSlowness - aState.m_slowness);
    ++aState.m_runSamples;
  }
}

void MinionHealth::MarkUnhealthy(TimePoint aNow, State& aState)
{
  aState.m_isHealthy = false;
  aState.m_probeInterval =
    std::clamp(2 * aState.m_probeInterval, kMinProbeInterval, kMaxProbeInterval);
  aState.m_nextProbe = aNow + aState.m_probeInterval;
  aState.m_nextFallbackAttempt = aNow + kFallbackRetryDelay;
}

bool MinionHealth::OnProbeOutcome(TimePoint aNow, State& aState, bool aFailed, double aSlowness)
{
  aState.m_isProbeInFlight = false;
  if (aFailed) {
    MarkUnhealthy(aNow, aState);
    return false;
  }
  aState.m_isHealthy = true;
  aState.m_failureRatio = 0;
  aState.m_slowness = aSlowness;
  aState.m_runSamples = 1;
  return true;
}

bool MinionHealth::OnOutcome(TimePoint aNow, const std::string& aId, const HealthSample& aSample)
{
  const auto found = m_states.find(aId);
  if (found == m_states.end()) {
    return false;
  }
  State& state = found->second;
  const bool failed = aSample.m_outcome != AttemptOutcome::Succeeded;
  const double slowness = Slowness(aSample);
  if (!state.m_isHealthy) {
    // Attempts that started before the minion became unhealthy say nothing about its recovery.
    return aSample.m_isProbe &&
           OnProbeOutcome(aNow, state, failed || IsSlow(aId, slowness), slowness);
  }
  UpdateStatistics(state, failed, slowness);
  if (state.m_consecutiveSuccesses >= kSuccessesToResetInterval) {
    state.m_probeInterval = Micros(0);
  }
  if (!IsFailingOrSlow(aId, state)) {
    return false;
  }
  MarkUnhealthy(aNow, state);
  return true;
}

bool MinionHealth::IsFailingOrSlow(const std::string& aId, const State& aState) const
{
  if (aState.m_consecutiveFailures >= kMaxConsecutiveFailures) {
    return true;
  }
  if (aState.m_consecutiveFailures >= kMinConsecutiveFailures || aState.m_failureRatio >= 0.5) {
    return aState.m_failureRatio >= MedianFailureRatioOfOthers(aId) + kMinFailureRatioExcess;
  }
  return aState.m_runSamples >= kMinRunSamples && IsSlow(aId, aState.m_slowness);
}

bool MinionHealth::IsSlow(const std::string& aId, double aSlowness) const
{
  const auto median = MedianSlownessOfOthers(aId);
  return median && aSlowness > kSlownessLimitFactor * *median;
}

double MinionHealth::MedianFailureRatioOfOthers(const std::string& aId) const
{
  std::vector<double> ratios;
  for (const auto& [id, state] : m_states) {
    if (id != aId) {
      ratios.push_back(state.m_failureRatio);
    }
  }
  return ratios.empty() ? 0 : Median(ratios);
}

std::optional<double> MinionHealth::MedianSlownessOfOthers(const std::string& aId) const
{
  std::vector<double> slowness;
  for (const auto& [id, state] : m_states) {
    if (id != aId && state.m_isHealthy && state.m_runSamples >= kMinRunSamples) {
      slowness.push_back(state.m_slowness);
    }
  }
  if (slowness.empty()) {
    return std::nullopt;
  }
  return Median(slowness);
}

} // namespace mustardtray
