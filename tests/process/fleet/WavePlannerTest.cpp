#include "mustardtray/process/fleet/WavePlanner.h"

#include <doctest/doctest.h>

#include "bench/FleetRun.h"

using namespace mustardtray;

namespace {

/// Four VMs of one service in two zones with one rack each.
struct WaveFixture
{
  Configuration m_configuration;
  FleetPolicy m_policy;
  FleetView m_view;
  WaveRecord m_wave;

  WaveFixture()
  {
    m_configuration = BuildConfiguration({ "test", { 1, 1 }, { 4, 1 }, { 2, 0 }, 0, 0 });
    m_policy.m_rules.m_keepMinionPerZone = false;
    m_wave.m_operationId = "w";
    m_wave.m_number = 1;
    for (int i = 0; i < 4; ++i) {
      VmRecord vm;
      vm.m_name = MinionVm(0, i);
      vm.m_zone = i < 2 ? "zone-1" : "zone-2";
      vm.m_rack = i < 2 ? "rack-1" : "rack-2";
      vm.m_pool = ServiceName(0);
      m_view.m_vms[vm.m_name] = Versioned<VmRecord>{ 1, vm };
    }
  }

  VmRecord& Vm(int aIndex) { return m_view.m_vms.at(MinionVm(0, aIndex)).m_value; }

  void TakeOut(int aIndex, int aAttempt)
  {
    Vm(aIndex).m_phase = VmPhase::Rebooting;
    Vm(aIndex).m_attempt = aAttempt;
    Vm(aIndex).m_waveNumber = 1;
    m_view.m_ledgers[ServiceName(0)].m_value.m_planned[Vm(aIndex).m_name] = "w";
  }

  std::vector<std::string> Next(WallTime aNow = {}) const
  {
    const FleetIndex index = BuildFleetIndex(m_view, m_configuration);
    return PlanWave({ m_view, index, m_configuration, m_policy }, m_wave, aNow).m_candidates;
  }
};

} // namespace

TEST_CASE("WavePlanner prefers the rack where VMs are out of service")
{
  WaveFixture fixture;
  fixture.TakeOut(2, 0);
  CHECK(fixture.Next().front() == MinionVm(0, 3));
}

TEST_CASE("WavePlanner prefers a VM that is already down")
{
  WaveFixture fixture;
  fixture.Vm(3).m_isDown = true;
  fixture.m_view.m_ledgers[ServiceName(0)].m_value.m_down.insert(MinionVm(0, 3));
  CHECK(fixture.Next().front() == MinionVm(0, 3));
}

TEST_CASE("WavePlanner skips a rack where a reboot has failed")
{
  WaveFixture fixture;
  fixture.TakeOut(2, 1);
  CHECK(fixture.Next() == std::vector{ MinionVm(0, 0), MinionVm(0, 1) });
  fixture.m_policy.m_rules.m_avoidFailingRacks = false;
  CHECK(fixture.Next().front() == MinionVm(0, 3));
}

TEST_CASE("WavePlanner takes VMs out only when they return before the maintenance window ends")
{
  WaveFixture fixture;
  MaintenanceWindow window;
  window.m_weekdays = { 6 };
  window.m_startMinute = 23 * 60;
  window.m_lengthMinutes = 120;
  fixture.m_configuration.m_windows["night"] = window;
  // 1 January 1970 was a Thursday, so Saturday began two days later.
  const auto saturday = WallTime(std::chrono::hours(48));
  CHECK(fixture.Next(saturday + std::chrono::hours(22)).empty());
  CHECK(fixture.Next(saturday + std::chrono::hours(23)).size() == 4);
  CHECK(fixture.Next(saturday + std::chrono::hours(24)).size() == 4);
  CHECK(fixture.Next(saturday + std::chrono::minutes(24 * 60 + 59)).empty());
}

TEST_CASE(
  "WavePlanner computes the progress and estimates the remaining time from the tightest budget")
{
  WaveFixture fixture;
  fixture.Vm(0).m_lastRebootWave = 1;
  fixture.TakeOut(1, 1);
  const FleetIndex index = BuildFleetIndex(fixture.m_view, fixture.m_configuration);
  const FleetState state{ fixture.m_view, index, fixture.m_configuration, fixture.m_policy };
  const WaveProgress progress = ComputeWaveProgress(state, fixture.m_wave, Millis(60'000));
  CHECK(progress.m_total == 4);
  CHECK(progress.m_done == 1);
  CHECK(progress.m_failing == 1);
  CHECK(progress.m_waiting == 2);
  CHECK(progress.m_remaining == Millis(120'000));
}
