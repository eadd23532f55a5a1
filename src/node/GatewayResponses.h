#pragma once

/// Responses of the gateway to callers' requests that are not handled.

#include <algorithm>
#include <string>

#include "mustardtray/connection/HttpMessage.h"
#include "mustardtray/process/Time.h"

namespace mustardtray::node {

inline constexpr Millis kMinRetryAfter{ 1'000 };

inline HttpResponse Refusal(int aStatus, Millis aRetryAfter, const std::string& aWhy)
{
  HttpResponse response = JsonResponse(aStatus, R"({"error":")" + aWhy + "\"}");
  const auto seconds = (std::max(aRetryAfter, kMinRetryAfter).count() + 999) / 1'000;
  response.m_headers.push_back({ "Retry-After", std::to_string(seconds) });
  return response;
}

/// Only for requests that have not run and never will.
inline HttpResponse Unavailable(const std::string& aWhy)
{
  return Refusal(503, kMinRetryAfter, aWhy);
}

inline HttpResponse OutcomeUnknown()
{
  return JsonResponse(504, R"({"error":"it is not known whether the job was stored"})");
}

inline HttpResponse JobNotFound()
{
  return JsonResponse(410, R"({"error":"no such job"})");
}

inline HttpResponse Unauthorized()
{
  HttpResponse response = JsonResponse(401, R"({"error":"a valid API key is needed"})");
  response.m_headers.push_back({ "WWW-Authenticate", "Bearer" });
  return response;
}

inline HttpResponse Forbidden()
{
  return JsonResponse(403, R"({"error":"the job belongs to another account"})");
}

} // namespace mustardtray::node
