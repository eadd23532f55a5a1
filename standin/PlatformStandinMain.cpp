/// Entry point of platform-standin, which simulates the platform for tests, the demo and
/// benchmarks.

#include <iostream>

#include "standin/PlatformStandin.h"
#include "standin/StandinMain.h"

using namespace mustardtray;

namespace {

/// Reads the settings file and overrides it with the command-line options.
Result<PlatformStandinSettings> ReadSettings(const cxxopts::ParseResult& aResult)
{
  PlatformStandinSettings settings;
  const Error unreadable{ ErrorKind::NotFound, "read file", "", "the reason is printed above" };
  if (aResult.count("settings") > 0) {
    const auto text = ReadFileOption(aResult, "settings");
    auto parsed = text ? ParsePlatformStandinSettings(*text) : unreadable;
    if (!parsed) {
      return parsed;
    }
    settings = std::move(parsed.value());
  }
  if (aResult.count("vms") > 0) {
    const auto text = ReadFileOption(aResult, "vms");
    const auto vms = text ? ParseStandinVms(*text) : unreadable;
    if (!vms) {
      return vms.error();
    }
    settings.m_vms = vms.value();
  }
  if (aResult.count("address") > 0) {
    settings.m_address = aResult["address"].as<std::string>();
  }
  if (aResult.count("port") > 0) {
    settings.m_port = aResult["port"].as<std::uint16_t>();
  }
  return settings;
}

int Serve(const cxxopts::ParseResult& aResult)
{
  const auto settings = ReadSettings(aResult);
  if (!settings) {
    std::cerr << settings.error().Text() << '\n';
    return kExitInvalid;
  }
  asio::io_context context(1);
  PlatformStandin standin(context, settings.value());
  const Result<void> started = standin.Start();
  if (!started) {
    std::cerr << started.error().Text() << '\n';
    return kExitFailed;
  }
  std::cout << Json{ { "port", standin.Port() } } << std::endl;
  return RunUntilSignal(context);
}

} // namespace

int main(int aCount, char** aArguments)
{
  cxxopts::Options options("platform-standin", "Platform stand-in with fault injection");
  auto add = options.add_options();
  add("settings", "JSON settings file", cxxopts::value<std::string>());
  add("address", "IP address to listen on", cxxopts::value<std::string>());
  add("port", "port to listen on; 0 lets the system choose", cxxopts::value<std::uint16_t>());
  add("vms", "JSON file with the VMs", cxxopts::value<std::string>());
  return RunStandin(options, aCount, aArguments, &Serve);
}
