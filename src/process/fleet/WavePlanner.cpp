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
constexpr int kEpochWeekday = 4; // 1 January 1970 was a Thursday

bool IsOfWave(const VmRecord& aVm, const WaveRecord& aWave)
{
  return aVm.IsOut() && aVm.m_waveNumber == aWave.m_number;
}

bool IsDone(const VmRecord& aVm, const WaveRecord& aWave)
{
  return aVm.m_lastRebootWave >= aWave.m_number;
}

std::vector<const VmRecord*> MembersOf(const FleetState& aState, const WaveRecord& aWave)
{
  std::vector<const VmRecord*> members;
  for (const auto& [name, row] : aState.m_view.m_vms) {
    const bool isGone = aState.IsListed(name, VmState::Gone) && !row.m_value.IsOut();
    if (!isGone && aWave.m_selector.Matches(aState.m_index.m_labelsOf.at(name))) {
      members.push_back(&row.m_value);
    }
  }
  return members;
}

/// Racks and zones where VMs are out, and where actions have failed.
struct OutPlaces
{
  std::set<std::string> m_racks;
  std::set<std::string> m_zones;
  std::set<std::string> m_failedRacks;
};

OutPlaces FindOutPlaces(const FleetState& aState)
{
  OutPlaces places;
  for (const auto& [name, row] : aState.m_view.m_vms) {
    const VmRecord& vm = row.m_value;
    if (!vm.IsOut()) {
      continue;
    }
    places.m_racks.insert(vm.m_rack);
    places.m_zones.insert(vm.m_zone);
    if (vm.m_attempt > 0 && !vm.m_rack.empty()) {
      places.m_failedRacks.insert(vm.m_rack);
    }
  }
  return places;
}

std::optional<std::string> RefuseCandidate(const FleetState& aState,
                                           const VmRecord& aVm,
                                           const OutPlaces& aPlaces,
                                           WallTime aWallNow)
{
  const FleetPolicy& policy = aState.m_policy;
  if (aVm.IsOut()) {
    return fmt::format("out for operation {}", aVm.m_operationId);
  }
  if (policy.m_rules.m_avoidFailedRack && aPlaces.m_failedRacks.contains(aVm.m_rack)) {
    return fmt::format("a VM of rack {} fails to come back", aVm.m_rack);
  }
  if (!IsInWindow(aState, aVm.m_name, aWallNow, policy.m_vmOutEstimate)) {
    return "outside of its maintenance windows";
  }
  return RefuseTakeOut(aState, aVm.m_name);
}

auto PreferenceOf(const VmRecord& aVm, const OutPlaces& aPlaces)
{
  const bool isRackNew = !aPlaces.m_racks.contains(aVm.m_rack);
  const bool isZoneNew = !aPlaces.m_zones.contains(aVm.m_zone);
  return std::make_tuple(!aVm.m_isDown, isRackNew, isZoneNew, aVm.m_zone, aVm.m_rack, aVm.m_name);
}

int FreeTakeOuts(const FleetState& aState, const WaveProgress& aProgress)
{
  const int limit = aState.m_policy.m_takeOutsPerWave;
  return limit == 0 ? INT32_MAX : limit - aProgress.m_out;
}

/// Minute of the week, counted from Sunday 00:00 UTC.
int MinuteOfWeek(WallTime aWallNow)
{
  const auto minutes =
    std::chrono::duration_cast<std::chrono::minutes>(aWallNow.time_since_epoch()).count();
  const auto sinceSunday = minutes + kEpochWeekday * kMinutesPerDay;
  return static_cast<int>(sinceSunday % kMinutesPerWeek);
}

bool IsOpen(const MaintenanceWindow& aWindow, int aMinute, int aNeeded)
{
  for (const int weekday : aWindow.m_weekdays) {
    const int start = weekday * kMinutesPerDay + aWindow.m_startMinute;
    const int elapsed = (aMinute - start + kMinutesPerWeek) % kMinutesPerWeek;
    if (elapsed + aNeeded <= aWindow.m_lengthMinutes) {
      return true;
    }
  }
  return false;
}

} // namespace

bool IsInWindow(const FleetState& aState, const std::string& aVm, WallTime aWallNow, Millis aOut)
{
  const Labels& labels = aState.m_index.m_labelsOf.at(aVm);
  const int needed = static_cast<int>(std::chrono::ceil<std::chrono::minutes>(aOut).count());
  bool isFree = true;
  for (const auto& [name, window] : aState.m_configuration.m_windows) {
    if (!window.m_selector.Matches(labels)) {
      continue;
    }
    if (IsOpen(window, MinuteOfWeek(aWallNow), needed)) {
      return true;
    }
    isFree = false;
  }
  return isFree;
}

std::string WaveOperationId(const WaveRecord& aWave, const std::string& aVm)
{
  return aWave.m_operationId + "/" + aVm;
}

Millis LowerBound(const std::vector<std::pair<int, int>>& aCountsAndAllowed, Millis aVmOutTime)
{
  int rounds = 0;
  for (const auto& [count, allowed] : aCountsAndAllowed) {
    const int atOnce = std::max(1, allowed);
    rounds = std::max(rounds, (count + atOnce - 1) / atOnce);
  }
  return aVmOutTime * rounds;
}

WaveProgress MeasureWave(const FleetState& aState, const WaveRecord& aWave, Millis aVmOutTime)
{
  WaveProgress progress;
  std::map<std::string, int> open;
  for (const VmRecord* vm : MembersOf(aState, aWave)) {
    ++progress.m_total;
    const bool isOut = IsOfWave(*vm, aWave);
    progress.m_done += IsDone(*vm, aWave) ? 1 : 0;
    progress.m_out += isOut ? 1 : 0;
    progress.m_failing += isOut && vm->m_attempt > 0 ? 1 : 0;
    const auto services = aState.m_index.m_servicesOf.find(vm->m_name);
    if (!IsDone(*vm, aWave) && services != aState.m_index.m_servicesOf.end()) {
      for (const std::string& service : services->second) {
        ++open[service];
      }
    }
  }
  progress.m_waiting = progress.m_total - progress.m_done - progress.m_out;
  std::vector<std::pair<int, int>> counts;
  for (const auto& [service, count] : open) {
    const AvailabilityBudget& budget = aState.m_configuration.m_services.at(service).m_budget;
    counts.emplace_back(count, budget.m_maxUnavailable - budget.m_failureReserve);
  }
  progress.m_remaining = LowerBound(counts, aVmOutTime);
  progress.m_isHalted =
    aState.m_policy.m_rules.m_haltOnFailure &&
    progress.m_failing - aWave.m_acceptedFailures >= aState.m_policy.m_haltAfterFailures;
  return progress;
}

WaveCandidates PlanWave(const FleetState& aState, const WaveRecord& aWave, WallTime aWallNow)
{
  WaveCandidates plan;
  const WaveProgress progress = MeasureWave(aState, aWave, aState.m_policy.m_vmOutEstimate);
  const OutPlaces places = FindOutPlaces(aState);
  std::vector<const VmRecord*> fitting;
  for (const VmRecord* vm : MembersOf(aState, aWave)) {
    if (IsDone(*vm, aWave) || IsOfWave(*vm, aWave)) {
      continue;
    }
    if (aWave.m_state != WaveState::Running) {
      plan.m_reasons[vm->m_name] = fmt::format("the wave is {}", ToName(aWave.m_state));
    } else if (progress.m_isHalted) {
      plan.m_reasons[vm->m_name] =
        fmt::format("the wave has halted: {} VMs fail to come back", progress.m_failing);
    } else if (auto reason = RefuseCandidate(aState, *vm, places, aWallNow)) {
      plan.m_reasons[vm->m_name] = std::move(*reason);
    } else {
      fitting.push_back(vm);
    }
  }
  std::sort(fitting.begin(), fitting.end(), [&](const VmRecord* aLeft, const VmRecord* aRight) {
    return PreferenceOf(*aLeft, places) < PreferenceOf(*aRight, places);
  });
  const int free = std::max(0, FreeTakeOuts(aState, progress));
  for (const VmRecord* vm : fitting) {
    if (static_cast<int>(plan.m_next.size()) < free) {
      plan.m_next.push_back(vm->m_name);
    } else {
      plan.m_reasons[vm->m_name] = "the wave has its limit of VMs out";
    }
  }
  return plan;
}

} // namespace mustardtray
