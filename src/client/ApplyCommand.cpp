#include <chrono>
#include <iostream>
#include <thread>

#include <fmt/format.h>

#include "client/ChangeText.h"
#include "client/Command.h"

namespace mustardtray {

namespace {

constexpr Millis kWaitFor{ 60'000 };
constexpr Millis kWaitStep{ 250 };

/// Nodes that do not report the version; empty when every one does.
std::string FindLagging(const Json& aStatus, std::uint64_t aVersion)
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

/// Waits until each entry VM reports the version, and says on standard error who lags.
int WaitInForce(const OperatorClient& aClient, std::uint64_t aVersion)
{
  const auto end = std::chrono::steady_clock::now() + kWaitFor;
  std::string reported;
  std::string lagging;
  while (std::chrono::steady_clock::now() < end) {
    const Result<OperatorAnswer> answer = aClient.Get("/operator/status");
    if (answer.has_value() && answer.value().IsOk()) {
      const Json& status = answer.value().m_body;
      lagging = FindLagging(status, aVersion);
      if (lagging.empty()) {
        std::cerr << fmt::format(
          "version {} is in force on all {} entry VMs\n", aVersion, status.at("nodes").size());
        return kExitDone;
      }
    } else {
      lagging = "no answer from the operators' interface";
    }
    if (lagging != reported) {
      std::cerr << "waiting for " << lagging << "\n";
      reported = lagging;
    }
    std::this_thread::sleep_for(kWaitStep);
  }
  std::cerr << fmt::format(
    "accepted, but after {} s not yet in force on {}\n", kWaitFor.count() / 1'000, lagging);
  return kExitFailed;
}

void PrintOutcome(const Json& aOutcome, bool aIsDryRun)
{
  const std::string status = aOutcome.value("status", std::string("?"));
  const std::string message = aOutcome.value("message", std::string());
  std::cerr << FormatFindings(aOutcome);
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

int SendChange(const CommandLine& aLine, const OperatorClient& aClient, ApplyRequest aRequest)
{
  aRequest.m_operationId = aLine.Has("operation") ? aLine.Value("operation") : MintOperationId();
  aRequest.m_operator = UserName();
  aRequest.m_dryRun = aLine.Has("dry-run");
  const bool isDryRun = aRequest.m_dryRun;
  const std::string id = aRequest.m_operationId;
  const Result<OperatorAnswer> answer = aClient.Apply(std::move(aRequest));
  if (answer.has_error()) {
    if (answer.error().m_kind == ErrorKind::Unknown) {
      std::cerr << "unknown whether it was accepted; ask again with --operation " << id << "\n";
    }
    return Fail(answer.error());
  }
  const OperatorAnswer& outcome = answer.value();
  if (!outcome.m_body.contains("effect")) {
    std::cerr << "error: " << outcome.Message() << "\n";
    return kExitFailed;
  }
  if (aLine.m_isJson) {
    std::cout << outcome.m_body.dump(2) << "\n";
  } else {
    PrintOutcome(outcome.m_body, isDryRun);
  }
  if (!outcome.IsOk()) {
    return kExitFailed;
  }
  return aLine.Has("wait") && !isDryRun
           ? WaitInForce(aClient, outcome.m_body.at("version").get<std::uint64_t>())
           : kExitDone;
}

void AddChangeOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options()("dry-run", "judge the change and print its effect, without making it")(
    "wait", "wait until every entry VM reports it in force")(
    "operation",
    "operation id, to ask again for an unknown outcome",
    cxxopts::value<std::string>());
}

int RunApply(const CommandLine& aLine)
{
  const Result<Json> document = LoadDocument(aLine.m_arguments[0]);
  if (document.has_error()) {
    return Fail(document.error());
  }
  const Result<OperatorClient> client = MakeClient(aLine);
  if (client.has_error()) {
    return Fail(client.error());
  }
  ApplyRequest request;
  request.m_document = document.value();
  if (document.value().is_object()) {
    const Json version = document.value().value("version", Json());
    request.m_baseVersion = version.is_number_unsigned() ? version.get<std::uint64_t>() : 0;
  }
  return SendChange(aLine, client.value(), std::move(request));
}

int RunDiff(const CommandLine& aLine)
{
  const Result<Json> document = LoadDocument(aLine.m_arguments[0]);
  if (document.has_error()) {
    return Fail(document.error());
  }
  ApplyRequest request;
  request.m_operationId = MintOperationId();
  request.m_document = document.value();
  request.m_dryRun = true;
  const auto ask = [&request](const OperatorClient& aClient) { return aClient.Apply(request); };
  return AskAndPrint(aLine, ask, [](const Json& aOutcome) {
    return FormatChanges(aOutcome.at("effect").at("changes"));
  });
}

/// The change that "key=value" or "key-" asks for; nothing when it is neither.
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

int RunLabel(const CommandLine& aLine)
{
  const Result<OperatorClient> client = MakeClient(aLine);
  if (client.has_error()) {
    return Fail(client.error());
  }
  const Result<OperatorAnswer> config = client.value().Get("/operator/config");
  if (config.has_error()) {
    return Fail(config.error());
  }
  if (!config.value().IsOk()) {
    return Print(aLine, config.value(), "");
  }
  ApplyRequest request;
  for (std::size_t i = 1; i < aLine.m_arguments.size(); ++i) {
    const auto change =
      MakeLabelChange(aLine.m_arguments[0], aLine.m_arguments[i], config.value().m_body);
    if (!change) {
      return FailUsage("\"" + aLine.m_arguments[i] + "\": key=value, or key- to take it off");
    }
    request.m_changes.push_back(*change);
  }
  return SendChange(aLine, client.value(), std::move(request));
}

} // namespace

Command ApplyCommand()
{
  return { "apply",
           "FILE",
           "changes the configuration to what a file says",
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
  constexpr std::size_t kMostArguments = 100;
  return { "label",
           "VM KEY=VALUE|KEY- ...",
           "sets and takes off labels of a VM",
           "mustardtray label pl-a-t02 workload=bookings --wait",
           2,
           kMostArguments,
           &AddChangeOptions,
           &RunLabel };
}

} // namespace mustardtray
