#include "mustardtray/process/OperatorInterface.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "mustardtray/version/ParseConfiguration.h"

namespace mustardtray {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
constexpr int kTimeout = 504;
constexpr std::size_t kDefaultHistoryCount = 20;

int HttpStatusOf(ApplyStatus aStatus)
{
  switch (aStatus) {
    case ApplyStatus::Accepted:
    case ApplyStatus::Checked:
      return kOk;
    case ApplyStatus::Conflict:
      return kConflict;
    case ApplyStatus::Invalid:
      return kUnprocessable;
    case ApplyStatus::NotAccepted:
      return kUnavailable;
    case ApplyStatus::Unknown:
      return kTimeout;
  }
  return kServerError;
}

std::string DumpText(const Json& aValue)
{
  return aValue.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void Send(const HttpResponder& aResponder, const Json& aValue, int aStatus = kOk)
{
  aResponder.Send(JsonResponse(aStatus, DumpText(aValue)));
}

void SendError(const HttpResponder& aResponder, ErrorKind aKind, std::string aMessage)
{
  aResponder.Send(ErrorResponse({ aKind, "operator request", "", std::move(aMessage) }));
}

bool RequireHook(const HttpResponder& aResponder, bool aIsSet)
{
  if (!aIsSet) {
    SendError(aResponder, ErrorKind::Refused, "this node does not offer that");
  }
  return aIsSet;
}

/// Reads the fields of the body. Sends an error response and returns false when there is a fault.
bool ReadBody(const HttpRequest& aRequest,
              const HttpResponder& aResponder,
              const std::function<void(JsonReader&)>& aRead)
{
  FieldErrors errors;
  const Json body = ParseJsonText(aRequest.m_body, errors);
  if (errors.empty()) {
    JsonReader reader(body, "", errors);
    aRead(reader);
    reader.Finish();
  }
  if (!errors.empty()) {
    SendError(aResponder, ErrorKind::Invalid, errors.front().Text());
  }
  return errors.empty();
}

Callback<std::string> RespondWithOperationId(const HttpResponder& aResponder)
{
  return [aResponder](const Result<std::string>& aId) {
    if (aId.has_error()) {
      aResponder.Send(ErrorResponse(aId.error()));
    } else {
      Send(aResponder, Json{ { "operation_id", aId.value() } });
    }
  };
}

Selector ReadSelector(JsonReader& aReader)
{
  Selector selector;
  aReader.RequiredObject("selector", [&selector](JsonReader& aTerms) {
    for (const auto& [key, values] : aTerms.Value().items()) {
      selector.m_anyOf[key] = aTerms.Strings(key);
    }
  });
  return selector;
}

std::vector<std::string> ServiceNames(const CompiledConfiguration& aCompiled)
{
  std::vector<std::string> names;
  for (const auto& [name, service] : aCompiled.Source().m_services) {
    names.push_back(name);
  }
  return names;
}

std::vector<std::string> VmNames(const CompiledConfiguration& aCompiled)
{
  std::vector<std::string> names;
  for (const auto& [name, labels] : aCompiled.Source().m_vmLabels) {
    names.push_back(name);
  }
  return names;
}

std::string MakeUnknownNameMessage(std::string_view aKind,
                                   const std::string& aName,
                                   const std::vector<std::string>& aKnown)
{
  const std::string closest = ClosestName(aName, aKnown);
  return fmt::format("no {} \"{}\"{}",
                     aKind,
                     aName,
                     closest.empty() ? "" : fmt::format("; did you mean \"{}\"?", closest));
}

} // namespace

struct OperatorInterface::Route
{
  std::string_view m_method;
  std::string_view m_path;
  void (OperatorInterface::*m_handle)(const HttpRequest&, const HttpResponder&) const;
};

const std::vector<OperatorInterface::Route>& OperatorInterface::Routes()
{
  static const std::vector<Route> sRoutes{
    { "POST", "/operator/apply", &OperatorInterface::Apply },
    { "GET", "/operator/config", &OperatorInterface::Config },
    { "GET", "/operator/history", &OperatorInterface::History },
    { "GET", "/operator/operation", &OperatorInterface::Operation },
    { "GET", "/operator/status", &OperatorInterface::Status },
    { "GET", "/operator/explain", &OperatorInterface::Explain },
    { "POST", "/operator/drain", &OperatorInterface::Drain },
    { "POST", "/operator/release", &OperatorInterface::Release },
    { "POST", "/operator/maintain", &OperatorInterface::Maintain },
    { "POST", "/operator/wave", &OperatorInterface::Wave },
    { "GET", "/operator/wave", &OperatorInterface::WaveProgress },
  };
  return sRoutes;
}

void OperatorInterface::Handle(const HttpRequest& aRequest, const HttpResponder& aResponder) const
{
  bool isKnownPath = false;
  for (const Route& route : Routes()) {
    if (route.m_path != aRequest.m_path) {
      continue;
    }
    isKnownPath = true;
    if (route.m_method == aRequest.m_method) {
      (this->*route.m_handle)(aRequest, aResponder);
      return;
    }
  }
  Send(aResponder,
       Json{ { "kind", "not-found" }, { "message", "no such route" } },
       isKnownPath ? kMethodNotAllowed : kNotFound);
}

void OperatorInterface::Apply(const HttpRequest& aRequest, const HttpResponder& aResponder) const
{
  if (!RequireHook(aResponder, m_hooks.m_apply != nullptr)) {
    return;
  }
  ApplyOutcome rejected;
  rejected.m_status = ApplyStatus::Invalid;
  const Json body = ParseJsonText(aRequest.m_body, rejected.m_errors);
  if (rejected.m_errors.empty()) {
    ApplyRequest request = ParseApplyRequest(body, rejected.m_errors);
    if (rejected.m_errors.empty()) {
      m_hooks.m_apply(std::move(request), [aResponder](const ApplyOutcome& aOutcome) {
        Send(aResponder, ToJson(aOutcome), HttpStatusOf(aOutcome.m_status));
      });
      return;
    }
  }
  Send(aResponder, ToJson(rejected), kUnprocessable);
}

void OperatorInterface::Config(const HttpRequest& aRequest, const HttpResponder& aResponder) const
{
  if (RequireHook(aResponder, m_hooks.m_document != nullptr)) {
    Send(aResponder, m_hooks.m_document());
  }
}

void OperatorInterface::History(const HttpRequest& aRequest, const HttpResponder& aResponder) const
{
  if (!RequireHook(aResponder, m_hooks.m_history != nullptr)) {
    return;
  }
  const std::string text = aRequest.QueryValue("count").value_or("");
  std::size_t count = kDefaultHistoryCount;
  std::from_chars(text.data(), text.data() + text.size(), count);
  m_hooks.m_history(count, [aResponder](const Result<std::vector<Json>>& aEntries) {
    if (aEntries.has_error()) {
      aResponder.Send(ErrorResponse(aEntries.error()));
    } else {
      Send(aResponder, Json{ { "history", aEntries.value() } });
    }
  });
}

void OperatorInterface::Operation(const HttpRequest& aRequest,
                                  const HttpResponder& aResponder) const
{
  if (!RequireHook(aResponder, m_hooks.m_findOperation != nullptr)) {
    return;
  }
  const std::string id = aRequest.QueryValue("id").value_or("");
  m_hooks.m_findOperation(
    id, [aResponder, id](const Result<std::optional<std::uint64_t>>& aVersion) {
      if (aVersion.has_error()) {
        aResponder.Send(ErrorResponse(aVersion.error()));
      } else if (!aVersion.value()) {
        SendError(aResponder, ErrorKind::NotFound, "no accepted change has this operation id");
      } else {
        Send(aResponder, Json{ { "operation_id", id }, { "version", *aVersion.value() } });
      }
    });
}

void OperatorInterface::Status(const HttpRequest& aRequest, const HttpResponder& aResponder) const
{
  if (!RequireHook(aResponder, m_hooks.m_status && m_hooks.m_compiled)) {
    return;
  }
  Json status = ToJson(m_hooks.m_status());
  Json services = Json::array();
  if (const CompiledConfigurationPointer compiled = m_hooks.m_compiled()) {
    for (const auto& [name, service] : compiled->Source().m_services) {
      services.push_back({ { "service", name },
                           { "pool", service.m_pool },
                           { "minions", compiled->MinionCount(name) },
                           { "max_unavailable", service.m_budget.m_maxUnavailable } });
    }
  }
  status["services"] = std::move(services);
  Send(aResponder, status);
}

void OperatorInterface::Explain(const HttpRequest& aRequest, const HttpResponder& aResponder) const
{
  const CompiledConfigurationPointer compiled = m_hooks.m_compiled ? m_hooks.m_compiled() : nullptr;
  if (!compiled) {
    SendError(aResponder, ErrorKind::Unavailable, "no configuration is in force here");
    return;
  }
  const std::string kind = aRequest.QueryValue("kind").value_or("");
  const std::string name = aRequest.QueryValue("name").value_or("");
  std::vector<std::string> lines;
  std::string notFoundMessage = "kind: vm|service|request";
  if (kind == "request") {
    lines = ExplainRequest(*compiled, aRequest.QueryValue("method").value_or("GET"), name);
  } else if (kind == "service") {
    lines = ExplainService(*compiled, name);
    notFoundMessage = MakeUnknownNameMessage("service", name, ServiceNames(*compiled));
  } else if (kind == "vm") {
    lines = ExplainPlacement(*compiled, name);
    notFoundMessage = MakeUnknownNameMessage("VM", name, VmNames(*compiled));
    if (m_hooks.m_explainVm && !lines.empty()) {
      const std::vector<std::string> more = m_hooks.m_explainVm(name);
      lines.insert(lines.end(), more.begin(), more.end());
    }
  }
  if (lines.empty()) {
    SendError(aResponder, ErrorKind::NotFound, notFoundMessage);
    return;
  }
  Send(aResponder, Json{ { "kind", kind }, { "name", name }, { "lines", lines } });
}

void OperatorInterface::Drain(const HttpRequest& aRequest, const HttpResponder& aResponder) const
{
  std::string vm;
  std::string id;
  const bool isValid = ReadBody(aRequest, aResponder, [&vm, &id](JsonReader& aReader) {
    vm = aReader.RequiredString("vm");
    id = aReader.RequiredString("operation_id");
  });
  if (isValid && RequireHook(aResponder, m_hooks.m_drain != nullptr)) {
    m_hooks.m_drain(vm, id, RespondWithOperationId(aResponder));
  }
}

void OperatorInterface::Release(const HttpRequest& aRequest, const HttpResponder& aResponder) const
{
  std::string vm;
  const bool isValid = ReadBody(
    aRequest, aResponder, [&vm](JsonReader& aReader) { vm = aReader.RequiredString("vm"); });
  if (isValid && RequireHook(aResponder, m_hooks.m_release != nullptr)) {
    m_hooks.m_release(vm, RespondWithOperationId(aResponder));
  }
}

void OperatorInterface::Maintain(const HttpRequest& aRequest, const HttpResponder& aResponder) const
{
  Selector selector;
  std::string id;
  const bool isValid = ReadBody(aRequest, aResponder, [&selector, &id](JsonReader& aReader) {
    selector = ReadSelector(aReader);
    id = aReader.RequiredString("operation_id");
  });
  if (isValid && RequireHook(aResponder, m_hooks.m_maintain != nullptr)) {
    m_hooks.m_maintain(selector, id, RespondWithOperationId(aResponder));
  }
}

void OperatorInterface::WaveProgress(const HttpRequest& aRequest,
                                     const HttpResponder& aResponder) const
{
  if (!RequireHook(aResponder, m_hooks.m_waveProgress != nullptr)) {
    return;
  }
  const std::string wave = aRequest.QueryValue("wave").value_or("");
  const Json progress = m_hooks.m_waveProgress(wave);
  if (progress.is_null()) {
    aResponder.Send(
      ErrorResponse({ ErrorKind::NotFound, "watch wave", "", "no wave " + ShortText(wave) }));
    return;
  }
  aResponder.Send(JsonResponse(200, progress.dump()));
}

void OperatorInterface::Wave(const HttpRequest& aRequest, const HttpResponder& aResponder) const
{
  std::string wave;
  std::string action;
  const bool isValid = ReadBody(aRequest, aResponder, [&wave, &action](JsonReader& aReader) {
    wave = aReader.RequiredString("wave");
    action = aReader.RequiredString("action");
    if (action != "pause" && action != "resume" && action != "cancel") {
      aReader.Fail("action", "pause|resume|cancel");
    }
  });
  if (isValid && RequireHook(aResponder, m_hooks.m_wave != nullptr)) {
    m_hooks.m_wave(wave, action, RespondWithOperationId(aResponder));
  }
}

Json ToJson(const FleetStatus& aStatus)
{
  Json nodes = Json::array();
  for (const NodeStatus& node : aStatus.m_nodes) {
    nodes.push_back({ { "node", node.m_node },
                      { "zone", node.m_zone },
                      { "version", node.m_version },
                      { "heard_ms_ago", node.m_timeSinceHeard.count() },
                      { "alive", node.m_isAlive } });
  }
  return Json{ { "node", aStatus.m_node },
               { "version", aStatus.m_version },
               { "platform_reachable", aStatus.m_isPlatformReachable },
               { "nodes", std::move(nodes) } };
}

int StatusOf(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::Invalid:
      return kUnprocessable;
    case ErrorKind::NotFound:
      return kNotFound;
    case ErrorKind::Conflict:
    case ErrorKind::Refused:
      return kConflict;
    case ErrorKind::Unavailable:
      return kUnavailable;
    case ErrorKind::Unknown:
      return kTimeout;
    case ErrorKind::Internal:
      return kServerError;
  }
  return kServerError;
}

HttpResponse ErrorResponse(const Error& aError)
{
  const Json value{ { "kind", ToName(aError.m_kind) }, { "message", aError.m_message } };
  return JsonResponse(StatusOf(aError.m_kind), DumpText(value));
}

} // namespace mustardtray
