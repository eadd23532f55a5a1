#include <iostream>
#include <thread>

#include <fmt/format.h>

#include "client/Command.h"

namespace mustardtray {

namespace {

constexpr Millis kWatchPeriod{ 500 };
/// How long no entry VM may know the wave before the watch is given up.
constexpr Millis kWatchPatience{ 30'000 };

std::string FormatOperation(const Json& aBody)
{
  return fmt::format("requested: operation {}\n", aBody.at("operation_id").get<std::string>());
}

std::string OperationId(const CommandLine& aLine)
{
  return aLine.Has("operation") ? aLine.Value("operation") : MintOperationId();
}

int PostAndPrint(const CommandLine& aLine, const std::string& aPath, const Json& aBody)
{
  return AskAndPrint(
    aLine,
    [&aPath, &aBody](const OperatorClient& aClient) { return aClient.Post(aPath, aBody); },
    &FormatOperation);
}

int RunDrain(const CommandLine& aLine)
{
  const std::string& vm = aLine.m_arguments[0];
  if (aLine.Has("release")) {
    return PostAndPrint(aLine, "/operator/release", Json{ { "vm", vm } });
  }
  return PostAndPrint(
    aLine, "/operator/drain", Json{ { "vm", vm }, { "operation_id", OperationId(aLine) } });
}

/// "key=value" terms; a key that stands several times takes any of its values.
std::optional<Json> ParseTerms(const std::vector<std::string>& aArguments)
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

/// Prints the wave's progress whenever it has changed, until the wave is done.
int Watch(const CommandLine& aLine, const std::string& aWave)
{
  const Result<OperatorClient> client = MakeClient(aLine);
  if (client.has_error()) {
    return Fail(client.error());
  }
  std::string last;
  TimePoint patienceEnd = MonotonicNow() + kWatchPatience;
  while (true) {
    const Result<OperatorAnswer> answer = client.value().Get("/operator/wave?wave=" + aWave);
    const bool isKnown = answer.has_value() && answer.value().m_status == 200;
    if (!isKnown && MonotonicNow() > patienceEnd) {
      return answer.has_error() ? Fail(answer.error()) : Print(aLine, answer.value(), "");
    }
    if (isKnown) {
      patienceEnd = MonotonicNow() + kWatchPatience;
      const Json& progress = answer.value().m_body;
      const std::string text = FormatProgress(progress);
      if (text != last) {
        std::cout << (aLine.m_isJson ? progress.dump() + "\n" : text) << std::flush;
        last = text;
      }
      if (progress.at("done") == progress.at("total")) {
        return kExitDone;
      }
    }
    std::this_thread::sleep_for(kWatchPeriod);
  }
}

int StartWave(const CommandLine& aLine, const Json& aSelector)
{
  const std::string wave = OperationId(aLine);
  const int code = PostAndPrint(
    aLine, "/operator/maintain", Json{ { "selector", aSelector }, { "operation_id", wave } });
  const bool isWatched = code == kExitDone && aLine.Has("watch");
  return isWatched ? Watch(aLine, wave) : code;
}

int RunMaintain(const CommandLine& aLine)
{
  for (const std::string action : { "pause", "resume", "cancel" }) {
    if (aLine.Has(action)) {
      return PostAndPrint(
        aLine, "/operator/wave", Json{ { "wave", aLine.Value(action) }, { "action", action } });
    }
  }
  const auto selector = ParseTerms(aLine.m_arguments);
  if (selector && selector->empty() && aLine.Has("watch") && aLine.Has("operation")) {
    return Watch(aLine, aLine.Value("operation"));
  }
  if (!selector || selector->empty()) {
    return FailUsage("maintain KEY=VALUE ..., or --pause, --resume or --cancel WAVE, or --watch "
                     "--operation WAVE");
  }
  return StartWave(aLine, *selector);
}

void AddOperationOption(cxxopts::Options& aOptions)
{
  aOptions.add_options()("operation",
                         "operation id, to ask again without a second effect",
                         cxxopts::value<std::string>());
}

} // namespace

Command DrainCommand()
{
  return { "drain",
           "VM",
           "takes a VM out of service, or back in",
           "mustardtray drain pl-a-t02",
           1,
           1,
           [](cxxopts::Options& aOptions) {
             AddOperationOption(aOptions);
             aOptions.add_options()("release", "end the hold");
           },
           &RunDrain };
}

Command MaintainCommand()
{
  constexpr std::size_t kMostTerms = 100;
  return { "maintain",
           "KEY=VALUE ...",
           "starts a maintenance wave over the VMs that match",
           "mustardtray maintain zone=pl-a workload=bookings",
           0,
           kMostTerms,
           [](cxxopts::Options& aOptions) {
             AddOperationOption(aOptions);
             aOptions.add_options()("pause", "pause a wave", cxxopts::value<std::string>())(
               "resume", "go on with a wave", cxxopts::value<std::string>())(
               "cancel", "end a wave", cxxopts::value<std::string>())(
               "watch", "print the wave's progress until it is done");
           },
           &RunMaintain };
}

} // namespace mustardtray
