#include "request/LocalResponses.h"

#include <chrono>

#include "mustardtray/process/JsonReader.h"
#include "request/HeaderFilter.h"

namespace mustardtray {

namespace {

HttpResponse LocalResponse(int aStatus,
                           std::string_view aRequestId,
                           std::string_view aOutcome,
                           std::string_view aReason)
{
  const Json body{ { "error", aOutcome }, { "reason", aReason }, { "request_id", aRequestId } };
  HttpResponse response =
    JsonResponse(aStatus, body.dump(-1, ' ', true, Json::error_handler_t::replace));
  response.m_headers.push_back({ std::string(kOutcomeHeader), std::string(aOutcome) });
  response.m_headers.push_back({ std::string(kRequestIdHeader), std::string(aRequestId) });
  return response;
}

} // namespace

HttpResponse NotRunResponse(std::string_view aRequestId,
                            std::string_view aReason,
                            Millis aRetryAfter)
{
  HttpResponse response = LocalResponse(503, aRequestId, kOutcomeNotRun, aReason);
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(aRetryAfter);
  response.m_headers.push_back({ "Retry-After", std::to_string(seconds.count()) });
  return response;
}

HttpResponse UnknownResponse(std::string_view aRequestId,
                             std::string_view aReason,
                             bool aAttemptNotRun)
{
  HttpResponse response = LocalResponse(504, aRequestId, kOutcomeUnknown, aReason);
  if (aAttemptNotRun) {
    response.m_headers.push_back({ std::string(kAttemptHeader), std::string(kOutcomeNotRun) });
  }
  return response;
}

HttpResponse RejectedResponse(int aStatus, std::string_view aRequestId, std::string_view aReason)
{
  return LocalResponse(aStatus, aRequestId, kOutcomeNotRun, aReason);
}

} // namespace mustardtray
