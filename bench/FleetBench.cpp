#include "bench/FleetBench.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <thread>

#include <fmt/format.h>

namespace mustardtray {

namespace {

constexpr const char* kFull = "full";
constexpr const char* kWave = "wave";
constexpr const char* kWaveWithFaults = "wave-with-faults";
constexpr const char* kBursts = "bursts";
constexpr const char* kLasting = "lasting-deficit";
constexpr double kRollOutTarget = 1.3;
constexpr double kMovesTarget = 1.5;

struct NamedPolicy
{
  std::string m_name;
  FleetPolicy m_policy;
};

std::vector<NamedPolicy> WavePolicies()
{
  FleetPolicy noReserve;
  noReserve.m_rules.m_keepFailureReserve = false;
  FleetPolicy oneByOne;
  oneByOne.m_maxOutPerWave = 1;
  FleetPolicy noDrain;
  noDrain.m_rules.m_awaitDrain = false;
  return { { kFull, {} },
           { "no-reserve", noReserve },
           { "one-by-one", oneByOne },
           { "no-drain-wait", noDrain } };
}

std::vector<NamedPolicy> MovePolicies()
{
  FleetPolicy onBurst;
  onBurst.m_rules.m_requireSustainedLoad = false;
  FleetPolicy staticSplit;
  staticSplit.m_targetUtilization = 1e9;
  staticSplit.m_returnUtilization = 0;
  return { { kFull, {} }, { "move-on-burst", onBurst }, { "static-split", staticSplit } };
}

struct BenchTask
{
  FleetResult m_label;
  std::function<FleetResult()> m_run;
};

void AddTasks(const Deployment& aDeployment, int aSeed, std::vector<BenchTask>& aTasks)
{
  const auto add = [&](const char* aScenario, const NamedPolicy& aPolicy, auto aRun) {
    FleetResult label;
    label.m_deployment = aDeployment.m_name;
    label.m_scenario = aScenario;
    label.m_policy = aPolicy.m_name;
    label.m_seed = aSeed;
    aTasks.push_back(BenchTask{ label, aRun });
  };
  for (const NamedPolicy& named : WavePolicies()) {
    const FleetPolicy policy = named.m_policy;
    const bool isSafetyOff = !policy.m_rules.m_keepFailureReserve || !policy.m_rules.m_awaitDrain;
    if (!isSafetyOff) {
      add(kWave, named, [=] { return RunWave(aDeployment, policy, false, aSeed); });
    }
    if (policy.m_maxOutPerWave == 0) {
      add(kWaveWithFaults, named, [=] { return RunWave(aDeployment, policy, true, aSeed); });
    }
  }
  for (const NamedPolicy& named : MovePolicies()) {
    const FleetPolicy policy = named.m_policy;
    add(
      kBursts, named, [=] { return RunMoves(aDeployment, policy, LoadTrace::BurstsOnly, aSeed); });
    add(kLasting, named, [=] { return RunMoves(aDeployment, policy, LoadTrace::Lasting, aSeed); });
  }
}

FleetResult RunTask(const BenchTask& aTask)
{
  FleetResult result = aTask.m_run();
  result.m_deployment = aTask.m_label.m_deployment;
  result.m_scenario = aTask.m_label.m_scenario;
  result.m_policy = aTask.m_label.m_policy;
  result.m_seed = aTask.m_label.m_seed;
  return result;
}

/// Sums and extremes over the seeds of one row of the table.
struct Summary
{
  int m_runs = 0;
  int m_unfinished = 0;
  FleetFaultCounts m_faults;
  double m_rollOutSum = 0;
  double m_ratioMost = 0;
  int m_movesMost = 0;
  int m_returnsMost = 0;
  int m_deficits = 0;
  double m_unservedSum = 0;

  void Add(const FleetResult& aResult)
  {
    ++m_runs;
    m_unfinished += aResult.m_isFinished ? 0 : 1;
    m_faults.m_budgetViolations += aResult.m_faults.m_budgetViolations;
    m_faults.m_budgetExceedances += aResult.m_faults.m_budgetExceedances;
    m_faults.m_twoPools += aResult.m_faults.m_twoPools;
    m_faults.m_stopsWithWork += aResult.m_faults.m_stopsWithWork;
    m_faults.m_poolBelowMinimum += aResult.m_faults.m_poolBelowMinimum;
    m_rollOutSum += aResult.m_rollOutSeconds;
    m_ratioMost = std::max(m_ratioMost, aResult.RollOutRatio());
    m_movesMost = std::max(m_movesMost, aResult.m_moves);
    m_returnsMost = std::max(m_returnsMost, aResult.m_returns);
    m_deficits = std::max(m_deficits, aResult.m_deficits);
    m_unservedSum += aResult.m_unservedShare;
  }
};

bool IsSafe(const FleetFaultCounts& aFaults)
{
  return aFaults.m_budgetViolations == 0 && aFaults.m_twoPools == 0 &&
         aFaults.m_stopsWithWork == 0 && aFaults.m_poolBelowMinimum == 0;
}

bool MeetsTarget(const FleetResult& aResult)
{
  if (!aResult.m_isFinished || !IsSafe(aResult.m_faults)) {
    return false;
  }
  if (aResult.m_scenario == kWave) {
    return aResult.RollOutRatio() <= kRollOutTarget;
  }
  return aResult.m_scenario == kWaveWithFaults ||
         aResult.m_moves <= kMovesTarget * aResult.m_deficits;
}

} // namespace

Json ToJson(const FleetResult& aResult)
{
  return Json{ { "deployment", aResult.m_deployment },
               { "scenario", aResult.m_scenario },
               { "policy", aResult.m_policy },
               { "seed", aResult.m_seed },
               { "finished", aResult.m_isFinished },
               { "budget_violations", aResult.m_faults.m_budgetViolations },
               { "exceeded_service_seconds", aResult.m_faults.m_budgetExceedances },
               { "two_pools", aResult.m_faults.m_twoPools },
               { "stops_with_work", aResult.m_faults.m_stopsWithWork },
               { "pool_below_minimum", aResult.m_faults.m_poolBelowMinimum },
               { "roll_out_s", aResult.m_rollOutSeconds },
               { "lower_bound_s", aResult.m_lowerBoundSeconds },
               { "roll_out_ratio", aResult.RollOutRatio() },
               { "moves", aResult.m_moves },
               { "returns", aResult.m_returns },
               { "deficits", aResult.m_deficits },
               { "unserved_share", aResult.m_unservedShare } };
}

std::vector<FleetResult> RunFleetBench(int aSeeds, int aThreads, const std::string& aScenario)
{
  std::vector<BenchTask> tasks;
  for (int seed = 1; seed <= aSeeds; ++seed) {
    AddTasks(WroblewskiDeployment(), seed, tasks);
    AddTasks(CascadiaDeployment(), seed, tasks);
  }
  std::erase_if(tasks, [&aScenario](const BenchTask& aTask) {
    return !aScenario.empty() && aTask.m_label.m_scenario != aScenario;
  });
  std::vector<FleetResult> results(tasks.size());
  std::atomic<std::size_t> next{ 0 };
  std::vector<std::jthread> threads;
  for (int i = 0; i < aThreads; ++i) {
    threads.emplace_back([&] {
      for (std::size_t task = next++; task < tasks.size(); task = next++) {
        results[task] = RunTask(tasks[task]);
      }
    });
  }
  threads.clear();
  return results;
}

std::string SummaryTable(const std::vector<FleetResult>& aResults)
{
  std::map<std::array<std::string, 3>, Summary> rows;
  for (const FleetResult& result : aResults) {
    rows[{ result.m_deployment, result.m_scenario, result.m_policy }].Add(result);
  }
  std::string table = fmt::format("{:<11} {:<17} {:<17} {:>4} {:>6} {:>9} {:>8} {:>6} {:>6} {:>8} "
                                  "{:>8} {:>7} {:>9} {:>8} {:>9}\n",
                                  "deployment",
                                  "scenario",
                                  "policy",
                                  "runs",
                                  "unfin.",
                                  "violated",
                                  "exceed.s",
                                  "2pools",
                                  "w/work",
                                  "roll-out",
                                  "ratio<=",
                                  "moves<=",
                                  "returns<=",
                                  "deficits",
                                  "unserved");
  for (const auto& [key, row] : rows) {
    table += fmt::format("{:<11} {:<17} {:<17} {:>4} {:>6} {:>9} {:>8} {:>6} {:>6} {:>8.0f} "
                         "{:>8.2f} {:>7} {:>9} {:>8} "
                         "{:>8.1f}%\n",
                         key[0],
                         key[1],
                         key[2],
                         row.m_runs,
                         row.m_unfinished,
                         row.m_faults.m_budgetViolations,
                         row.m_faults.m_budgetExceedances,
                         row.m_faults.m_twoPools,
                         row.m_faults.m_stopsWithWork,
                         row.m_rollOutSum / row.m_runs,
                         row.m_ratioMost,
                         row.m_movesMost,
                         row.m_returnsMost,
                         row.m_deficits,
                         100 * row.m_unservedSum / row.m_runs);
  }
  return table;
}

bool MeetsTargets(const std::vector<FleetResult>& aResults)
{
  return std::all_of(aResults.begin(), aResults.end(), [](const FleetResult& aResult) {
    return aResult.m_policy != kFull || MeetsTarget(aResult);
  });
}

} // namespace mustardtray
