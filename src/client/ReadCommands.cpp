#include <fmt/chrono.h>
#include <fmt/format.h>

#include "client/ChangeText.h"
#include "client/Command.h"
#include "client/Table.h"

namespace mustardtray {

namespace {

/// A kind of object that `get` prints, with the fields shown as columns.
struct ObjectKind
{
  std::string m_kind;
  std::string m_member;              ///< Member of the configuration document.
  std::vector<std::string> m_fields; ///< Empty prints all members in one column.
};

const std::vector<ObjectKind>& ObjectKinds()
{
  static const std::vector<ObjectKind> sObjectKinds{
    { "vms", "vm_labels", {} },
    { "pools", "pools", { "selector", "min_vms" } },
    { "services", "services", { "pool", "path_prefix", "port", "slots", "connections", "budget" } },
    { "teams", "teams", { "cores", "memory_mb", "accelerators" } },
    { "windows",
      "maintenance_windows",
      { "selector", "weekdays", "start_minute", "length_minutes" } },
  };
  return sObjectKinds;
}

std::string CellText(const Json& aValue)
{
  if (aValue.is_string()) {
    return aValue.get<std::string>();
  }
  std::string text;
  if (aValue.is_array()) {
    for (const Json& item : aValue) {
      text += (text.empty() ? "" : "|") + CellText(item);
    }
    return text;
  }
  if (!aValue.is_object()) {
    return aValue.dump();
  }
  for (const auto& [key, value] : aValue.items()) {
    text += fmt::format("{}{}={}", text.empty() ? "" : ",", key, CellText(value));
  }
  return text;
}

std::string ToColumnHeading(std::string aText)
{
  for (char& c : aText) {
    c = c == '_' ? ' ' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return aText;
}

std::string FormatKind(const ObjectKind& aKind, const Json& aObjects)
{
  TableRow header{ "NAME" };
  for (const std::string& field : aKind.m_fields) {
    header.push_back(ToColumnHeading(field));
  }
  if (aKind.m_fields.empty()) {
    header.emplace_back("LABELS");
  }
  std::vector<TableRow> rows;
  for (const auto& [name, object] : aObjects.items()) {
    TableRow row{ name };
    for (const std::string& field : aKind.m_fields) {
      row.push_back(CellText(object.value(field, Json())));
    }
    if (aKind.m_fields.empty()) {
      row.push_back(CellText(object));
    }
    rows.push_back(std::move(row));
  }
  return FormatTable(header, rows);
}

/// Replaces the response's document by the requested objects; false, with a not-found error as the
/// response, when there is no such object.
bool SelectObjects(const ObjectKind& aKind,
                   const CommandLine& aCommandLine,
                   OperatorResponse& aResponse)
{
  const Json objects = aResponse.m_body.at(aKind.m_member);
  if (aCommandLine.m_arguments.size() < 2) {
    aResponse.m_body = objects;
    return true;
  }
  const std::string& name = aCommandLine.m_arguments[1];
  if (objects.contains(name)) {
    aResponse.m_body = Json{ { name, objects.at(name) } };
    return true;
  }
  std::vector<std::string> names;
  for (const auto& [known, object] : objects.items()) {
    names.push_back(known);
  }
  const std::string closest = ClosestName(name, names);
  aResponse.m_status = 404;
  aResponse.m_body =
    Json{ { "kind", "not-found" },
          { "message",
            fmt::format("no {} in {}{}",
                        name,
                        aKind.m_kind,
                        closest.empty() ? "" : fmt::format("; did you mean \"{}\"?", closest)) } };
  return false;
}

int RunGet(const CommandLine& aCommandLine)
{
  const std::string& kindName = aCommandLine.m_arguments[0];
  const ObjectKind* kind = nullptr;
  std::vector<std::string> names{ "config" };
  for (const ObjectKind& candidate : ObjectKinds()) {
    names.push_back(candidate.m_kind);
    if (candidate.m_kind == kindName || candidate.m_kind == kindName + "s") {
      kind = &candidate;
    }
  }
  if (!kind && kindName != "config") {
    const std::string closest = ClosestName(kindName, names);
    return PrintUsageError(fmt::format("no kind \"{}\"{}",
                                       kindName,
                                       closest.empty()
                                         ? "; kinds: config|vms|pools|services|teams|windows"
                                         : fmt::format("; did you mean \"{}\"?", closest)));
  }
  const Result<OperatorClient> client = MakeClient(aCommandLine);
  if (client.has_error()) {
    return PrintError(client.error());
  }
  Result<OperatorResponse> response = client.value().Get("/operator/config");
  if (response.has_error()) {
    return PrintError(response.error());
  }
  OperatorResponse& config = response.value();
  if (!config.IsOk()) {
    return PrintResponse(aCommandLine, config, "");
  }
  if (!kind) {
    return PrintResponse(aCommandLine, config, config.m_body.dump(2) + "\n");
  }
  const bool isFound = SelectObjects(*kind, aCommandLine, config);
  return PrintResponse(aCommandLine, config, isFound ? FormatKind(*kind, config.m_body) : "");
}

std::string FormatTime(std::int64_t aMillis)
{
  const WallTime time{ Millis(aMillis) };
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}Z", std::chrono::floor<std::chrono::seconds>(time));
}

std::string FormatHistory(const Json& aBody)
{
  std::vector<TableRow> rows;
  for (const Json& entry : aBody.at("history")) {
    const Json changes = entry.value("changes", Json::array());
    rows.push_back({ std::to_string(entry.at("version").get<std::uint64_t>()),
                     FormatTime(entry.at("time_ms").get<std::int64_t>()),
                     entry.value("operator", std::string()),
                     std::to_string(entry.value("count", 0)),
                     changes.empty() ? "" : changes[0].at("pointer").get<std::string>(),
                     entry.at("operation_id").get<std::string>() });
  }
  return FormatTable({ "VERSION", "TIME", "OPERATOR", "CHANGES", "FIRST FIELD", "OPERATION" },
                     rows);
}

int RunHistory(const CommandLine& aCommandLine)
{
  const std::string path =
    fmt::format("/operator/history?count={}", aCommandLine.m_options["count"].as<int>());
  return SendAndPrint(
    aCommandLine,
    [&path](const OperatorClient& aClient) { return aClient.Get(path); },
    &FormatHistory);
}

std::string FormatStatus(const Json& aBody)
{
  std::string text =
    fmt::format("version {} by {}; platform {}\n\n",
                aBody.at("version").get<std::uint64_t>(),
                aBody.at("node").get<std::string>(),
                aBody.at("platform_reachable").get<bool>() ? "reachable" : "not reachable");
  std::vector<TableRow> nodes;
  for (const Json& node : aBody.at("nodes")) {
    const bool isAlive = node.at("alive").get<bool>();
    const bool isLagging =
      node.at("version").get<std::uint64_t>() < aBody.at("version").get<std::uint64_t>();
    nodes.push_back({ node.at("node").get<std::string>(),
                      node.at("zone").get<std::string>(),
                      std::to_string(node.at("version").get<std::uint64_t>()),
                      fmt::format("{} ms ago", node.at("heard_ms_ago").get<std::int64_t>()),
                      !isAlive    ? "not heard from"
                      : isLagging ? "lags"
                                  : "in force" });
  }
  text += FormatTable({ "NODE", "ZONE", "VERSION", "HEARD", "STATE" }, nodes);
  std::vector<TableRow> services;
  for (const Json& service : aBody.at("services")) {
    services.push_back({ service.at("service").get<std::string>(),
                         service.at("pool").get<std::string>(),
                         std::to_string(service.at("minions").get<int>()),
                         std::to_string(service.at("max_unavailable").get<int>()) });
  }
  return text + "\n" + FormatTable({ "SERVICE", "POOL", "MINIONS", "MAX UNAVAILABLE" }, services);
}

int RunStatus(const CommandLine& aCommandLine)
{
  return SendAndPrint(
    aCommandLine,
    [](const OperatorClient& aClient) { return aClient.Get("/operator/status"); },
    &FormatStatus);
}

int RunExplain(const CommandLine& aCommandLine)
{
  const std::string& kind = aCommandLine.m_arguments[0];
  const bool isRequest = kind == "request";
  if (kind != "vm" && kind != "service" && !isRequest) {
    return PrintUsageError(
      "expected explain vm NAME, explain service NAME or explain request METHOD PATH");
  }
  if (aCommandLine.m_arguments.size() != (isRequest ? 3u : 2u)) {
    return PrintUsageError(isRequest ? "expected explain request METHOD PATH"
                                     : "expected explain " + kind + " NAME");
  }
  std::string path = fmt::format(
    "/operator/explain?kind={}&name={}", kind, EncodeQueryValue(aCommandLine.m_arguments.back()));
  if (isRequest) {
    path += "&method=" + EncodeQueryValue(aCommandLine.m_arguments[1]);
  }
  const auto format = [](const Json& aBody) {
    std::string text;
    for (const Json& line : aBody.at("lines")) {
      text += line.get<std::string>() + "\n";
    }
    return text;
  };
  return SendAndPrint(
    aCommandLine, [&path](const OperatorClient& aClient) { return aClient.Get(path); }, format);
}

} // namespace

Command GetCommand()
{
  return { "get",
           "config|vms|pools|services|teams|windows [NAME]",
           "prints the configuration or some of its objects",
           "mustardtray get services bookings",
           1,
           2,
           nullptr,
           &RunGet };
}

Command HistoryCommand()
{
  return { "history",
           "",
           "prints the latest accepted changes",
           "mustardtray history --count 5",
           0,
           0,
           [](cxxopts::Options& aOptions) {
             aOptions.add_options()(
               "count", "number of changes", cxxopts::value<int>()->default_value("20"));
           },
           &RunHistory };
}

Command StatusCommand()
{
  return { "status",
           "",
           "prints the configuration version in force on each entry VM",
           "mustardtray status",
           0,
           0,
           nullptr,
           &RunStatus };
}

Command ExplainCommand()
{
  return { "explain",
           "vm NAME | service NAME | request METHOD PATH",
           "explains why a VM is in its pool or where a request is sent",
           "mustardtray explain vm pl-a-t02",
           2,
           3,
           nullptr,
           &RunExplain };
}

} // namespace mustardtray
