#include "mustardtray/request/MinionHealth.h"

#include <algorithm>
#include <vector>

namespace mustardtray {

namespace {

constexpr double kRatioGain = 0.2;
constexpr double kRunGain = 0.2;
constexpr int kSuspiciousFailures = 3; ///< In a row, at a minion that fails more than the others.
constexpr double kRatioAboveOthers = 0.3;
constexpr int kHopelessFailures = 10; ///< In a row, whatever the others do.
constexpr int kFewestRunSamples = 5;
constexpr double kSlowFactor = 4; ///< Times the median slowness of the others.
constexpr Micros kNegligibleRun = std::chrono::milliseconds(10);
constexpr int kSuccessesForTrust = 20; ///< In a row, before the probe interval starts anew.
constexpr Micros kFirstProbeInterval = std::chrono::milliseconds(500);
constexpr Micros kLastResortPause = std::chrono::milliseconds(100);
constexpr Micros kLongestProbeInterval = std::chrono::seconds(16);

/// Run time as a multiple of the usual one, with differences of a few milliseconds smoothed away.
double Slowness(const HealthSample& aSample)
{
  const Micros run = aSample.m_run + kNegligibleRun;
  const Micros usual = aSample.m_usualRun + kNegligibleRun;
  return static_cast<double>(run.count()) / static_cast<double>(usual.count());
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

bool MinionHealth::AnyHealthy() const
{
  return std::any_of(
    m_states.begin(), m_states.end(), [](const auto& aEntry) { return aEntry.second.m_isHealthy; });
}

bool MinionHealth::MayProbe(TimePoint aNow, const std::string& aId, ProbeRisk aRisk) const
{
  const auto found = m_states.find(aId);
  if (found == m_states.end() || found->second.m_isHealthy || found->second.m_probeInFlight) {
    return false;
  }
  return aNow >= ProbeDue(found->second, aRisk);
}

TimePoint MinionHealth::ProbeDue(const State& aState, ProbeRisk aRisk) const
{
  if (!AnyHealthy()) {
    return aState.m_nextLastResort;
  }
  return aState.m_nextProbe + static_cast<int>(aRisk) * aState.m_probeInterval;
}

std::optional<TimePoint> MinionHealth::NextProbe(TimePoint aNow) const
{
  std::optional<TimePoint> next;
  for (const auto& [id, state] : m_states) {
    if (state.m_isHealthy || state.m_probeInFlight) {
      continue;
    }
    for (const ProbeRisk risk : { ProbeRisk::Low, ProbeRisk::Medium, ProbeRisk::High }) {
      const TimePoint due = ProbeDue(state, risk);
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
    found->second.m_probeInFlight = true;
  }
}

void MinionHealth::Count(State& aState, bool aFailed, double aSlowness)
{
  aState.m_failureRatio += kRatioGain * ((aFailed ? 1 : 0) - aState.m_failureRatio);
  aState.m_consecutiveFailures = aFailed ? aState.m_consecutiveFailures + 1 : 0;
  aState.m_successesInARow = aFailed ? 0 : aState.m_successesInARow + 1;
  if (!aFailed) {
    const double gain = aState.m_runSamples == 0 ? 1 : kRunGain;
    aState.m_slowness += gain * (aSlowness - aState.m_slowness);
    ++aState.m_runSamples;
  }
}

void MinionHealth::Suspect(TimePoint aNow, State& aState)
{
  aState.m_isHealthy = false;
  aState.m_probeInterval =
    std::clamp(2 * aState.m_probeInterval, kFirstProbeInterval, kLongestProbeInterval);
  aState.m_nextProbe = aNow + aState.m_probeInterval;
  aState.m_nextLastResort = aNow + kLastResortPause;
}

bool MinionHealth::OnProbeOutcome(TimePoint aNow, State& aState, bool aFailed, double aSlowness)
{
  aState.m_probeInFlight = false;
  if (aFailed) {
    Suspect(aNow, aState);
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
    // Attempts that were under way when the minion fell under suspicion prove nothing.
    return aSample.m_isProbe &&
           OnProbeOutcome(aNow, state, failed || IsSlow(aId, slowness), slowness);
  }
  Count(state, failed, slowness);
  if (state.m_successesInARow >= kSuccessesForTrust) {
    state.m_probeInterval = Micros(0);
  }
  if (!LooksBad(aId, state)) {
    return false;
  }
  Suspect(aNow, state);
  return true;
}

bool MinionHealth::LooksBad(const std::string& aId, const State& aState) const
{
  if (aState.m_consecutiveFailures >= kHopelessFailures) {
    return true;
  }
  if (aState.m_consecutiveFailures >= kSuspiciousFailures || aState.m_failureRatio >= 0.5) {
    return aState.m_failureRatio >= MedianFailureRatioOfOthers(aId) + kRatioAboveOthers;
  }
  return aState.m_runSamples >= kFewestRunSamples && IsSlow(aId, aState.m_slowness);
}

bool MinionHealth::IsSlow(const std::string& aId, double aSlowness) const
{
  const auto median = MedianSlownessOfOthers(aId);
  return median && aSlowness > kSlowFactor * *median;
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
    if (id != aId && state.m_isHealthy && state.m_runSamples >= kFewestRunSamples) {
      slowness.push_back(state.m_slowness);
    }
  }
  if (slowness.empty()) {
    return std::nullopt;
  }
  return Median(slowness);
}

} // namespace mustardtray
