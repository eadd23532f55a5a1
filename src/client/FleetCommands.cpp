#include <iostream>
#include <thread>

#include <fmt/format.h>

#include "client/Command.h"

namespace mustardtray {

namespace {

constexpr Millis kWatchPollInterval{ 500 };
/// The watch ends when no entry VM has reported the wave for this long.
constexpr Millis kWatchTimeout{ 30'000 };

std::string FormatRequestedOperation(const Json& aBody)
{
  return fmt::format("requested: operation {}\n", aBody.at("operation_id").get<std::string>());
}

std::string GivenOrNewOperationId(const CommandLine& aCommandLine)
{
  return aCommandLine.HasOption("operation") ? aCommandLine.OptionValue("operation")
                                             : GenerateOperationId();
}

int PostAndPrint(const CommandLine& aCommandLine, const std::string& aPath, const Json& aBody)
{
  return SendAndPrint(
    aCommandLine,
    [&aPath, &aBody](const OperatorClient& aClient) { return aClient.Post(aPath, aBody); },
    &FormatRequestedOperation);
}

int RunDrain(const CommandLine& aCommandLine)
{
  const std::string& vm = aCommandLine.m_arguments[0];
  if (aCommandLine.HasOption("release")) {
    return PostAndPrint(aCommandLine, "/operator/release", Json{ { "vm", vm } });
  }
  return PostAndPrint(
    aCommandLine,
    "/operator/drain",
    Json{ { "vm", vm }, { "operation_id", GivenOrNewOperationId(aCommandLine) } });
}

/// Parses a selector of "key=value" terms; a repeated key matches any of its values. Nothing when a
/// term is malformed.
std::optional<Json> ParseSelector(const std::vector<std::string>& aArguments)
{
  Json selector = Json::object();
  for (const std::string& term : aArguments) {
    const std::size_t equals = term.find('=');
    if (equals == std::string::npos || equals == 0) {
      return std::nullopt;
    }
    selector[term.substr(0, equals)].push_back(term.substr(equals + 1));
  }
  return selector;
}

std::string FormatProgress(const Json& aProgress)
{
  return fmt::format("wave {}: {} of {} done, {} out, {} waiting, {} failing{}, about {} s left\n",
                     aProgress.at("wave").get<std::string>(),
                     aProgress.at("done").get<int>(),
                     aProgress.at("total").get<int>(),
                     aProgress.at("out").get<int>(),
                     aProgress.at("waiting").get<int>(),
                     aProgress.at("failing").get<int>(),
                     aProgress.at("is_halted").get<bool>() ? ", HALTED" : "",
                     aProgress.at("remaining_ms").get<std::int64_t>() / 1000);
}

/// Prints the wave's progress on each change until the wave is done.
int WatchWave(const CommandLine& aCommandLine, const std::string& aWave)
{
  const Result<OperatorClient> client = MakeClient(aCommandLine);
  if (client.has_error()) {
    return PrintError(client.error());
  }
  std::string lastText;
  TimePoint deadline = MonotonicNow() + kWatchTimeout;
  while (true) {
    const Result<OperatorResponse> response = client.value().Get("/operator/wave?wave=" + aWave);
    const bool isKnown = response.has_value() && response.value().m_status == 200;
    if (!isKnown && MonotonicNow() > deadline) {
      return response.has_error() ? PrintError(response.error())
                                  : PrintResponse(aCommandLine, response.value(), "");
    }
    if (isKnown) {
      deadline = MonotonicNow() + kWatchTimeout;
      const Json& progress = response.value().m_body;
      const std::string text = FormatProgress(progress);
      if (text != lastText) {
        std::cout << (aCommandLine.m_isJson ? progress.dump() + "\n" : text) << std::flush;
        lastText = text;
      }
      if (progress.at("done") == progress.at("total")) {
        return kExitSuccess;
      }
    }
    std::this_thread::sleep_for(kWatchPollInterval);
  }
}

int StartWave(const CommandLine& aCommandLine, const Json& aSelector)
{
  const std::string wave = GivenOrNewOperationId(aCommandLine);
  const int exitCode = PostAndPrint(aCommandLine,
                                    "/operator/maintain",
                                    Json{ { "selector", aSelector }, { "operation_id", wave } });
  const bool shouldWatch = exitCode == kExitSuccess && aCommandLine.HasOption("watch");
  return shouldWatch ? WatchWave(aCommandLine, wave) : exitCode;
}

int RunMaintain(const CommandLine& aCommandLine)
{
  for (const std::string action : { "pause", "resume", "cancel" }) {
    if (aCommandLine.HasOption(action)) {
      return PostAndPrint(
        aCommandLine,
        "/operator/wave",
        Json{ { "wave", aCommandLine.OptionValue(action) }, { "action", action } });
    }
  }
  const auto selector = ParseSelector(aCommandLine.m_arguments);
  if (selector && selector->empty() && aCommandLine.HasOption("watch") &&
      aCommandLine.HasOption("operation")) {
    return WatchWave(aCommandLine, aCommandLine.OptionValue("operation"));
  }
  if (!selector || selector->empty()) {
    return PrintUsageError(
      "expected maintain KEY=VALUE ..., or --pause, --resume or --cancel WAVE, or --watch "
      "--operation WAVE");
  }
  return StartWave(aCommandLine, *selector);
}

void AddOperationOption(cxxopts::Options& aOptions)
{
  aOptions.add_options()("operation",
                         "operation id; a retry with the same id has no second effect",
                         cxxopts::value<std::string>());
}

} // namespace

Command DrainCommand()
{
  return { "drain",
           "VM",
           "takes a VM out of service or returns it",
           "mustardtray drain pl-a-t02",
           1,
           1,
           [](cxxopts::Options& aOptions) {
             AddOperationOption(aOptions);
             aOptions.add_options()("release", "return the VM to service");
           },
           &RunDrain };
}

Command MaintainCommand()
{
  constexpr std::size_t kMaxTerms = 100;
  return { "maintain",
           "KEY=VALUE ...",
           "starts a maintenance wave over the VMs that match",
           "mustardtray maintain zone=pl-a workload=bookings",
           0,
           kMaxTerms,
           [](cxxopts::Options& aOptions) {
             AddOperationOption(aOptions);
             aOptions.add_options()("pause", "pause a wave", cxxopts::value<std::string>())(
               "resume", "resume a wave", cxxopts::value<std::string>())(
               "cancel", "cancel a wave", cxxopts::value<std::string>())(
               "watch", "print the wave's progress until it is done");
           },
           &RunMaintain };
}

} // namespace mustardtray
