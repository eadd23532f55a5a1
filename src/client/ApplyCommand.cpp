#include <chrono>
#include <iostream>
#include <thread>

#include <fmt/format.h>

#include "client/ChangeText.h"
#include "client/Command.h"

namespace mustardtray {

namespace {

constexpr Millis kInForceTimeout{ 60'000 };
constexpr Millis kStatusPollInterval{ 250 };

/// Lists the nodes that report an older version; empty when all nodes have the version in force.
std::string FormatLaggingNodes(const Json& aStatus, std::uint64_t aVersion)
{
  std::string lagging;
  for (const Json& node : aStatus.at("nodes")) {
    const auto version = node.at("version").get<std::uint64_t>();
    if (version < aVersion) {
      lagging += fmt::format("{}{} (version {}{})",
                             lagging.empty() ? "" : ", ",
                             node.at("node").get<std::string>(),
                             version,
                             node.at("alive").get<bool>() ? "" : ", not heard from");
    }
  }
  return lagging;
}

/// Waits until each entry VM reports the version and prints to standard error which ones lag.
int WaitUntilInForce(const OperatorClient& aClient, std::uint64_t aVersion)
{
  const auto deadline = std::chrono::steady_clock::now() + kInForceTimeout;
  std::string reported;
  std::string lagging;
  while (std::chrono::steady_clock::now() < deadline) {
    const Result<OperatorResponse> response = aClient.Get("/operator/status");
    if (response.has_value() && response.value().IsOk()) {
      const Json& status = response.value().m_body;
      lagging = FormatLaggingNodes(status, aVersion);
      if (lagging.empty()) {
        std::cerr << fmt::format(
          "version {} is in force on all {} entry VMs\n", aVersion, status.at("nodes").size());
        return kExitSuccess;
      }
    } else {
      lagging = "an unknown set of entry VMs (no response from the operators' interface)";
    }
    if (lagging != reported) {
      std::cerr << "waiting for " << lagging << "\n";
      reported = lagging;
    }
    std::this_thread::sleep_for(kStatusPollInterval);
  }
  std::cerr << fmt::format(
    "accepted, but not in force after {} s on {}\n", kInForceTimeout.count() / 1'000, lagging);
  return kExitFailure;
}

void PrintOutcome(const Json& aOutcome, bool aIsDryRun)
{
  const std::string status = aOutcome.value("status", std::string("?"));
  const std::string message = aOutcome.value("message", std::string());
  std::cerr << FormatDiagnostics(aOutcome);
  if (aIsDryRun && status == ToName(ApplyStatus::Checked)) {
    std::cout << FormatEffect(aOutcome.at("effect"));
    return;
  }
  std::cout << fmt::format("{}: version {}, operation {}{}{}\n",
                           status,
                           aOutcome.value("version", std::uint64_t{ 0 }),
                           aOutcome.value("operation_id", std::string()),
                           message.empty() ? "" : ": ",
                           message);
}

int SendChange(const CommandLine& aCommandLine,
               const OperatorClient& aClient,
               ApplyRequest aRequest)
{
  aRequest.m_operationId = aCommandLine.HasOption("operation")
                             ? aCommandLine.OptionValue("operation")
                             : GenerateOperationId();
  aRequest.m_operator = CurrentUserName();
  aRequest.m_dryRun = aCommandLine.HasOption("dry-run");
  const bool isDryRun = aRequest.m_dryRun;
  const std::string id = aRequest.m_operationId;
  const Result<OperatorResponse> response = aClient.Apply(std::move(aRequest));
  if (response.has_error()) {
    if (response.error().m_kind == ErrorKind::Unknown) {
      std::cerr << "it is unknown whether the change was accepted; retry with --operation " << id
                << "\n";
    }
    return PrintError(response.error());
  }
  const OperatorResponse& outcome = response.value();
  if (!outcome.m_body.contains("effect")) {
    std::cerr << "error: " << outcome.Message() << "\n";
    return kExitFailure;
  }
  if (aCommandLine.m_isJson) {
    std::cout << outcome.m_body.dump(2) << "\n";
  } else {
    PrintOutcome(outcome.m_body, isDryRun);
  }
  if (!outcome.IsOk()) {
    return kExitFailure;
  }
  return aCommandLine.HasOption("wait") && !isDryRun
           ? WaitUntilInForce(aClient, outcome.m_body.at("version").get<std::uint64_t>())
           : kExitSuccess;
}

void AddChangeOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options()("dry-run", "check the change and print its effect without applying it")(
    "wait", "wait until every entry VM reports the change in force")(
    "operation",
    "operation id of an earlier attempt whose outcome is unknown",
    cxxopts::value<std::string>());
}

int RunApply(const CommandLine& aCommandLine)
{
  const Result<Json> document = LoadConfigurationDocument(aCommandLine.m_arguments[0]);
  if (document.has_error()) {
    return PrintError(document.error());
  }
  const Result<OperatorClient> client = MakeClient(aCommandLine);
  if (client.has_error()) {
    return PrintError(client.error());
  }
  ApplyRequest request;
  request.m_document = document.value();
  if (document.value().is_object()) {
    const Json version = document.value().value("version", Json());
    request.m_baseVersion = version.is_number_unsigned() ? version.get<std::uint64_t>() : 0;
  }
  return SendChange(aCommandLine, client.value(), std::move(request));
}

int RunDiff(const CommandLine& aCommandLine)
{
  const Result<Json> document = LoadConfigurationDocument(aCommandLine.m_arguments[0]);
  if (document.has_error()) {
    return PrintError(document.error());
  }
  ApplyRequest request;
  request.m_operationId = GenerateOperationId();
  request.m_document = document.value();
  request.m_dryRun = true;
  const auto sendDryRun = [&request](const OperatorClient& aClient) {
    return aClient.Apply(request);
  };
  return SendAndPrint(aCommandLine, sendDryRun, [](const Json& aOutcome) {
    return FormatChanges(aOutcome.at("effect").at("changes"));
  });
}

/// Parses "key=value" (sets a label) or "key-" (removes it); nothing when the argument is neither.
std::optional<FieldChange> MakeLabelChange(const std::string& aVm,
                                           const std::string& aArgument,
                                           const Json& aDocument)
{
  const std::size_t equals = aArgument.find('=');
  const bool isRemoval = equals == std::string::npos && aArgument.ends_with('-');
  const std::string key =
    aArgument.substr(0, isRemoval ? aArgument.size() - 1 : std::min(equals, aArgument.size()));
  if (key.empty() || (equals == std::string::npos && !isRemoval)) {
    return std::nullopt;
  }
  const Json labels = aDocument.at("vm_labels").value(aVm, Json::object());
  const Json::json_pointer pointer = Json::json_pointer("/vm_labels") / aVm / key;
  const Json after = isRemoval ? Json() : Json(aArgument.substr(equals + 1));
  return FieldChange{ pointer.to_string(), labels.value(key, Json()), after };
}

int RunLabel(const CommandLine& aCommandLine)
{
  const Result<OperatorClient> client = MakeClient(aCommandLine);
  if (client.has_error()) {
    return PrintError(client.error());
  }
  const Result<OperatorResponse> config = client.value().Get("/operator/config");
  if (config.has_error()) {
    return PrintError(config.error());
  }
  if (!config.value().IsOk()) {
    return PrintResponse(aCommandLine, config.value(), "");
  }
  ApplyRequest request;
  for (std::size_t i = 1; i < aCommandLine.m_arguments.size(); ++i) {
    const auto change = MakeLabelChange(
      aCommandLine.m_arguments[0], aCommandLine.m_arguments[i], config.value().m_body);
    if (!change) {
      return PrintUsageError("\"" + aCommandLine.m_arguments[i] +
                             "\": expected key=value, or key- to remove the label");
    }
    request.m_changes.push_back(*change);
  }
  return SendChange(aCommandLine, client.value(), std::move(request));
}

} // namespace

Command ApplyCommand()
{
  return { "apply",
           "FILE",
           "applies the configuration in a file",
           "mustardtray apply wroblewski.json --dry-run",
           1,
           1,
           &AddChangeOptions,
           &RunApply };
}

Command DiffCommand()
{
  return {
    "diff",  "FILE",  "shows what a file would change", "mustardtray diff wroblewski.json", 1, 1,
    nullptr, &RunDiff
  };
}

Command LabelCommand()
{
  constexpr std::size_t kMaxArguments = 100;
  return { "label",
           "VM KEY=VALUE|KEY- ...",
           "sets and removes labels of a VM",
           "mustardtray label pl-a-t02 workload=bookings --wait",
           2,
           kMaxArguments,
           &AddChangeOptions,
           &RunLabel };
}

} // namespace mustardtray
