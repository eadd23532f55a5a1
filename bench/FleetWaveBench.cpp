#include "bench/FleetBench.h"

#include <algorithm>
#include <random>

#include <fmt/format.h>

namespace mustardtray {

namespace {

constexpr std::size_t kControllers = 3;
constexpr Millis kWaveLimit{ 4 * 3'600'000 };
constexpr double kLostAnswers = 0.02;
constexpr int kRacksPerFault = 1;

/// Sum of the VMs' own times over the number that the budget lets out at once, for the service
/// that takes longest: no order is faster.
double LowerBoundSeconds(const VirtualFleet& aFleet)
{
  const FleetIndex index = BuildFleetIndex(aFleet.View(), aFleet.Config());
  double bound = 0;
  for (const auto& [service, members] : index.m_vmsByService) {
    const AvailabilityBudget& budget = aFleet.Config().m_services.at(service).m_budget;
    Millis total{ 0 };
    for (const std::string& vm : members) {
      total += aFleet.OutTimes().at(vm);
    }
    const int allowed = budget.m_maxUnavailable - budget.m_failureReserve;
    bound = std::max(bound, std::chrono::duration<double>(total).count() / allowed);
  }
  return bound;
}

/// Faults that arrive inside the wave: a rack, single VMs, failing reboots, store outages, lost
/// answers, a paused and a killed controller, and an entry VM cut off for a while.
class WaveFaults
{
public:
  WaveFaults(FleetRun& aRun, std::uint64_t aSeed)
    : m_run(aRun)
    , m_random(aSeed)
  {
  }

  void Schedule()
  {
    for (std::size_t i = 0; i < kControllers; ++i) {
      m_run.Access(i).Faults().m_lostAnswers = kLostAnswers;
    }
    for (int i = 0; i < kRacksPerFault; ++i) {
      At(100, 500, [this] { CrashRack(); });
    }
    At(50, 900, [this] { CrashOne(); });
    At(10, 200, [this] { m_run.Fleet().FailReboots(AnyVm(), 1); });
    At(100, 600, [this] { Outage(); });
    At(100, 400, [this] { Pause(); });
    At(200, 500, [this] {
      m_run.Access(0).Faults().m_endBeforeWrite = m_run.Access(0).Writes() + 1;
    });
    At(100, 500, [this] { CutOff(); });
    At(50, 300, [this] { RaceOperators(); });
  }

private:
  void At(int aLeast, int aMost, std::function<void()> aFault)
  {
    std::uniform_int_distribution<int> when(aLeast, aMost);
    m_run.Time().After(std::chrono::seconds(when(m_random)), std::move(aFault));
  }

  std::string AnyVm()
  {
    const auto& vms = m_run.Fleet().View().m_vms;
    std::uniform_int_distribution<std::size_t> which(0, vms.size() - 1);
    return std::next(vms.begin(), static_cast<std::ptrdiff_t>(which(m_random)))->first;
  }

  void CrashOne() { m_run.Fleet().Crash(AnyVm(), Millis(120'000)); }

  void CrashRack()
  {
    const std::string rack = m_run.Fleet().View().Vm(AnyVm())->m_rack;
    for (const auto& [name, row] : m_run.Fleet().View().m_vms) {
      if (row.m_value.m_rack == rack) {
        m_run.Fleet().Crash(name, Millis(240'000));
      }
    }
  }

  void Outage()
  {
    m_run.Fleet().SetStoreDown(true);
    m_run.Time().After(Millis(30'000), [this] { m_run.Fleet().SetStoreDown(false); });
  }

  /// The next write of the controller arrives after its lease has lapsed.
  void Pause()
  {
    AccessFaults& faults = m_run.Access(1).Faults();
    faults.m_holdWrite = m_run.Access(1).Writes() + 1;
    faults.m_holdTime = Millis(60'000);
  }

  void CutOff()
  {
    const std::string& entryVm = m_run.EntryVms().back();
    m_run.Fleet().SetCutOff(entryVm, true);
    m_run.Time().After(Millis(60'000),
                       [this, &entryVm] { m_run.Fleet().SetCutOff(entryVm, false); });
  }

  /// Two operators drain VMs of one service at the same moment and release them later.
  void RaceOperators()
  {
    for (std::size_t i = 1; i < kControllers; ++i) {
      const std::string vm = MinionVm(0, static_cast<int>(i));
      const std::string id = fmt::format("operator-{}", i);
      m_run.At(i).Drain(vm, id, [this, i, vm](const Result<std::string>& aResult) {
        if (aResult) {
          ReleaseLater(i, vm);
        }
      });
    }
  }

  void ReleaseLater(std::size_t aController, const std::string& aVm)
  {
    m_run.Time().After(Millis(60'000), [this, aController, aVm] {
      m_run.At(aController).Release(aVm, [](const Result<std::string>&) {});
    });
  }

  FleetRun& m_run;
  std::mt19937_64 m_random;
};

} // namespace

FleetResult RunWave(const Deployment& aDeployment,
                    const FleetPolicy& aPolicy,
                    bool aHasFaults,
                    int aSeed)
{
  FleetRun run(aDeployment, static_cast<std::uint64_t>(aSeed));
  for (std::size_t i = 0; i < kControllers; ++i) {
    run.AddController(aPolicy);
  }
  run.Settle();
  const TimePoint start = run.Time().Now();
  FleetResult result;
  const auto answer = run.StartWave(run.At(kControllers - 1), "wave");
  WaveFaults faults(run, static_cast<std::uint64_t>(aSeed) + 1'000);
  if (aHasFaults) {
    faults.Schedule();
  }
  result.m_isFinished =
    answer && run.RunUntil([&run] { return run.Fleet().IsMaintained(1); }, kWaveLimit);
  result.m_rollOutSeconds = std::chrono::duration<double>(run.Time().Now() - start).count();
  if (result.m_isFinished) {
    result.m_lowerBoundSeconds = LowerBoundSeconds(run.Fleet());
  }
  result.m_faults = run.Fleet().Faults();
  return result;
}

} // namespace mustardtray
