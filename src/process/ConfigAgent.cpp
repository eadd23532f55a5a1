#include "mustardtray/process/ConfigAgent.h"

#include <charconv>

#include <fmt/format.h>

#include "mustardtray/version/ParseConfiguration.h"

namespace mustardtray {

namespace {

constexpr Millis kPeerTimeout{ 1'000 };
constexpr Millis kPeerConnectTimeout{ 300 };
constexpr std::uint64_t kMaxPeerResponseBytes = kMaxConfigurationBytes;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;

Result<ConfigDelta> ParsePeerResponse(const std::string& aPeer, const HttpCallResult& aResult)
{
  if (aResult.has_error()) {
    return aResult.error().m_error;
  }
  const HttpResponse& response = aResult.value();
  if (response.m_status != kOk) {
    return Error{
      ErrorKind::Refused, "fetch configuration", aPeer, fmt::format("status {}", response.m_status)
    };
  }
  FieldErrors errors;
  const Json value = ParseJsonText(response.m_body, errors);
  if (!errors.empty()) {
    return Error{ ErrorKind::Invalid, "fetch configuration", aPeer, errors.front().Text() };
  }
  return ParseConfigDelta(value);
}

} // namespace

std::function<void(const std::string&, std::uint64_t, Callback<ConfigDelta>)> MakePeerFetch(
  HttpClient& aClient)
{
  return [&aClient](const std::string& aPeer, std::uint64_t aSince, Callback<ConfigDelta> aDone) {
    HttpCall call;
    call.m_url = fmt::format("{}{}?since={}", aPeer, kPeerConfigPath, aSince);
    call.m_timeout = kPeerTimeout;
    call.m_connectTimeout = kPeerConnectTimeout;
    call.m_maxResponseBytes = kMaxPeerResponseBytes;
    call.m_step = "fetch configuration";
    aClient.Start(std::move(call), [aPeer, done = std::move(aDone)](const HttpCallResult& aResult) {
      done(ParsePeerResponse(aPeer, aResult));
    });
  };
}

HttpResponse MakePeerConfigResponse(const ConfigReplica& aReplica, const HttpRequest& aRequest)
{
  const std::string since = aRequest.QueryValue("since").value_or("0");
  std::uint64_t version = 0;
  const auto parsed = std::from_chars(since.data(), since.data() + since.size(), version);
  if (parsed.ec != std::errc() || parsed.ptr != since.data() + since.size()) {
    return JsonResponse(kBadRequest, R"({"message":"since: a version number"})");
  }
  return JsonResponse(kOk, ToJson(aReplica.DeltaSince(version)).dump());
}

ConfigurationPointer ParseReplica(const ConfigReplica& aReplica)
{
  ParsedConfiguration parsed = ParseConfigurationDocument(aReplica.Document());
  if (!parsed.m_errors.empty()) {
    Log(LogCategory::Configuration,
        LogLevel::Error,
        "configuration-unreadable",
        "version",
        aReplica.Version(),
        "error",
        parsed.m_errors.front().Text());
    return nullptr;
  }
  Log(LogCategory::Configuration,
      LogLevel::Info,
      "configuration-activated",
      "version",
      aReplica.Version(),
      "operation",
      aReplica.Head().m_operationId);
  return std::make_shared<const Configuration>(std::move(parsed.m_configuration));
}

} // namespace mustardtray
