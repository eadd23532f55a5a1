#include "mustardtray/process/fleet/WavePlanner.h"

#include <algorithm>
#include <set>
#include <tuple>

#include <fmt/format.h>

namespace mustardtray {

namespace {

constexpr int kMinutesPerDay = 24 * 60;
constexpr int kDaysPerWeek = 7;
constexpr int kMinutesPerWeek = kDaysPerWeek * kMinutesPerDay;
constexpr int kEpochWeekday = 4; // 1 January 1970 was a Thursday.

bool IsOutForWave(const VmRecord& aVm, const WaveRecord& aWave)
{
  return aVm.IsOut() && aVm.m_waveNumber == aWave.m_number;
}

bool IsDone(const VmRecord& aVm, const WaveRecord& aWave)
{
  return aVm.m_lastRebootWave >= aWave.m_number;
}

std::vector<const VmRecord*> WaveMembers(const FleetState& aState, const WaveRecord& aWave)
{
  std::vector<const VmRecord*> members;
  for (const auto& [name, row] : aState.m_view.m_vms) {
    const bool isGone = aState.IsListed(name, VmState::Gone) && !row.m_value.IsOut();
    if (!isGone && aWave.m_selector.Matches(aState.m_index.m_labelsByVm.at(name))) {
      members.push_back(&row.m_value);
    }
  }
  return members;
}

/// Racks and zones with VMs out of service, and racks with failed actions.
struct OutageLocations
{
  std::set<std::string> m_racks;
  std::set<std::string> m_zones;
  std::set<std::string> m_failedRacks;
};

OutageLocations FindOutageLocations(const FleetState& aState)
{
  OutageLocations locations;
  for (const auto& [name, row] : aState.m_view.m_vms) {
    const VmRecord& vm = row.m_value;
    if (!vm.IsOut()) {
      continue;
    }
    locations.m_racks.insert(vm.m_rack);
    locations.m_zones.insert(vm.m_zone);
    if (vm.m_attempt > 0 && !vm.m_rack.empty()) {
      locations.m_failedRacks.insert(vm.m_rack);
    }
  }
  return locations;
}

std::optional<std::string> FindCandidateBlocker(const FleetState& aState,
                                                const VmRecord& aVm,
                                                const OutageLocations& aLocations,
                                                WallTime aWallNow)
{
  const FleetPolicy& policy = aState.m_policy;
  if (aVm.IsOut()) {
    return fmt::format("out of service for operation {}", aVm.m_operationId);
  }
  if (policy.m_rules.m_avoidFailingRacks && aLocations.m_failedRacks.contains(aVm.m_rack)) {
    return fmt::format("rack {} has a VM with failed actions", aVm.m_rack);
  }
  if (!IsMaintenanceAllowed(aState, aVm.m_name, aWallNow, policy.m_vmOutageEstimate)) {
    return "outside its maintenance windows";
  }
  return FindTakeOutBlocker(aState, aVm.m_name);
}

auto PreferenceKey(const VmRecord& aVm, const OutageLocations& aLocations)
{
  const bool isRackUnaffected = !aLocations.m_racks.contains(aVm.m_rack);
  const bool isZoneUnaffected = !aLocations.m_zones.contains(aVm.m_zone);
  return std::make_tuple(
    !aVm.m_isDown, isRackUnaffected, isZoneUnaffected, aVm.m_zone, aVm.m_rack, aVm.m_name);
}

int RemainingTakeOuts(const FleetState& aState, const WaveProgress& aProgress)
{
  const int limit = aState.m_policy.m_maxOutPerWave;
  return limit == 0 ? INT32_MAX : limit - aProgress.m_out;
}

/// Returns the minute of the week, counted from Sunday 00:00 UTC.
int MinuteOfWeek(WallTime aWallNow)
{
  const auto minutes =
    std::chrono::duration_cast<std::chrono::minutes>(aWallNow.time_since_epoch()).count();
  const auto sinceSunday = minutes + kEpochWeekday * kMinutesPerDay;
  return static_cast<int>(sinceSunday % kMinutesPerWeek);
}

bool IsWindowOpen(const MaintenanceWindow& aWindow, int aMinute, int aNeededMinutes)
{
  for (const int weekday : aWindow.m_weekdays) {
    const int start = weekday * kMinutesPerDay + aWindow.m_startMinute;
    const int elapsed = (aMinute - start + kMinutesPerWeek) % kMinutesPerWeek;
    if (elapsed + aNeededMinutes <= aWindow.m_lengthMinutes) {
      return true;
    }
  }
  return false;
}

} // namespace

bool IsMaintenanceAllowed(const FleetState& aState,
                          const std::string& aVm,
                          WallTime aWallNow,
                          Millis aOutageTime)
{
  const Labels& labels = aState.m_index.m_labelsByVm.at(aVm);
  const int neededMinutes =
    static_cast<int>(std::chrono::ceil<std::chrono::minutes>(aOutageTime).count());
  bool isUnrestricted = true;
  for (const auto& [name, window] : aState.m_configuration.m_windows) {
    if (!window.m_selector.Matches(labels)) {
      continue;
    }
    if (IsWindowOpen(window, MinuteOfWeek(aWallNow), neededMinutes)) {
      return true;
    }
    isUnrestricted = false;
  }
  return isUnrestricted;
}

std::string WaveOperationId(const WaveRecord& aWave, const std::string& aVm)
{
  return aWave.m_operationId + "/" + aVm;
}

Millis MinimumWaveDuration(const std::vector<std::pair<int, int>>& aCountsAndAllowed,
                           Millis aVmOutageTime)
{
  int rounds = 0;
  for (const auto& [count, allowed] : aCountsAndAllowed) {
    const int atOnce = std::max(1, allowed);
    rounds = std::max(rounds, (count + atOnce - 1) / atOnce);
  }
  return aVmOutageTime * rounds;
}

WaveProgress ComputeWaveProgress(const FleetState& aState,
                                 const WaveRecord& aWave,
                                 Millis aVmOutageTime)
{
  WaveProgress progress;
  std::map<std::string, int> unfinishedByService;
  for (const VmRecord* vm : WaveMembers(aState, aWave)) {
    ++progress.m_total;
    const bool isOut = IsOutForWave(*vm, aWave);
    progress.m_done += IsDone(*vm, aWave) ? 1 : 0;
    progress.m_out += isOut ? 1 : 0;
    progress.m_failing += isOut && vm->m_attempt > 0 ? 1 : 0;
    const auto services = aState.m_index.m_servicesByVm.find(vm->m_name);
    if (!IsDone(*vm, aWave) && services != aState.m_index.m_servicesByVm.end()) {
      for (const std::string& service : services->second) {
        ++unfinishedByService[service];
      }
    }
  }
  progress.m_waiting = progress.m_total - progress.m_done - progress.m_out;
  std::vector<std::pair<int, int>> counts;
  for (const auto& [service, count] : unfinishedByService) {
    const AvailabilityBudget& budget = aState.m_configuration.m_services.at(service).m_budget;
    counts.emplace_back(count, budget.m_maxUnavailable - budget.m_failureReserve);
  }
  progress.m_remaining = MinimumWaveDuration(counts, aVmOutageTime);
  progress.m_isHalted =
    aState.m_policy.m_rules.m_haltOnFailure &&
    progress.m_failing - aWave.m_acceptedFailures >= aState.m_policy.m_haltAfterFailures;
  return progress;
}

WaveCandidates PlanWave(const FleetState& aState, const WaveRecord& aWave, WallTime aWallNow)
{
  WaveCandidates plan;
  const WaveProgress progress =
    ComputeWaveProgress(aState, aWave, aState.m_policy.m_vmOutageEstimate);
  const OutageLocations locations = FindOutageLocations(aState);
  std::vector<const VmRecord*> eligible;
  for (const VmRecord* vm : WaveMembers(aState, aWave)) {
    if (IsDone(*vm, aWave) || IsOutForWave(*vm, aWave)) {
      continue;
    }
    if (aWave.m_state != WaveState::Running) {
      plan.m_waitReasons[vm->m_name] = fmt::format("the wave is {}", ToName(aWave.m_state));
    } else if (progress.m_isHalted) {
      plan.m_waitReasons[vm->m_name] =
        fmt::format("the wave is halted: {} VMs have failed actions", progress.m_failing);
    } else if (auto reason = FindCandidateBlocker(aState, *vm, locations, aWallNow)) {
      plan.m_waitReasons[vm->m_name] = std::move(*reason);
    } else {
      eligible.push_back(vm);
    }
  }
  std::sort(eligible.begin(), eligible.end(), [&](const VmRecord* aLeft, const VmRecord* aRight) {
    return PreferenceKey(*aLeft, locations) < PreferenceKey(*aRight, locations);
  });
  const int freeTakeOuts = std::max(0, RemainingTakeOuts(aState, progress));
  for (const VmRecord* vm : eligible) {
    if (static_cast<int>(plan.m_candidates.size()) < freeTakeOuts) {
      plan.m_candidates.push_back(vm->m_name);
    } else {
      plan.m_waitReasons[vm->m_name] = "the wave has reached its limit of VMs out of service";
    }
  }
  return plan;
}

} // namespace mustardtray
