#include "mustardtray/request/Router.h"

#include <algorithm>

#include <fmt/format.h>

#include "mustardtray/process/Log.h"
#include "request/ActiveRequest.h"
#include "request/ForwardEnvelope.h"
#include "request/HeaderFilter.h"
#include "request/OutgoingCall.h"
#include "request/RoutingMetrics.h"

namespace mustardtray {

/// Part of the Router that sends requests to minions and to other entry VMs.

namespace {

/// Time after the maximum run time before the call is aborted.
constexpr Millis kMinionTimeoutMargin{ 1'000 };

/// Derives the outcome of an attempt from the result of its HTTP call.
AttemptOutcome ClassifyOutcome(const HttpCallResult& aResult,
                               TargetKind aKind,
                               std::string_view aAttemptId)
{
  if (aResult.has_error()) {
    return aResult.error().m_isNotSent ? AttemptOutcome::NotSent : AttemptOutcome::Broken;
  }
  const HttpResponse& response = aResult.value();
  const std::string* outcome = response.Header(kOutcomeHeader);
  if (outcome && *outcome == kOutcomeNotRun) {
    return AttemptOutcome::RefusedNotRun;
  }
  if (outcome && *outcome == kOutcomeUnknown) {
    return AttemptOutcome::Broken;
  }
  if (aKind == TargetKind::EntryVm) {
    return AttemptOutcome::Succeeded;
  }
  const std::string* echoed = response.Header(kRequestIdHeader);
  const bool belongsToOtherAttempt = echoed && *echoed != aAttemptId;
  if (belongsToOtherAttempt) {
    return AttemptOutcome::Broken;
  }
  return response.m_status >= 500 ? AttemptOutcome::MinionFailed : AttemptOutcome::Succeeded;
}

std::string AttemptId(const std::string& aWireId, int aAttempt)
{
  return fmt::format("{}.{}", aWireId, aAttempt);
}

} // namespace

/// An attempt to run a request at a target. After a timeout it exists longer than the request.
struct Router::Attempt
{
  ActivePointer m_active;
  std::shared_ptr<ServiceState> m_service;
  Target m_target;
  std::string m_id;
  TimePoint m_start;
  TimerHandle m_timeout;
  bool m_isReported = false; ///< True if the outcome was reported to the scheduler.
};

std::string Router::BaseUrl(const ServiceState& aService, const Target& aTarget) const
{
  if (aTarget.m_kind == TargetKind::EntryVm) {
    const auto peer = m_snapshot->m_peers.find(aTarget.m_id);
    return peer == m_snapshot->m_peers.end() ? "" : peer->second.m_forwardUrl;
  }
  const MinionEndpoint& minion = aService.m_minions.at(aTarget.m_id);
  return fmt::format("http://{}:{}", minion.m_address, minion.m_port);
}

HttpCall Router::MakeCall(const ActiveRequest& aActive,
                          const Assignment& aAssignment,
                          const std::string& aBaseUrl) const
{
  const Millis left = CeilMillis(aAssignment.m_timeout);
  if (aAssignment.m_target.m_kind == TargetKind::EntryVm) {
    const ForwardEnvelope envelope{ ForwardKind::FreeCapacity, aActive.m_wireId,
                                    m_options.m_node,          left,
                                    aAssignment.m_hops,        0 };
    return MakeForwardCall(aActive, aBaseUrl, envelope);
  }
  HttpCall call = MakeOutgoingCall(aActive, aBaseUrl);
  call.m_headers.push_back(
    { std::string(kRequestIdHeader), AttemptId(aActive.m_wireId, aAssignment.m_attempt) });
  call.m_headers.push_back({ std::string(kTimeoutHeader), std::to_string(left.count()) });
  call.m_timeout = std::max(left, aActive.m_service->m_maxRun) + kMinionTimeoutMargin;
  return call;
}

void Router::StartAttempt(const std::shared_ptr<ServiceState>& aService,
                          const Assignment& aAssignment)
{
  const ActivePointer active = m_activeRequests.at(aAssignment.m_request);
  m_metrics->CountRoute(aService->m_name, aAssignment.m_reason);
  Log(LogCategory::Routing,
      LogLevel::Info,
      "route",
      "request",
      active->m_wireId,
      "service",
      aService->m_name,
      "queue",
      active->m_queue,
      "urgency",
      ToName(active->m_urgency),
      ToName(aAssignment.m_target.m_kind),
      aAssignment.m_target.m_id,
      "reason",
      ToName(aAssignment.m_reason),
      "attempt",
      aAssignment.m_attempt);
  auto attempt = std::make_shared<Attempt>();
  attempt->m_active = active;
  attempt->m_service = aService;
  attempt->m_target = aAssignment.m_target;
  attempt->m_id = AttemptId(active->m_wireId, aAssignment.m_attempt);
  attempt->m_start = MonotonicNow();
  const std::string baseUrl = BaseUrl(*aService, aAssignment.m_target);
  if (baseUrl.empty()) {
    FinishAttempt(attempt, AttemptOutcome::NotSent, {});
    return;
  }
  const std::weak_ptr<Attempt> weak = attempt;
  attempt->m_timeout = m_timers.After(aAssignment.m_timeout, [this, weak] {
    if (const auto timedOut = weak.lock()) {
      OnAttemptTimeout(timedOut);
    }
  });
  m_client.Start(MakeCall(*active, aAssignment, baseUrl), [this, attempt](HttpCallResult aResult) {
    OnAttemptEnd(attempt, std::move(aResult));
  });
}

void Router::OnAttemptTimeout(const std::shared_ptr<Attempt>& aAttempt)
{
  if (!aAttempt->m_isReported) {
    FinishAttempt(aAttempt, AttemptOutcome::TimedOut, {});
  }
}

void Router::OnAttemptEnd(const std::shared_ptr<Attempt>& aAttempt, HttpCallResult aResult)
{
  if (aAttempt->m_isReported) {
    if (aAttempt->m_target.m_kind == TargetKind::Minion) {
      aAttempt->m_service->m_scheduler.OnSlotFreed(MonotonicNow(), aAttempt->m_target.m_id);
      Dispatch(aAttempt->m_service);
    }
    return;
  }
  const AttemptOutcome outcome =
    ClassifyOutcome(aResult, aAttempt->m_target.m_kind, aAttempt->m_id);
  if (aResult.has_error()) {
    Log(LogCategory::Routing,
        LogLevel::Warning,
        "attempt-failed",
        "request",
        aAttempt->m_active->m_wireId,
        "target",
        aAttempt->m_target.m_id,
        "error",
        aResult.error().m_error.Text());
  }
  FinishAttempt(
    aAttempt, outcome, aResult.has_value() ? std::move(aResult.value()) : HttpResponse{});
}

void Router::FinishAttempt(const std::shared_ptr<Attempt>& aAttempt,
                           AttemptOutcome aOutcome,
                           HttpResponse aResponse)
{
  aAttempt->m_isReported = true;
  aAttempt->m_timeout.Cancel();
  const ActivePointer active = aAttempt->m_active;
  const TimePoint now = MonotonicNow();
  m_metrics->CountAttempt(aAttempt->m_service->m_name, aOutcome);
  const AttemptDecision decision = aAttempt->m_service->m_scheduler.OnAttemptFinished(
    now, active->m_id, aOutcome, now - aAttempt->m_start);
  switch (decision.m_step) {
    case NextStep::PassOn:
      RelayResponse(active, std::move(aResponse), aAttempt->m_target.m_kind == TargetKind::Minion);
      break;
    case NextStep::Retry:
      break;
    case NextStep::Refuse:
      RespondRefused(active, decision.m_refusal);
      break;
    case NextStep::Unknown:
      RespondUnknown(active, ToName(aOutcome));
      break;
  }
  Dispatch(aAttempt->m_service);
}

} // namespace mustardtray
