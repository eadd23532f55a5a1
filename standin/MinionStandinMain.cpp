/// Entry point of minion-standin, which simulates minions for tests, the demo and benchmarks.

#include <iostream>

#include "standin/MinionStandin.h"
#include "standin/StandinMain.h"

using namespace mustardtray;

namespace {

int Serve(const std::string& aSettingsText)
{
  const auto settings = ParseMinionStandinSettings(aSettingsText);
  if (!settings) {
    std::cerr << settings.error().Text() << '\n';
    return kExitInvalid;
  }
  asio::io_context context(1);
  MinionStandin standin(context, settings.value());
  const Result<void> started = standin.Start();
  if (!started) {
    std::cerr << started.error().Text() << '\n';
    return kExitFailed;
  }
  std::cout << Json{ { "control_port", standin.ControlPort() } } << std::endl;
  return RunUntilSignal(context);
}

} // namespace

int main(int aCount, char** aArguments)
{
  cxxopts::Options options("minion-standin",
                           "Simulated minions with fault injection and statistics");
  options.add_options()("settings", "JSON settings file", cxxopts::value<std::string>());
  return RunStandin(options, aCount, aArguments, [](const cxxopts::ParseResult& aResult) {
    const auto text = ReadFileOption(aResult, "settings");
    return text ? Serve(*text) : kExitInvalid;
  });
}
