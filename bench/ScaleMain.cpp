/// Measures what control costs a daemon against the number of target VMs: processor time, memory
/// and bytes to and from the platform while nothing happens. One JSON line for each size.

#include <filesystem>
#include <fstream>
#include <iostream>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "bench/ProcessUse.h"
#include "mustardtray/connection/HttpClient.h"
#include "standin/LocalFleet.h"

using namespace mustardtray;

namespace {

constexpr int kZones = 4;
constexpr int kVmsPerPool = 14;
constexpr Millis kStartTimeout{ 60'000 };
constexpr Millis kSettle{ 8'000 };

Json MakeVm(const std::string& aName, const std::string& aAddress, int aZone, bool aIsEntry)
{
  return { { "name", aName },
           { "address", aAddress },
           { "zone", fmt::format("zone-{}", aZone) },
           { "rack", aIsEntry ? "" : fmt::format("rack-{}-{}", aZone, aName.back()) },
           { "role", aIsEntry ? "entry" : "target" },
           { "cores", 64 },
           { "memory_mb", 262'144 },
           { "accelerators", 0 } };
}

Json MakePool(int aPool)
{
  return { { "selector", { { "work", { fmt::format("work-{}", aPool) } } } } };
}

Json MakeService(int aPool)
{
  const Json queue{ { "name", "all" }, { "urgency", "urgent" }, { "idempotent", false } };
  return { { "pool", fmt::format("pool-{}", aPool) },
           { "path_prefix", fmt::format("/service-{}", aPool) },
           { "port", 8'101 + aPool },
           { "budget", { { "max_unavailable", 2 }, { "failure_reserve", 1 } } },
           { "queues", Json::array({ queue }) } };
}

/// Writes a configuration and a VM list of that size and returns their paths.
std::pair<std::string, std::string> WriteExample(const std::string& aFolder, int aVms)
{
  Json vms = Json::array();
  Json configuration{ { "vm_labels", Json::object() },
                      { "pools", Json::object() },
                      { "services", Json::object() } };
  const int pools = std::max(1, aVms / kVmsPerPool);
  for (int zone = 1; zone <= kZones; ++zone) {
    vms.push_back(MakeVm(fmt::format("e{}", zone), fmt::format("127.0.{}.250", zone), zone, true));
  }
  for (int i = 0; i < aVms; ++i) {
    const int zone = 1 + i % kZones;
    const int number = i / kZones;
    const std::string name = fmt::format("t{}-{}", zone, number);
    const std::string address =
      fmt::format("127.0.{}.{}", zone + kZones * (number / 200), 1 + number % 200);
    vms.push_back(MakeVm(name, address, zone, false));
    configuration["vm_labels"][name] = { { "work", fmt::format("work-{}", i % pools) } };
  }
  for (int pool = 0; pool < pools; ++pool) {
    configuration["pools"][fmt::format("pool-{}", pool)] = MakePool(pool);
    configuration["services"][fmt::format("service-{}", pool)] = MakeService(pool);
  }
  std::filesystem::create_directories(aFolder);
  const std::string configurationFile = aFolder + "/configuration.json";
  const std::string vmsFile = aFolder + "/vms.json";
  std::ofstream(configurationFile) << configuration.dump(1);
  std::ofstream(vmsFile) << vms.dump(1);
  return { configurationFile, vmsFile };
}

/// Bytes that the platform's stand-in has exchanged with all daemons.
double PlatformBytes(const LocalFleet& aFleet)
{
  HttpCall call;
  call.m_url = aFleet.PlatformUrl() + "/stats";
  const HttpCallResult result = CallAndWait(std::move(call));
  const Json stats = result ? Json::parse(result.value().m_body, nullptr, false) : Json();
  return stats.is_object() ? stats.value("bytes_in", 0.0) + stats.value("bytes_out", 0.0) : 0.0;
}

bool MeasureSize(const std::string& aFolder, int aVms, double aSeconds)
{
  std::filesystem::remove_all(aFolder);
  const auto [configuration, vms] = WriteExample(aFolder + "/example", aVms);
  LocalFleetOptions options;
  options.m_configurationFile = configuration;
  options.m_vmsFile = vms;
  options.m_folder = aFolder;
  LocalFleet fleet(options);
  const Result<void> started = fleet.Start();
  if (started.has_error() || !fleet.WaitUntilServing(kStartTimeout)) {
    std::cerr << (started.has_error() ? started.error().Text() : "not serving in time") << "\n";
    return false;
  }
  SleepFor(kSettle);
  const int pid = fleet.PidOf(fleet.EntryVms().front().m_name);
  const ProcessUse before = ReadProcessUse(pid);
  const double bytesBefore = PlatformBytes(fleet);
  SleepFor(Millis(static_cast<std::int64_t>(aSeconds * 1e3)));
  const ProcessUse after = ReadProcessUse(pid);
  const double bytes = PlatformBytes(fleet) - bytesBefore;
  const Json line{ { "bench", "scale" },
                   { "vms", aVms },
                   { "pools", std::max(1, aVms / kVmsPerPool) },
                   { "core_percent", (after.m_cpuSeconds - before.m_cpuSeconds) / aSeconds * 100 },
                   { "resident_mb", after.m_residentMb },
                   { "platform_bytes_per_second", bytes / aSeconds / kZones } };
  std::cout << line.dump() << std::endl;
  return true;
}

} // namespace

int main(int aCount, char** aArguments)
{
  cxxopts::Options options("bench-scale", "Control cost of a daemon against the number of VMs.");
  options.add_options()(
    "seconds", "length of each measurement", cxxopts::value<double>()->default_value("15"))(
    "sizes",
    "numbers of target VMs",
    cxxopts::value<std::vector<int>>()->default_value("50,200,800"))(
    "folder", "for logs", cxxopts::value<std::string>()->default_value("build/bench-scale-fleet"))(
    "h,help", "print this help");
  const cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << "\n";
    return 0;
  }
  bool isDone = true;
  for (const int vms : parsed["sizes"].as<std::vector<int>>()) {
    isDone = MeasureSize(parsed["folder"].as<std::string>(), vms, parsed["seconds"].as<double>()) &&
             isDone;
  }
  return isDone ? 0 : 1;
}
