/// Runs the soak for some seeds: those named, or fresh ones.

#include <filesystem>
#include <iostream>
#include <random>
#include <unistd.h>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "mustardtray/process/Log.h"
#include "tests/soak/Soak.h"

namespace {

constexpr int kKept = 0;
constexpr int kBroken = 1;
constexpr int kWrongUsage = 2;

/// Whether all promises held. The folder with the nodes' logs stays when one was broken.
bool RunSeed(std::uint64_t aSeed, mustardtray::soak::SoakOptions aOptions)
{
  aOptions.m_seed = aSeed;
  aOptions.m_folder = fmt::format("{}/seed-{}-{}", aOptions.m_folder, aSeed, getpid());
  const std::string folder = aOptions.m_folder;
  std::vector<std::string> broken;
  std::size_t accepted = 0;
  std::size_t jobs = 0;
  {
    mustardtray::soak::Soak soak(std::move(aOptions));
    broken = soak.Run();
    accepted = soak.AcceptedJobs();
    jobs = soak.Jobs();
  }
  std::cout << fmt::format(
    "seed {}: {} of {} jobs accepted, {} promises broken\n", aSeed, accepted, jobs, broken.size());
  for (const std::string& what : broken) {
    std::cout << "  " << what << "\n";
  }
  std::cout << std::flush;
  if (broken.empty()) {
    std::filesystem::remove_all(folder);
  } else {
    std::cout << "  logs: " << folder << "\n";
  }
  return broken.empty();
}

} // namespace

int main(int aCount, char** aArguments)
{
  cxxopts::Options options("soak", "Runs nodes as processes and injects faults from outside.");
  options.add_options()("program", "of the nodes", cxxopts::value<std::string>())(
    "folder", "for settings and logs", cxxopts::value<std::string>()->default_value("soak-runs"))(
    "seeds", "to play, in this order", cxxopts::value<std::vector<std::uint64_t>>())(
    "fresh", "number of fresh seeds", cxxopts::value<std::size_t>()->default_value("0"))(
    "seconds", "of faults for each", cxxopts::value<int>()->default_value("12"))(
    "nodes", "processes", cxxopts::value<std::size_t>()->default_value("4"))("calm", "no faults")(
    "h,help", "print this help");
  mustardtray::soak::SoakOptions soak;
  std::vector<std::uint64_t> seeds;
  try {
    const cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << "\n";
      return kKept;
    }
    soak.m_program = parsed["program"].as<std::string>();
    soak.m_folder = parsed["folder"].as<std::string>();
    soak.m_nodes = parsed["nodes"].as<std::size_t>();
    soak.m_faultTime = mustardtray::Millis(parsed["seconds"].as<int>() * 1'000);
    soak.m_hasFaults = parsed.count("calm") == 0;
    if (parsed.count("seeds") > 0) {
      seeds = parsed["seeds"].as<std::vector<std::uint64_t>>();
    }
    std::random_device device;
    for (std::size_t i = 0; i < parsed["fresh"].as<std::size_t>(); ++i) {
      seeds.push_back(device());
    }
  } catch (const cxxopts::exceptions::exception& fault) {
    std::cerr << fault.what() << "; see soak --help\n";
    return kWrongUsage;
  }
  std::size_t failed = 0;
  for (const std::uint64_t seed : seeds) {
    failed += RunSeed(seed, soak) ? 0 : 1;
  }
  std::cout << fmt::format("{} passed, {} failed\n", seeds.size() - failed, failed);
  return failed == 0 ? kKept : kBroken;
}
