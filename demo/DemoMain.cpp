/// Demo: starts a small fleet in two availability zones, sends requests through all entry VMs,
/// drains a VM and prints a table of the request outcomes.

#include <filesystem>
#include <iostream>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "standin/LoadGenerator.h"
#include "standin/LocalFleet.h"

using namespace mustardtray;

namespace {

constexpr Millis kStartTimeout{ 30'000 };
constexpr Millis kDrainTimeout{ 20'000 };
const std::string kDrainedVm = "a-t1";

/// One row of the result table.
struct ResultRow
{
  std::string m_name;
  LoadResult m_result;
};

LoadOptions MakeLoadOptions(const LocalFleet& aFleet,
                            const std::string& aName,
                            const std::string& aMethod)
{
  LoadOptions load;
  for (const LocalEntryVm& entry : aFleet.EntryVms()) {
    load.m_urls.push_back(entry.m_callerUrl);
  }
  load.m_workIdPrefix = aName;
  load.m_method = aMethod;
  load.m_path = "/orders/" + aName;
  load.m_isIdempotent = aMethod == "GET";
  load.m_requestCount = 400;
  load.m_requestsPerSecond = 200;
  return load;
}

std::vector<ResultRow> SendRequests(const LocalFleet& aFleet)
{
  LoadOptions place = MakeLoadOptions(aFleet, "place", "POST");
  place.m_sendsIdempotencyKey = true;
  place.m_sendsPerKey = 2;
  const LoadOptions lookUp = MakeLoadOptions(aFleet, "look-up", "GET");
  LoadOptions overload = MakeLoadOptions(aFleet, "change", "POST");
  overload.m_runTime = Millis(100);
  overload.m_requestCount = 4'000;
  overload.m_requestsPerSecond = 2'000;
  auto results = RunLoads({ place, lookUp, overload });
  return { { "place (urgent, each key sent twice)", std::move(results[0]) },
           { "look-up (may wait, idempotent)", std::move(results[1]) },
           { "change (may wait, overload)", std::move(results[2]) } };
}

bool PrintTable(const std::vector<ResultRow>& aRows, const LocalFleet& aFleet)
{
  const Json stats = aFleet.MinionStats();
  std::size_t foreignResponses = 0;
  std::cout << fmt::format("\n{:<38} {:>6} {:>9} {:>8} {:>8} {:>7} {:>9}\n",
                           "requests",
                           "sent",
                           "answered",
                           "refused",
                           "unknown",
                           "failed",
                           "p99 ms");
  for (const ResultRow& row : aRows) {
    const LoadResult& result = row.m_result;
    foreignResponses += result.CountMismatchedResponses();
    std::cout << fmt::format("{:<38} {:>6} {:>9} {:>8} {:>8} {:>7} {:>9.1f}\n",
                             row.m_name,
                             result.m_samples.size(),
                             result.Count(LoadOutcome::Answered),
                             result.Count(LoadOutcome::NotRun),
                             result.Count(LoadOutcome::Unknown),
                             result.Count(LoadOutcome::Failed),
                             static_cast<double>(result.Quantile(0.99).count()) / 1e3);
  }
  const auto doubleRuns = stats.at("work").at("double_runs").get<std::size_t>();
  const auto slotViolations = stats.at("slot_violations").get<std::size_t>();
  const auto stopsWithWork = stats.at("stops_with_work").get<std::size_t>();
  std::cout << fmt::format(
    "requests run twice {}, responses to another request {}, slots exceeded {}, "
    "minions stopped with work in flight {}\n",
    doubleRuns,
    foreignResponses,
    slotViolations,
    stopsWithWork);
  return doubleRuns + foreignResponses + slotViolations + stopsWithWork == 0;
}

int Run(const cxxopts::ParseResult& aParsed)
{
  LocalFleetOptions options;
  options.m_configurationFile = "tests/end_to_end/fleet.json";
  options.m_vmsFile = "tests/end_to_end/fleet-vms.json";
  options.m_folder = aParsed["folder"].as<std::string>();
  std::filesystem::remove_all(options.m_folder);
  LocalFleet fleet(options);
  std::cout << "Starting the platform and minion stand-ins and 4 daemons in 2 zones ...\n";
  const Result<void> started = fleet.Start();
  if (started.has_error()) {
    std::cerr << started.error().Text() << "\n";
    return 1;
  }
  std::vector<std::string> urls;
  for (const LocalEntryVm& entry : fleet.EntryVms()) {
    urls.push_back(entry.m_callerUrl);
  }
  if (!WaitUntilAnswering(urls, "/orders", kStartTimeout)) {
    std::cerr << "the fleet did not start in time; logs are in " << options.m_folder << "\n";
    return 1;
  }
  for (const LocalEntryVm& entry : fleet.EntryVms()) {
    std::cout << fmt::format("{:<6} {}  callers {}  operators {}  metrics {}\n",
                             entry.m_name,
                             entry.m_zone,
                             entry.m_callerUrl,
                             entry.m_operatorUrl,
                             entry.m_metricsUrl);
  }
  std::cout << "Sending requests through all four ...\n" << std::flush;
  const std::vector<ResultRow> rows = SendRequests(fleet);
  std::cout << "Draining " << kDrainedVm << " ...\n" << std::flush;
  const bool isDrained =
    fleet.RunClient({ "drain", kDrainedVm }) == 0 &&
    WaitUntil(kDrainTimeout, [&] { return fleet.ReadVmPhase(kDrainedVm) == "drained"; });
  std::cout << kDrainedVm << (isDrained ? " is drained\n" : " is NOT drained\n");
  const bool hasSucceeded = PrintTable(rows, fleet) && isDrained;
  if (aParsed.count("hold") > 0) {
    std::cout
      << "\nThe fleet keeps running; press Enter to stop it. Try:\n  export MUSTARDTRAY_OPERATOR="
      << fleet.EntryVms().front().m_operatorUrl
      << "\n  build/mustardtray status\n  build/mustardtray explain vm a-t1\n"
      << std::flush;
    std::string line;
    std::getline(std::cin, line);
  }
  std::cout << "Logs are in " << options.m_folder << "\n";
  return hasSucceeded ? 0 : 1;
}

} // namespace

int main(int aCount, char** aArguments)
{
  cxxopts::Options options("demo", "Runs a small fleet on loopback addresses.");
  options.add_options()("hold", "keep the fleet running until Enter is pressed")(
    "folder",
    "folder for settings and logs",
    cxxopts::value<std::string>()->default_value("build/demo-fleet"))("h,help", "print this help");
  const cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << "\n";
    return 0;
  }
  return Run(parsed);
}
