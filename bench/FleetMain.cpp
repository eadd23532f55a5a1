/// Measures the fleet decisions under virtual time: waves and moves, with and without faults, each
/// policy beside its baselines. Prints one JSON line per run and a table. Arguments, all optional:
/// seeds, threads, scenario (wave, wave-with-faults, bursts or lasting-deficit).

#include <cstdio>
#include <cstdlib>
#include <string>

#include "bench/FleetBench.h"

int main(int aCount, char** aArguments)
{
  const int seeds = aCount > 1 ? std::atoi(aArguments[1]) : 10;
  const int threads = aCount > 2 ? std::atoi(aArguments[2]) : 4;
  const std::string scenario = aCount > 3 ? aArguments[3] : "";
  const auto results = mustardtray::RunFleetBench(seeds, threads, scenario);
  for (const auto& result : results) {
    std::puts(mustardtray::ToJson(result).dump().c_str());
  }
  std::fputs(mustardtray::SummaryTable(results).c_str(), stdout);
  return mustardtray::MeetsTargets(results) ? 0 : 1;
}
