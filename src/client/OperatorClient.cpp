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
constexpr Millis kAskAgainAfter{ 500 };
constexpr int kAskAgain = 5;

Error NoAnswer(ErrorKind aKind, const std::string& aPeer, std::string aMessage)
{
  return { aKind, "ask the operators' interface", aPeer, std::move(aMessage) };
}

} // namespace

std::string OperatorAnswer::Message() const
{
  const std::string message =
    m_body.is_object() ? m_body.value("message", std::string()) : std::string();
  return message.empty() ? fmt::format("status {}", m_status) : message;
}

Result<OperatorAnswer> OperatorClient::Call(const std::string& aMethod,
                                            const std::string& aPath,
                                            const std::string& aBody) const
{
  Error last = NoAnswer(ErrorKind::Invalid, "", "no entry VM is given");
  for (const std::string& url : m_endpoint.m_urls) {
    HttpCall call;
    call.m_method = aMethod;
    call.m_url = url + aPath;
    call.m_body = aBody;
    call.m_timeout = kCallTimeout;
    call.m_connectTimeout = kConnectTimeout;
    call.m_freshConnection = true;
    call.m_caFile = m_endpoint.m_caFile;
    call.m_step = "ask the operators' interface";
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
        return NoAnswer(ErrorKind::Unknown, url, "the answer is not JSON");
      }
      return OperatorAnswer{ result.value().m_status, body, url };
    }
    last = result.error().m_error;
    if (!result.error().m_isNotSent && aMethod != "GET") {
      return last;
    }
  }
  return last;
}

Result<OperatorAnswer> OperatorClient::Get(const std::string& aPath) const
{
  return Call("GET", aPath, "");
}

Result<OperatorAnswer> OperatorClient::Post(const std::string& aPath, const Json& aBody) const
{
  return Call("POST", aPath, aBody.dump());
}

Result<OperatorAnswer> OperatorClient::Apply(ApplyRequest aRequest) const
{
  Result<OperatorAnswer> answer = Post("/operator/apply", ToJson(aRequest));
  for (int i = 0; i < kAskAgain; ++i) {
    const bool isLost = answer.has_error() && answer.error().m_kind == ErrorKind::Unknown;
    const bool isUnknown =
      answer.has_value() &&
      answer.value().m_body.value("status", std::string()) == ToName(ApplyStatus::Unknown);
    if (!isLost && !isUnknown) {
      break;
    }
    if (isUnknown && answer.value().m_body.contains("unknown_base")) {
      aRequest.m_unknownBase = answer.value().m_body["unknown_base"].get<std::uint64_t>();
    }
    std::this_thread::sleep_for(kAskAgainAfter);
    answer = Post("/operator/apply", ToJson(aRequest));
  }
  return answer;
}

std::string MintOperationId()
{
  std::random_device random;
  const auto draw = [&random] { return (std::uint64_t{ random() } << 32) | random(); };
  return MintIdempotencyKey(WallNow(), draw(), draw()).Text();
}

std::string UserName()
{
  const char* name = std::getenv("USER");
  return name ? name : "";
}

std::string QueryEncoded(std::string_view aText)
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
