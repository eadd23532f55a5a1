#include "request/OwnAnswers.h"

#include <chrono>

#include "mustardtray/process/JsonReader.h"
#include "request/HeaderFilter.h"

namespace mustardtray {

namespace {

HttpResponse OwnAnswer(int aStatus,
                       std::string_view aRequestId,
                       std::string_view aOutcome,
                       std::string_view aReason)
{
  const Json body{ { "error", aOutcome }, { "reason", aReason }, { "request_id", aRequestId } };
  HttpResponse answer =
    JsonResponse(aStatus, body.dump(-1, ' ', true, Json::error_handler_t::replace));
  answer.m_headers.push_back({ std::string(kOutcomeHeader), std::string(aOutcome) });
  answer.m_headers.push_back({ std::string(kRequestIdHeader), std::string(aRequestId) });
  return answer;
}

} // namespace

HttpResponse NotRunAnswer(std::string_view aRequestId, std::string_view aReason, Millis aRetryAfter)
{
  HttpResponse answer = OwnAnswer(503, aRequestId, kNotRun, aReason);
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(aRetryAfter);
  answer.m_headers.push_back({ "Retry-After", std::to_string(seconds.count()) });
  return answer;
}

HttpResponse UnknownAnswer(std::string_view aRequestId,
                           std::string_view aReason,
                           bool aAttemptNotRun)
{
  HttpResponse answer = OwnAnswer(504, aRequestId, kUnknown, aReason);
  if (aAttemptNotRun) {
    answer.m_headers.push_back({ std::string(kAttemptHeader), std::string(kNotRun) });
  }
  return answer;
}

HttpResponse RejectedAnswer(int aStatus, std::string_view aRequestId, std::string_view aReason)
{
  return OwnAnswer(aStatus, aRequestId, kNotRun, aReason);
}

} // namespace mustardtray
