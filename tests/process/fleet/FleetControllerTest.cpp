#include "mustardtray/process/fleet/FleetController.h"

#include <doctest/doctest.h>

#include "bench/FleetRun.h"

using namespace mustardtray;

namespace {

constexpr Millis kWaveLimit{ 3'600'000 };

void CheckNoSafetyViolation(const FleetFaultCounts& aFaults)
{
  CHECK(aFaults.m_budgetViolations == 0);
  CHECK(aFaults.m_twoPools == 0);
  CHECK(aFaults.m_stopsWithWork == 0);
  CHECK(aFaults.m_poolBelowMinimum == 0);
}

} // namespace

TEST_CASE("FleetController completes a wave over all VMs within the budgets")
{
  FleetRun run(SmallDeployment(), 1);
  auto& controller = run.AddController({});
  run.Settle();
  REQUIRE(run.StartWave(controller, "w1"));
  REQUIRE(run.RunUntil([&run] { return run.Fleet().IsMaintained(1); }, kWaveLimit));
  run.RunFor(Millis(5'000));
  CHECK(FindWave(run.Fleet().View(), "w1")->m_value.m_state == WaveState::Done);
  CHECK(run.Fleet().View().Ledger("one").m_value.m_planned.empty());
  CHECK(run.Fleet().Faults().m_budgetExceedances == 0);
  CheckNoSafetyViolation(run.Fleet().Faults());
}

namespace {

/// Fault injected into one write of the first controller while a second controller runs.
enum class WriteFault
{
  LoseAnswer,
  End,  ///< The controller ends before the write.
  Hold, ///< The write is delayed beyond the lease, so that the other controller takes over.
};

/// Runs one wave over two VMs of one service with the fault in write number aWrite of the first
/// controller; 0 injects no fault. Returns whether the wave completed.
bool RunWithFault(WriteFault aFault, int aWrite, FleetFaultCounts& aFaults, int& aWrites)
{
  const Deployment deployment{ "tiny", { 2 }, { 2, 1 }, { 1, 0 }, 0, 0 };
  FleetRun run(deployment, 1);
  FleetPolicy policy;
  policy.m_leaseDuration = Millis(5'000);
  policy.m_leaseMargin = Millis(1'000);
  run.Fleet().Times().m_drainMost = Millis(2'000);
  run.Fleet().Times().m_stop = Millis(2'000);
  run.Fleet().Times().m_start = Millis(1'000);
  run.Fleet().Times().m_rebootLeast = Millis(2'000);
  run.Fleet().Times().m_rebootMost = Millis(4'000);
  run.AddController(policy);
  run.AddController(policy);
  AccessFaults& faults = run.Access(0).Faults();
  (aFault == WriteFault::LoseAnswer ? faults.m_loseAnswerOfWrite
   : aFault == WriteFault::End      ? faults.m_endBeforeWrite
                                    : faults.m_holdWrite) = aWrite;
  faults.m_holdTime = Millis(30'000);
  run.Settle();
  const auto answer = run.StartWave(run.At(1), "w1");
  const bool isCompleted =
    answer && run.RunUntil([&run] { return run.Fleet().IsMaintained(1); }, Millis(600'000));
  run.RunFor(Millis(40'000));
  aFaults = run.Fleet().Faults();
  aWrites = run.Access(0).Writes();
  return isCompleted;
}

/// Injects the fault into each write in turn that the first controller makes in a run without
/// faults.
void InjectFaultIntoEachWrite(WriteFault aFault)
{
  FleetFaultCounts faults;
  int writes = 0;
  CHECK(RunWithFault(aFault, 0, faults, writes));
  CHECK(writes > 10);
  for (int write = 1; write <= writes; ++write) {
    CAPTURE(write);
    int seen = 0;
    CHECK(RunWithFault(aFault, write, faults, seen));
    CheckNoSafetyViolation(faults);
  }
}

std::string JoinedExplanation(const FleetRun::Controller& aController, const std::string& aVm)
{
  std::string text;
  for (const std::string& line : aController.Explain(aVm)) {
    text += line + "\n";
  }
  return text;
}

} // namespace

TEST_CASE("FleetController violates no safety rule when the answer to any write is lost")
{
  InjectFaultIntoEachWrite(WriteFault::LoseAnswer);
}

TEST_CASE("FleetController violates no safety rule when it ends before any write")
{
  InjectFaultIntoEachWrite(WriteFault::End);
}

TEST_CASE("FleetController violates no safety rule when any write arrives after its lease expired")
{
  InjectFaultIntoEachWrite(WriteFault::Hold);
}

TEST_CASE("FleetController waits for an unreachable entry VM and explains the wait")
{
  for (const bool isAwaited : { true, false }) {
    FleetRun run(SmallDeployment(), 2);
    FleetPolicy policy;
    policy.m_rules.m_awaitDrain = isAwaited;
    auto& controller = run.AddController(policy);
    run.Settle();
    run.Fleet().SetCutOff("entry-1-2", true);
    REQUIRE(run.StartWave(controller, "w1"));
    run.RunFor(Millis(300'000));
    CHECK((run.Fleet().Faults().m_stopsWithWork == 0) == isAwaited);
    if (isAwaited) {
      CHECK(
        JoinedExplanation(controller, "one-01").find("entry VM entry-1-2 has not acknowledged") !=
        std::string::npos);
      run.Fleet().SetCutOff("entry-1-2", false);
      CHECK(run.RunUntil([&run] { return run.Fleet().IsMaintained(1); }, kWaveLimit));
      CHECK(run.Fleet().Faults().m_stopsWithWork == 0);
    }
  }
}

TEST_CASE("FleetController completes a wave when a VM crashes during its maintenance")
{
  for (int second = 1; second <= 120; second += 12) {
    CAPTURE(second);
    FleetRun run(SmallDeployment(), 3);
    auto& controller = run.AddController({});
    run.Settle();
    REQUIRE(run.StartWave(controller, "w1"));
    run.RunFor(std::chrono::seconds(second));
    run.Fleet().Crash("one-01", Millis(20'000));
    CHECK(run.RunUntil([&run] { return run.Fleet().IsMaintained(1); }, kWaveLimit));
    CHECK(run.Fleet().View().Ledger("one").m_value.CountUnavailable() == 0);
    CheckNoSafetyViolation(run.Fleet().Faults());
  }
}

TEST_CASE("FleetController pauses, resumes and cancels a wave")
{
  FleetRun run(SmallDeployment(), 4);
  auto& controller = run.AddController({});
  run.Settle();
  REQUIRE(run.StartWave(controller, "w1"));
  const auto ignore = [](const Result<std::string>& aResult) { CHECK(aResult); };
  run.RunFor(Millis(60'000));
  controller.Pause("w1", ignore);
  run.RunFor(Millis(400'000));
  const int done = controller.Progress("w1")->m_done;
  CHECK(done > 0);
  CHECK(done < controller.Progress("w1")->m_total);
  CHECK(controller.Progress("w1")->m_out == 0);
  controller.Resume("w1", ignore);
  run.RunFor(Millis(5'000));
  CHECK(controller.Progress("w1")->m_out > 0);
  controller.Cancel("w1", ignore);
  run.RunFor(Millis(400'000));
  CHECK(controller.Progress("w1")->m_out == 0);
  CHECK(run.Fleet().View().Ledger("one").m_value.CountUnavailable() == 0);
}

TEST_CASE(
  "FleetController halts a wave whose reboots fail, and continues after the operator resumes it")
{
  for (const bool isHalting : { true, false }) {
    FleetRun run(SmallDeployment(), 5);
    FleetPolicy policy;
    policy.m_rules.m_haltOnFailure = isHalting;
    policy.m_rules.m_avoidFailingRacks = false;
    policy.m_rules.m_keepMinionPerZone = false;
    policy.m_rules.m_enforceBudget = false;
    policy.m_maxOutPerWave = 4;
    auto& controller = run.AddController(policy);
    run.Settle();
    for (const char* vm : { "one-01", "two-01", "one-03" }) {
      run.Fleet().FailReboots(vm, 1'000);
    }
    REQUIRE(run.StartWave(controller, "w1"));
    run.RunFor(Millis(1'200'000));
    const auto progress = *controller.Progress("w1");
    CHECK(progress.m_isHalted == isHalting);
    CHECK((progress.m_waiting > 0) == isHalting);
    if (isHalting) {
      controller.Resume("w1", [](const Result<std::string>& aResult) { CHECK(aResult); });
      run.RunFor(Millis(1'200'000));
      CHECK(controller.Progress("w1")->m_done > progress.m_done);
    }
  }
}

TEST_CASE("FleetController carries out a repeated drain request once and holds the VM")
{
  FleetRun run(SmallDeployment(), 6);
  run.AddController({});
  run.AddController({});
  run.Settle();
  int accepted = 0;
  const auto count = [&accepted](const Result<std::string>& aResult) {
    accepted += aResult ? 1 : 0;
  };
  run.At(0).Drain("one-01", "d1", count);
  run.At(1).Drain("one-01", "d1", count);
  run.RunFor(Millis(5'000));
  run.At(1).Drain("one-02", "d2", count);
  run.RunFor(Millis(60'000));
  CHECK(accepted == 2);
  CHECK(run.Fleet().View().Vm("one-01")->m_phase == VmPhase::Drained);
  run.At(1).Release("one-01", count);
  run.RunFor(Millis(10'000));
  CHECK_FALSE(run.Fleet().View().Vm("one-01")->IsOut());
  CHECK(run.Fleet().Faults().m_stopsWithWork == 0);
}
