#include "request/OutgoingCall.h"

#include "request/HeaderFilter.h"

namespace mustardtray {

namespace {

constexpr Millis kConnectTimeout{ 1'000 };
/// Time after the deadline for the refusal of the other entry VM to arrive.
constexpr Millis kForwardTimeoutMargin{ 100 };

} // namespace

HttpCall MakeOutgoingCall(const ActiveRequest& aActive, const std::string& aBaseUrl)
{
  const HttpRequest& request = aActive.m_request;
  HttpCall call;
  call.m_step = "send request";
  call.m_method = request.m_method;
  call.m_url = aBaseUrl + request.m_path;
  call.m_url += request.m_query.empty() ? "" : "?" + request.m_query;
  call.m_headers = EndToEndHeaders(request.m_headers);
  call.m_body = request.m_body;
  call.m_freshConnection = !aActive.m_idempotent;
  call.m_connectTimeout = kConnectTimeout;
  return call;
}

HttpCall MakeForwardCall(const ActiveRequest& aActive,
                         const std::string& aBaseUrl,
                         const ForwardEnvelope& aEnvelope)
{
  HttpCall call = MakeOutgoingCall(aActive, aBaseUrl);
  call.m_headers.push_back({ std::string(kForwardHeader), FormatForwardEnvelope(aEnvelope) });
  call.m_timeout = aEnvelope.m_timeLeft + kForwardTimeoutMargin;
  return call;
}

} // namespace mustardtray
