#include <fmt/format.h>

#include "client/Command.h"

namespace mustardtray {

namespace {

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

int RunMaintain(const CommandLine& aLine)
{
  for (const std::string action : { "pause", "resume", "cancel" }) {
    if (aLine.Has(action)) {
      return PostAndPrint(
        aLine, "/operator/wave", Json{ { "wave", aLine.Value(action) }, { "action", action } });
    }
  }
  const auto selector = ParseTerms(aLine.m_arguments);
  if (!selector || selector->empty()) {
    return FailUsage("maintain KEY=VALUE ..., or --pause, --resume or --cancel WAVE");
  }
  return PostAndPrint(aLine,
                      "/operator/maintain",
                      Json{ { "selector", *selector }, { "operation_id", OperationId(aLine) } });
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
               "cancel", "end a wave", cxxopts::value<std::string>());
           },
           &RunMaintain };
}

} // namespace mustardtray
