#include "client/OperatorClient.h"

#include <cstdlib>
#include <random>
#include <thread>

#include <fmt/format.h>

#include "mustardtray/process/Time.h"
#include "mustardtray/request/IdempotencyKey.h"
#include "mustardtray/version/ParseConfiguration.h"

namespace mustardtray {

namespace {

constexpr Millis kCallTimeout{ 30'000 };
constexpr Millis kConnectTimeout{ 1'000 };
constexpr Millis kApplyRetryDelay{ 500 };
constexpr int kMaxApplyRetries = 5;

Error MakeCallError(ErrorKind aKind, const std::string& aPeer, std::string aMessage)
{
  return { aKind, "call the operators' interface", aPeer, std::move(aMessage) };
}

} // namespace

std::string OperatorResponse::Message() const
{
  const std::string message =
    m_body.is_object() ? m_body.value("message", std::string()) : std::string();
  return message.empty() ? fmt::format("status {}", m_status) : message;
}

Result<OperatorResponse> OperatorClient::Call(const std::string& aMethod,
                                              const std::string& aPath,
                                              const std::string& aBody) const
{
  Error lastError = MakeCallError(ErrorKind::Invalid, "", "no entry VM is configured");
  for (const std::string& url : m_endpoint.m_urls) {
    HttpCall call;
    call.m_method = aMethod;
    call.m_url = url + aPath;
    call.m_body = aBody;
    call.m_timeout = kCallTimeout;
    call.m_connectTimeout = kConnectTimeout;
    call.m_freshConnection = true;
    call.m_caFile = m_endpoint.m_caFile;
    call.m_step = "call the operators' interface";
    if (!m_endpoint.m_token.empty()) {
      call.m_headers.push_back({ "Authorization", "Bearer " + m_endpoint.m_token });
    }
    if (!aBody.empty()) {
      call.m_headers.push_back({ "Content-Type", "application/json" });
    }
    const HttpCallResult result = CallAndWait(std::move(call));
    if (result.has_value()) {
      const Json body = Json::parse(result.value().m_body, nullptr, false);
      if (body.is_discarded()) {
        return MakeCallError(ErrorKind::Unknown, url, "the response is not JSON");
      }
      return OperatorResponse{ result.value().m_status, body, url };
    }
    lastError = result.error().m_error;
    if (!result.error().m_isNotSent && aMethod != "GET") {
      return lastError;
    }
  }
  return lastError;
}

Result<OperatorResponse> OperatorClient::Get(const std::string& aPath) const
{
  return Call("GET", aPath, "");
}

Result<OperatorResponse> OperatorClient::Post(const std::string& aPath, const Json& aBody) const
{
  return Call("POST", aPath, aBody.dump());
}

Result<OperatorResponse> OperatorClient::Apply(ApplyRequest aRequest) const
{
  Result<OperatorResponse> response = Post("/operator/apply", ToJson(aRequest));
  for (int i = 0; i < kMaxApplyRetries; ++i) {
    const bool isResponseLost =
      response.has_error() && response.error().m_kind == ErrorKind::Unknown;
    const bool isOutcomeUnknown =
      response.has_value() &&
      response.value().m_body.value("status", std::string()) == ToName(ApplyStatus::Unknown);
    if (!isResponseLost && !isOutcomeUnknown) {
      break;
    }
    if (isOutcomeUnknown && response.value().m_body.contains("unknown_base")) {
      aRequest.m_unknownBase = response.value().m_body["unknown_base"].get<std::uint64_t>();
    }
    std::this_thread::sleep_for(kApplyRetryDelay);
    response = Post("/operator/apply", ToJson(aRequest));
  }
  return response;
}

std::string GenerateOperationId()
{
  std::random_device random;
  const auto randomBits = [&random] { return (std::uint64_t{ random() } << 32) | random(); };
  return MintIdempotencyKey(WallNow(), randomBits(), randomBits()).Text();
}

std::string CurrentUserName()
{
  const char* name = std::getenv("USER");
  return name ? name : "";
}

std::string EncodeQueryValue(std::string_view aText)
{
  std::string encoded;
  for (const char c : aText) {
    if (IsValidName(std::string_view(&c, 1)) || c == '-' || c == '.' || c == '_' || c == '/') {
      encoded += c;
    } else {
      encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
  }
  return encoded;
}

} // namespace mustardtray
