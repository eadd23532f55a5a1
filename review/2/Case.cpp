/// A job of 3,000 checkpointing work units runs. The stored form of its progress has every unit's
/// checkpoint in one row, which is longer than the store's row_bytes. Other jobs of the queue must
/// still run.

#include <algorithm>

#include <fmt/format.h>

#include "review/standin/World.h"

using namespace mustardtray;
using namespace mustardtray::review;

namespace {

/// Room for all units at once. A minion accepts 64 connections, so it gets fewer units.
constexpr std::size_t kMinions = 50;
constexpr std::int64_t kMinionCpu = 62'000;
constexpr std::size_t kLargeJob = 3'000;
/// Without the disruption; its progress fits into a row.
constexpr std::size_t kSmallerJob = 1'000;
constexpr Millis kLargeWork{ 10'000 };
constexpr Millis kSmallWork{ 500 };
constexpr std::size_t kSmallJobs = 4;
/// bounds.finish_s, after which accepted jobs are asked for.
constexpr Millis kFinishTime{ 14'000 };
/// A job must not have nothing running for so long while its turn has come.
constexpr Millis kLostTime{ 3'000 };

} // namespace

int main(int aCount, char** aArguments)
{
  WorldOptions options;
  options.m_minions = kMinions;
  options.m_minionCpu = kMinionCpu;
  World world(aCount > 1 ? aArguments[1] : ".", options);
  if (!world.Start()) {
    return kCouldNotRun;
  }
  const std::size_t units = HasTrouble() ? kLargeJob : kSmallerJob;
  const std::string large = fmt::format("{:016x}", 0xb0);
  const Json largeSpec{
    { "ms", kLargeWork.count() }, { "cpu", 1'000 }, { "mem_mb", 128 }, { "saves", true }
  };
  const Json largeStep{ { "count", units },
                        { "cpu", 1'000 },
                        { "mem_mb", 128 },
                        { "estimate_ms", kLargeWork.count() },
                        { "checkpointing", true } };
  if (!world.Submit(large, largeSpec, { largeStep })) {
    return kCouldNotRun;
  }
  // All units end.
  world.RunFor(kLargeWork + Millis{ 6'000 });
  world.Log().Write("{} units of the large job have ended done, {} of these ends are taken note of",
                    world.Runs().CountEnds(large, "done", false),
                    world.Runs().CountEnds(large, "done", true));
  const Json smallSpec{ { "ms", kSmallWork.count() }, { "cpu", 1'000 }, { "mem_mb", 256 } };
  const Json smallStep{
    { "count", 2 }, { "cpu", 1'000 }, { "mem_mb", 256 }, { "estimate_ms", kSmallWork.count() }
  };
  std::vector<std::string> accepted;
  for (std::size_t i = 0; i < kSmallJobs; ++i) {
    const std::string id = fmt::format("{:016x}", 0xc0 + i);
    if (world.Submit(id, smallSpec, { smallStep })) {
      accepted.push_back(id);
    }
  }
  world.RunFor(kFinishTime);
  for (std::size_t node = 0; node < world.NodeCount(); ++node) {
    world.State(large, node);
  }
  std::optional<std::string> violation;
  const auto running = [&] {
    std::size_t count = 0;
    for (const auto& minion : world.Minions()) {
      count += minion->RunningCount();
    }
    return count;
  };
  std::size_t mostRunning = running();
  world.RunUntil(
    [&] {
      mostRunning = std::max(mostRunning, running());
      return false;
    },
    kLostTime);
  std::size_t lost = 0;
  for (const std::string& id : accepted) {
    const std::string state = world.State(id, 0);
    lost += !world.Runs().HasStarted(id) && state != "completed" ? 1 : 0;
  }
  if (lost > 0 && mostRunning == 0) {
    violation = fmt::format("LOST: {} of {} accepted jobs have never started {} s after their "
                            "acks, while no minion of the pool ran anything for {} s",
                            lost,
                            accepted.size(),
                            kFinishTime.count() / 1'000,
                            kLostTime.count() / 1'000);
  }
  world.Log().Write("the store refused {} transactions", world.Gate().RefusedRows());
  if (accepted.empty()) {
    return kCouldNotRun;
  }
  return world.Finish(violation);
}
