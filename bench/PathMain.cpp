/// Measures what the way through one daemon adds to a request, against the way straight to the
/// minions, and the rate at which a daemon is full. One JSON line for each measurement.

#include <filesystem>
#include <iostream>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "bench/ProcessUse.h"
#include "standin/LoadGenerator.h"
#include "standin/LocalFleet.h"

using namespace mustardtray;

namespace {

constexpr double kTargetRate = 1'000;
constexpr std::size_t kRounds = 5;
constexpr Micros kTargetP50{ 1'000 };
constexpr Micros kTargetP99{ 3'000 };
constexpr double kKneeFactor = 1.25;
constexpr double kHighestRate = 30'000;
/// A rate counts as carried when all was answered and the 99th percentile stayed below this.
constexpr Micros kKneeP99{ 20'000 };

struct Way
{
  std::string m_name;
  std::vector<std::string> m_urls;
};

LoadOptions MakeLoad(const Way& aWay, const std::string& aMethod, double aRate, double aSeconds)
{
  static int sLoads = 0;
  LoadOptions load;
  load.m_urls = aWay.m_urls;
  load.m_method = aMethod;
  load.m_path = aMethod == "GET" ? "/orders/look-up" : "/orders/place";
  load.m_workIdPrefix = fmt::format("bench-{}", ++sLoads);
  load.m_isIdempotent = aMethod == "GET";
  load.m_runTime = Millis(0);
  load.m_requestsPerSecond = aRate;
  load.m_requestCount = static_cast<std::size_t>(aRate * aSeconds);
  // A request that is not idempotent takes a connection of its own behind the daemon, so the
  // straight way does too.
  load.m_usesFreshConnections = aMethod != "GET" && aWay.m_name == "direct";
  return load;
}

Json Line(const std::string& aMeasure, const Way& aWay, const std::string& aMethod)
{
  return {
    { "bench", "path" }, { "measure", aMeasure }, { "way", aWay.m_name }, { "method", aMethod }
  };
}

class PathBench
{
public:
  PathBench(LocalFleet& aFleet, double aSeconds)
    : m_fleet(aFleet)
    , m_seconds(aSeconds)
    , m_direct{ "direct", {} }
    , m_through{ "through", { aFleet.EntryVms().front().m_callerUrl } }
  {
    for (const std::string vm : { "a-t1", "a-t2", "a-t3", "a-t4" }) {
      m_direct.m_urls.push_back(fmt::format("http://{}:8101", aFleet.AddressOf(vm)));
    }
  }

  /// Both ways in turn, several rounds, so that what else the machine does hits both.
  bool MeasureAdded(const std::string& aMethod)
  {
    std::vector<Micros> p50s;
    std::vector<Micros> p99s;
    for (std::size_t round = 0; round < kRounds; ++round) {
      const LoadResult direct = RunLoad(MakeLoad(m_direct, aMethod, kTargetRate, m_seconds));
      const LoadResult through = RunLoad(MakeLoad(m_through, aMethod, kTargetRate, m_seconds));
      p50s.push_back(through.Quantile(0.5) - direct.Quantile(0.5));
      p99s.push_back(through.Quantile(0.99) - direct.Quantile(0.99));
      Print("direct", m_direct, aMethod, direct);
      Print("through", m_through, aMethod, through);
    }
    std::sort(p50s.begin(), p50s.end());
    std::sort(p99s.begin(), p99s.end());
    const Micros p50 = p50s[kRounds / 2];
    const Micros p99 = p99s[kRounds / 2];
    Json line = Line("added", m_through, aMethod);
    line["rate"] = kTargetRate;
    line["added_p50_us"] = p50.count();
    line["added_p99_us"] = p99.count();
    line["is_met"] = p50 < kTargetP50 && p99 < kTargetP99;
    std::cout << line.dump() << std::endl;
    return line["is_met"].get<bool>();
  }

  /// Raises the rate until not all is answered in time.
  void MeasureKnee(const std::string& aMethod)
  {
    double carried = 0;
    for (double rate = kTargetRate; rate <= kHighestRate; rate *= kKneeFactor) {
      const ProcessUse before = ReadProcessUse(m_fleet.PidOf(m_fleet.EntryVms().front().m_name));
      const LoadResult result = RunLoad(MakeLoad(m_through, aMethod, rate, m_seconds));
      const ProcessUse after = ReadProcessUse(m_fleet.PidOf(m_fleet.EntryVms().front().m_name));
      const std::size_t sent = result.m_samples.size();
      const std::size_t answered = result.Count(LoadOutcome::Answered);
      Json line = Line("rate", m_through, aMethod);
      line["rate"] = rate;
      line["answered"] = answered;
      line["sent"] = sent;
      line["p99_us"] = result.Quantile(0.99).count();
      line["cpu_us_per_request"] =
        (after.m_cpuSeconds - before.m_cpuSeconds) * 1e6 / static_cast<double>(sent);
      line["resident_mb"] = after.m_residentMb;
      std::cout << line.dump() << std::endl;
      const bool isCarried = answered == sent && result.Quantile(0.99) < kKneeP99;
      if (!isCarried) {
        break;
      }
      carried = rate;
    }
    Json line = Line("knee", m_through, aMethod);
    line["carried_per_second"] = carried;
    std::cout << line.dump() << std::endl;
  }

private:
  void Print(const std::string& aMeasure,
             const Way& aWay,
             const std::string& aMethod,
             const LoadResult& aResult) const
  {
    Json line = Line(aMeasure, aWay, aMethod);
    line["answered"] = aResult.Count(LoadOutcome::Answered);
    line["sent"] = aResult.m_samples.size();
    line["p50_us"] = aResult.Quantile(0.5).count();
    line["p99_us"] = aResult.Quantile(0.99).count();
    std::cout << line.dump() << std::endl;
  }

  LocalFleet& m_fleet;
  double m_seconds;
  Way m_direct;
  Way m_through;
};

int Run(const cxxopts::ParseResult& aParsed)
{
  LocalFleetOptions options;
  options.m_configurationFile = "bench/path-fleet.json";
  options.m_vmsFile = "bench/path-vms.json";
  options.m_folder = aParsed["folder"].as<std::string>();
  std::filesystem::remove_all(options.m_folder);
  LocalFleet fleet(options);
  const Result<void> started = fleet.Start();
  if (started.has_error()) {
    std::cerr << started.error().Text() << "\n";
    return 1;
  }
  if (!fleet.WaitUntilServing(Millis(20'000))) {
    std::cerr << "the fleet did not come up; logs are in " << options.m_folder << "\n";
    return 1;
  }
  PathBench bench(fleet, aParsed["seconds"].as<double>());
  bool isMet = true;
  for (const std::string method : { "GET", "POST" }) {
    isMet = bench.MeasureAdded(method) && isMet;
    bench.MeasureKnee(method);
  }
  return isMet ? 0 : 1;
}

} // namespace

int main(int aCount, char** aArguments)
{
  cxxopts::Options options("bench-path", "Direct to the minions against through one daemon.");
  options.add_options()(
    "seconds", "length of each load", cxxopts::value<double>()->default_value("2"))(
    "folder", "for logs", cxxopts::value<std::string>()->default_value("build/bench-path-logs"))(
    "h,help", "print this help");
  const cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << "\n";
    return 0;
  }
  return Run(parsed);
}
