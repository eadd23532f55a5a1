/// More than 500 work units end on one minion while the owner of its pool is frozen for 1.5 s. The
/// minion lists 500 ends at a time. The owner must not start those units again whose ends stand
/// behind the first 500.

#include <csignal>

#include <fmt/format.h>

#include "review/standin/World.h"

using namespace mustardtray;
using namespace mustardtray::review;

namespace {

constexpr std::size_t kJobs = 30;
constexpr std::size_t kUnitsPerJob = 20;
/// So that a minion never needs more than 64 connections.
constexpr Millis kBetweenJobs{ 40 };
constexpr Millis kWork{ 5'000 };
constexpr Millis kFreeze{ 1'500 };
/// Before the first ends.
constexpr Millis kLead{ 100 };
constexpr Millis kAfterwards{ 12'000 };

} // namespace

int main(int aCount, char** aArguments)
{
  World world(aCount > 1 ? aArguments[1] : ".", {});
  if (!world.Start()) {
    return kCouldNotRun;
  }
  const Json spec{ { "ms", kWork.count() }, { "cpu", 100 }, { "mem_mb", 128 } };
  const Json step{
    { "count", kUnitsPerJob }, { "cpu", 100 }, { "mem_mb", 128 }, { "estimate_ms", kWork.count() }
  };
  for (std::size_t i = 0; i < kJobs; ++i) {
    world.SubmitOnce(fmt::format("{:016x}", 0xa0 + i), spec, { step });
    world.RunFor(kBetweenJobs);
  }
  const auto allStarted = [&] { return world.Runs().Runs().size() >= kJobs * kUnitsPerJob; };
  if (!world.RunUntil(allStarted, kWork / 2)) {
    world.Log().Write("only {} units were started in time", world.Runs().Runs().size());
    return kCouldNotRun;
  }
  const TimePoint firstEnd = world.Runs().Runs().front().m_startedAt + kWork;
  world.RunUntil([&] { return MonotonicNow() >= firstEnd - kLead; }, kWork);
  for (const auto& minion : world.Minions()) {
    world.Log().Write("{} runs {} units", minion->Options().m_id, minion->RunningCount());
  }
  if (HasTrouble()) {
    const std::size_t owner = world.OwnerOfPool();
    world.Signal(owner, SIGSTOP);
    world.RunFor(kFreeze);
    world.Signal(owner, SIGCONT);
  }
  world.RunFor(kAfterwards);
  std::optional<std::string> violation = world.Runs().FindStartAfterDone();
  if (violation) {
    *violation = fmt::format(
      "TWICE: {} such starts, the first: {}", world.Runs().CountStartsAfterDone(), *violation);
  }
  return world.Finish(violation);
}
