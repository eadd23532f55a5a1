/// bench-config: time from the acceptance of a change until it is in force on every node, and what
/// a node spends. Prints one JSON line for each scenario.

#include <algorithm>
#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <thread>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "bench/ConfigDeployment.h"

using namespace mustardtray;

namespace {

using Clock = std::chrono::steady_clock;

/// Longest pause before a change, so that changes fall anywhere between two polls.
constexpr int kLongestPauseMs = 100;
constexpr int kFrozenNode = 6;
constexpr int kRestartedNode = 3;
constexpr int kMeasuredNode = 5;
constexpr int kOperators = 4;

struct Options
{
  std::string m_examples;
  std::string m_only; ///< Scenario; empty runs all.
  int m_changes = 100;
  int m_racing = 1'000;
  unsigned m_seed = 1;
};

double SecondsSince(Clock::time_point aStart)
{
  return std::chrono::duration<double>(Clock::now() - aStart).count();
}

/// A label of its own for each change.
ApplyRequest LabelChange(const std::string& aName, int aNumber)
{
  const std::string vm = fmt::format("pl-a-t{:02}", 1 + aNumber % 12);
  ApplyRequest request;
  request.m_operationId = fmt::format("{}-{}", aName, aNumber);
  request.m_changes = { { fmt::format("/vm_labels/{}/{}", vm, aName), Json(), "x" } };
  request.m_changes[0].m_pointer += std::to_string(aNumber);
  return request;
}

double Quantile(const std::vector<double>& aSorted, double aPart)
{
  if (aSorted.empty()) {
    return -1;
  }
  return aSorted[static_cast<std::size_t>(aPart * static_cast<double>(aSorted.size() - 1))];
}

/// Makes changes one after the other, at nodes in turn, each once the last is in force.
Json RunChanges(ConfigDeployment& aDeployment,
                const Options& aOptions,
                const std::string& aName,
                int aFrozen)
{
  std::mt19937 random(aOptions.m_seed);
  std::vector<double> seconds;
  for (int i = 0; i < aOptions.m_changes; ++i) {
    const int at = i % kConfigNodes == aFrozen ? 0 : i % kConfigNodes;
    std::this_thread::sleep_for(Millis(random() % kLongestPauseMs));
    const ApplyOutcome outcome = aDeployment.Node(at).Apply(LabelChange(aName, i)).get();
    if (outcome.m_status != ApplyStatus::Accepted) {
      continue;
    }
    const double waited = aDeployment.WaitFor(outcome.m_version, aFrozen);
    if (waited >= 0) {
      seconds.push_back(waited);
    }
  }
  std::sort(seconds.begin(), seconds.end());
  return Json{
    { "changes", aOptions.m_changes },   { "in_force", seconds.size() },
    { "p50_s", Quantile(seconds, 0.5) }, { "p99_s", Quantile(seconds, 0.99) },
    { "max_s", Quantile(seconds, 1) },   { "moved_back", aDeployment.HasAnyMovedBack() }
  };
}

/// Four operators at four nodes change labels of the same VMs, while answers get lost and reads
/// are stale.
Json RunRace(ConfigDeployment& aDeployment, const Options& aOptions)
{
  PlatformFaults faults;
  faults.m_responseLossProbability = 0.02;
  faults.m_seed = aOptions.m_seed;
  faults.m_tableLag = Millis(50);
  aDeployment.SetFaults(faults);
  const std::uint64_t before = aDeployment.Node(0).Version();
  const auto start = Clock::now();
  std::vector<std::thread> operators;
  std::vector<std::map<std::string, int>> statuses(kOperators);
  for (int i = 0; i < kOperators; ++i) {
    operators.emplace_back([&, i] {
      for (int j = 0; j < aOptions.m_racing / kOperators; ++j) {
        const std::string name = fmt::format("race{}", i);
        const ApplyOutcome outcome = aDeployment.Node(i).Apply(LabelChange(name, j)).get();
        ++statuses[static_cast<std::size_t>(i)][std::string(ToName(outcome.m_status))];
      }
    });
  }
  for (std::thread& thread : operators) {
    thread.join();
  }
  const double seconds = SecondsSince(start);
  aDeployment.SetFaults({});
  std::map<std::string, int> total;
  for (const auto& counts : statuses) {
    for (const auto& [status, count] : counts) {
      total[status] += count;
    }
  }
  const auto accepted = static_cast<std::uint64_t>(total["accepted"]);
  return Json{ { "outcomes", total },
               { "seconds", seconds },
               { "in_force_s", aDeployment.WaitFor(before + accepted, kNoNode) },
               { "versions_made", aDeployment.Node(0).Version() - before },
               { "moved_back", aDeployment.HasAnyMovedBack() } };
}

/// A node that starts while the platform is down.
Json RestartInOutage(ConfigDeployment& aDeployment)
{
  PlatformFaults down;
  down.m_outage = Outage::Close;
  const std::uint64_t version = aDeployment.Node(0).Version();
  aDeployment.SetFaults(down);
  aDeployment.RestartNode(kRestartedNode);
  const double waited = aDeployment.WaitFor(version, kNoNode);
  const ApplyOutcome refused = aDeployment.Node(0).Apply(LabelChange("outage", 0)).get();
  aDeployment.SetFaults({});
  const ApplyOutcome after = aDeployment.Node(0).Apply(LabelChange("outage", 0)).get();
  aDeployment.WaitFor(after.m_version, kNoNode);
  return Json{ { "in_force_s", waited },
               { "change_in_outage", ToName(refused.m_status) },
               { "change_after", ToName(after.m_status) },
               { "moved_back", aDeployment.HasAnyMovedBack() } };
}

/// Control thread's processor time and platform bytes of one node, idle and with changes.
Json MeasureCost(ConfigDeployment& aDeployment, const Options& aOptions)
{
  constexpr double kIdleSeconds = 8;
  ConfigNode& node = aDeployment.Node(kMeasuredNode);
  const ConfigNodeCost start = node.Cost();
  std::this_thread::sleep_for(std::chrono::duration<double>(kIdleSeconds));
  const ConfigNodeCost idle = node.Cost();
  const auto begin = Clock::now();
  for (int i = 0; i < aOptions.m_changes; ++i) {
    const ApplyOutcome outcome = aDeployment.Node(0).Apply(LabelChange("cost", i)).get();
    aDeployment.WaitFor(outcome.m_version, kNoNode);
  }
  const double seconds = SecondsSince(begin);
  const ConfigNodeCost busy = node.Cost();
  const double idleCpu = (idle.m_cpuSeconds - start.m_cpuSeconds) / kIdleSeconds;
  const double idleBytes =
    static_cast<double>(idle.m_platformBytes - start.m_platformBytes) / kIdleSeconds;
  const double busyCpu = busy.m_cpuSeconds - idle.m_cpuSeconds;
  const auto busyBytes = static_cast<double>(busy.m_platformBytes - idle.m_platformBytes);
  return Json{ { "idle_cpu_share", idleCpu },
               { "idle_platform_bytes_per_s", idleBytes },
               { "cpu_ms_per_change", (busyCpu - idleCpu * seconds) * 1'000 / aOptions.m_changes },
               { "platform_bytes_per_change",
                 (busyBytes - idleBytes * seconds) / aOptions.m_changes } };
}

void RunScenario(const std::string& aName,
                 const Options& aOptions,
                 const std::function<Json()>& aScenario)
{
  if (!aOptions.m_only.empty() && aOptions.m_only != aName) {
    return;
  }
  Json result = aScenario();
  result["scenario"] = aName;
  result["seed"] = aOptions.m_seed;
  std::cout << result.dump() << std::endl;
}

void Run(const Options& aOptions)
{
  ConfigDeployment deployment(aOptions.m_examples);
  RunScenario(
    "steady", aOptions, [&] { return RunChanges(deployment, aOptions, "steady", kNoNode); });
  RunScenario("cost", aOptions, [&] { return MeasureCost(deployment, aOptions); });
  RunScenario("restart-in-outage", aOptions, [&] { return RestartInOutage(deployment); });
  RunScenario("race", aOptions, [&] { return RunRace(deployment, aOptions); });
  RunScenario("one-frozen", aOptions, [&] {
    deployment.Node(kFrozenNode).Freeze();
    Json result = RunChanges(deployment, aOptions, "frozen", kFrozenNode);
    deployment.Node(kFrozenNode).Thaw();
    return result;
  });
}

} // namespace

int main(int aCount, char** aArguments)
{
  cxxopts::Options options("bench-config", "Measures how soon a configuration is in force.");
  options.add_options()(
    "examples", "folder of the examples", cxxopts::value<std::string>()->default_value("examples"))(
    "only", "scenario to run", cxxopts::value<std::string>()->default_value(""))(
    "changes", "changes in each scenario", cxxopts::value<int>()->default_value("100"))(
    "racing", "changes of racing operators", cxxopts::value<int>()->default_value("1000"))(
    "seed", "of pauses and faults", cxxopts::value<unsigned>()->default_value("1"))(
    "h,help", "print this help");
  try {
    const auto parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << "\n";
      return 0;
    }
    Run({ parsed["examples"].as<std::string>(),
          parsed["only"].as<std::string>(),
          parsed["changes"].as<int>(),
          parsed["racing"].as<int>(),
          parsed["seed"].as<unsigned>() });
    return 0;
  } catch (const std::exception& fault) {
    std::cerr << fault.what() << "\n";
    return 2;
  }
}
