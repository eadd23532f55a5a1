/// Compares routing policies under floods: the schedulers of all entry VMs on virtual time.
/// Prints one JSON line for each seed and policy, then a table.

#include <cstdint>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <cxxopts.hpp>

#include "bench/FloodReport.h"

using namespace mustardtray;
using namespace mustardtray::bench;

namespace {

/// One line of the table to be.
struct Cell
{
  const Deployment* m_deployment = nullptr;
  const Policy* m_policy = nullptr;
  std::vector<FloodMeasures> m_measures; ///< By seed.
};

struct Job
{
  Cell* m_cell = nullptr;
  std::uint64_t m_seed = 0;
};

FloodMeasures RunJob(const Job& aJob, Spread aSpread)
{
  const Deployment& deployment = *aJob.m_cell->m_deployment;
  std::vector<std::vector<ServiceResult>> results;
  FloodLoad load;
  for (const Scenario scenario :
       { Scenario::Quiet, Scenario::MayWaitFlood, Scenario::UrgentFlood }) {
    load = MakeLoad(deployment, scenario, aSpread, aJob.m_seed);
    FloodRun run(load, *aJob.m_cell->m_policy, deployment.m_hop);
    results.push_back(run.Run());
  }
  return Measure(load, results[0], results[1], results[2]);
}

void RunAll(std::vector<Job> aJobs, Spread aSpread, unsigned aThreads)
{
  std::mutex mutex;
  const auto work = [&] {
    std::unique_lock lock(mutex);
    while (!aJobs.empty()) {
      const Job job = aJobs.back();
      aJobs.pop_back();
      lock.unlock();
      const FloodMeasures measures = RunJob(job, aSpread);
      lock.lock();
      job.m_cell->m_measures[job.m_seed - 1] = measures;
    }
  };
  std::vector<std::jthread> threads;
  for (unsigned i = 0; i < aThreads; ++i) {
    threads.emplace_back(work);
  }
}

void Print(const std::vector<Cell>& aCells)
{
  for (const Cell& cell : aCells) {
    std::uint64_t seed = 0;
    for (const FloodMeasures& measures : cell.m_measures) {
      std::cout << JsonLine(cell.m_deployment->m_name, cell.m_policy->m_name, ++seed, measures)
                << '\n';
    }
  }
  std::cout << TableHead() << '\n';
  for (const Cell& cell : aCells) {
    std::cout << TableRow(cell.m_deployment->m_name, cell.m_policy->m_name, cell.m_measures)
              << '\n';
  }
}

} // namespace

int main(int aArgc, char** aArgv)
{
  cxxopts::Options options("bench-flood", "Compares routing policies under floods.");
  options.add_options()(
    "seeds", "Seeds to run", cxxopts::value<std::uint64_t>()->default_value("10"))(
    "threads", "Runs at once", cxxopts::value<unsigned>()->default_value("4"))(
    "skewed", "Uneven arrivals over the entry VMs of a zone")(
    "policy", "Only this policy", cxxopts::value<std::string>()->default_value(""))("help", "Help");
  const auto parsed = options.parse(aArgc, aArgv);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  const auto seeds = parsed["seeds"].as<std::uint64_t>();
  const auto only = parsed["policy"].as<std::string>();
  std::vector<Cell> cells;
  for (const Deployment& deployment : Deployments()) {
    for (const Policy& policy : Policies()) {
      if (only.empty() || only == policy.m_name) {
        cells.push_back({ &deployment, &policy, std::vector<FloodMeasures>(seeds) });
      }
    }
  }
  std::vector<Job> jobs;
  for (Cell& cell : cells) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      jobs.push_back({ &cell, seed });
    }
  }
  const Spread spread = parsed.count("skewed") > 0 ? Spread::Skewed : Spread::Even;
  RunAll(std::move(jobs), spread, parsed["threads"].as<unsigned>());
  Print(cells);
  return 0;
}
