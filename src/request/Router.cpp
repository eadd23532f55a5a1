#include "mustardtray/request/Router.h"

#include <algorithm>

#include <asio/post.hpp>
#include <fmt/format.h>

#include "mustardtray/process/Log.h"
#include "request/ActiveRequest.h"
#include "request/ForwardEnvelope.h"
#include "request/HeaderFilter.h"
#include "request/OwnAnswers.h"
#include "request/RoutingMetrics.h"

namespace mustardtray {

namespace {

constexpr Millis kKeyExpiryPeriod{ 1'000 };
constexpr Millis kConnectTimeout{ 1'000 };
/// Time beyond the longest run that a call may take before its connection is given up.
constexpr Millis kCallMargin{ 1'000 };
/// Time for another entry VM's own refusal to arrive after the deadline.
constexpr Millis kForwardMargin{ 100 };
constexpr Millis kNoRouteRetryAfter{ 1'000 };

/// How an attempt ended, from what came back.
AttemptOutcome OutcomeOf(const HttpCallResult& aResult,
                         TargetKind aKind,
                         std::string_view aAttemptId)
{
  if (aResult.has_error()) {
    return aResult.error().m_notSent ? AttemptOutcome::NotSent : AttemptOutcome::Broken;
  }
  const HttpResponse& response = aResult.value();
  const std::string* outcome = response.Header(kOutcomeHeader);
  if (outcome && *outcome == kNotRun) {
    return AttemptOutcome::RefusedNotRun;
  }
  if (outcome && *outcome == kUnknown) {
    return AttemptOutcome::Broken;
  }
  if (aKind == TargetKind::EntryVm) {
    return AttemptOutcome::Succeeded;
  }
  const std::string* echoed = response.Header(kRequestIdHeader);
  const bool isForeign = echoed && *echoed != aAttemptId;
  if (isForeign) {
    return AttemptOutcome::Broken;
  }
  return response.m_status >= 500 ? AttemptOutcome::MinionFailed : AttemptOutcome::Succeeded;
}

std::string AttemptId(const std::string& aWireId, int aAttempt)
{
  return fmt::format("{}.{}", aWireId, aAttempt);
}

} // namespace

/// One request on its way to one target. Outlives the request when it times out.
struct Router::Attempt
{
  ActivePointer m_active;
  std::shared_ptr<ServiceState> m_service;
  Target m_target;
  std::string m_id;
  int m_number = 0;
  TimePoint m_start;
  TimerHandle m_timeout;
  bool m_isReported = false; ///< The scheduler knows how it ended.
};

Router::Router(asio::io_context& aContext, RouterOptions aOptions, Metrics& aMetrics)
  : m_context(aContext)
  , m_options(std::move(aOptions))
  , m_timers(aContext)
  , m_client(aContext, m_options.m_outboundAddress)
  , m_metrics(std::make_unique<RoutingMetrics>(aMetrics))
  , m_snapshot(std::make_shared<RoutingSnapshot>())
{
  m_expiryTimer = m_timers.Every(kKeyExpiryPeriod, 0, [this] { m_keys.Expire(WallNow()); });
}

Router::~Router() = default;

// --- Snapshots

void Router::Apply(RoutingPointer aSnapshot)
{
  m_snapshot = std::move(aSnapshot);
  if (m_snapshot->m_ownership) {
    m_keys.Apply(m_snapshot->m_ownership);
  }
  UpdateServices();
}

void Router::UpdateServices()
{
  if (!m_snapshot->m_configuration) {
    return;
  }
  const auto& configured = m_snapshot->m_configuration->Source().m_services;
  for (const auto& [name, config] : configured) {
    UpdateService(config);
  }
  std::erase_if(m_services, [&](const auto& aEntry) { return !configured.contains(aEntry.first); });
}

void Router::UpdateService(const ServiceConfig& aConfig)
{
  const TimePoint now = MonotonicNow();
  std::shared_ptr<ServiceState>& service = m_services[aConfig.m_name];
  if (!service) {
    service = std::make_shared<ServiceState>(aConfig.m_name, aConfig);
  }
  service->m_maxRun = aConfig.m_maxRun;
  service->m_scheduler.Configure(now, aConfig);
  std::erase_if(service->m_minions, [&](const auto& aEntry) {
    return service->m_scheduler.SlotsInUse(now, aEntry.first) == 0;
  });
  for (auto& [vm, minion] : service->m_minions) {
    minion.m_slots = 0;
  }
  std::vector<MinionShare> shares;
  const auto minions = m_snapshot->m_minions.find(aConfig.m_name);
  if (minions != m_snapshot->m_minions.end()) {
    for (const MinionEndpoint& minion : minions->second) {
      service->m_minions[minion.m_vm] = minion;
      shares.push_back({ minion.m_vm, minion.m_slots, minion.m_connections });
    }
  }
  service->m_scheduler.SetMinions(now, shares);
  const auto rooms = m_snapshot->m_rooms.find(aConfig.m_name);
  service->m_scheduler.SetPeers(
    now, rooms == m_snapshot->m_rooms.end() ? std::vector<PeerRoom>() : rooms->second);
  Pump(service);
}

// --- Arrival

Router::ActivePointer Router::MakeActive(HttpRequest aRequest, HttpResponder aResponder)
{
  const RequestId id = ++m_lastId;
  auto active = std::make_shared<ActiveRequest>(id, std::move(aRequest), std::move(aResponder));
  active->m_wireId = fmt::format("{}-{:x}-{}", m_options.m_node, m_options.m_runId, id);
  m_active.emplace(id, active);
  return active;
}

bool Router::Classify(ActiveRequest& aActive)
{
  const CompiledPointer& configuration = m_snapshot->m_configuration;
  const HttpRequest& request = aActive.m_request;
  const RequestRoute route =
    configuration ? configuration->FindRoute(request.m_method, request.m_path) : RequestRoute{};
  const ActivePointer active = m_active.at(aActive.m_id);
  if (!configuration) {
    Answer(active, NotRunAnswer(aActive.m_wireId, "no-configuration", kNoRouteRetryAfter), kNotRun);
    return false;
  }
  if (!route.m_service) {
    Answer(active, RejectedAnswer(404, aActive.m_wireId, "no-such-service"), kNotRun);
    return false;
  }
  if (!route.m_queue) {
    Answer(active, RejectedAnswer(405, aActive.m_wireId, "no-queue-takes-this-request"), kNotRun);
    return false;
  }
  const QueueConfig& queue = *route.m_queue;
  aActive.m_service = m_services.at(route.m_service->m_name);
  aActive.m_queue = queue.m_name;
  aActive.m_queueIndex = static_cast<std::size_t>(&queue - route.m_service->m_queues.data());
  aActive.m_urgency = queue.m_urgency;
  aActive.m_idempotent = queue.m_idempotent;
  aActive.m_deadline = aActive.m_arrival + queue.m_deadline;
  return true;
}

bool Router::ReadKey(ActiveRequest& aActive)
{
  const std::string* text = aActive.m_request.Header(kIdempotencyKeyHeader);
  if (!text || aActive.m_idempotent) {
    return true;
  }
  Result<IdempotencyKey> key = ParseIdempotencyKey(*text);
  if (key.has_error()) {
    Answer(m_active.at(aActive.m_id),
           RejectedAnswer(400, aActive.m_wireId, key.error().m_message),
           kNotRun);
    return false;
  }
  aActive.m_key = key.value();
  return true;
}

void Router::HandleCaller(HttpRequest aRequest, HttpResponder aResponder)
{
  const ActivePointer active = MakeActive(std::move(aRequest), std::move(aResponder));
  if (Classify(*active) && ReadKey(*active)) {
    Route(active);
  }
}

void Router::HandleForward(HttpRequest aRequest, HttpResponder aResponder)
{
  const ActivePointer active = MakeActive(std::move(aRequest), std::move(aResponder));
  const std::string* header = active->m_request.Header(kForwardHeader);
  const Result<ForwardEnvelope> envelope = ParseForwardEnvelope(header ? *header : "");
  if (envelope.has_error()) {
    Answer(active, RejectedAnswer(400, active->m_wireId, envelope.error().m_message), kNotRun);
    return;
  }
  active->m_wireId = envelope.value().m_requestId;
  if (!Classify(*active) || !ReadKey(*active)) {
    return;
  }
  active->m_hops = envelope.value().m_hops;
  active->m_deadline = active->m_arrival + envelope.value().m_timeLeft;
  const bool isForOwner = envelope.value().m_kind == ForwardKind::Owner && active->m_key;
  if (isForOwner) {
    ClaimKey(active, envelope.value().m_epoch);
  } else {
    Schedule(active);
  }
}

void Router::Route(const ActivePointer& aActive)
{
  if (aActive->m_key) {
    RouteByKey(aActive);
  } else {
    Schedule(aActive);
  }
}

// --- Idempotency keys

void Router::RouteByKey(const ActivePointer& aActive)
{
  const std::shared_ptr<const KeyOwnership>& ownership = m_snapshot->m_ownership;
  const std::size_t partition = PartitionOfHash(aActive->m_key->Hash());
  const KeyPartitionRecord record =
    ownership ? ownership->m_partitions[partition].m_record : KeyPartitionRecord{};
  const bool isOwner = record.m_owner == m_snapshot->m_self;
  if (isOwner) {
    ClaimKey(aActive, std::nullopt);
  } else {
    ForwardToOwner(aActive, record);
  }
}

void Router::ClaimKey(const ActivePointer& aActive, std::optional<std::uint64_t> aEpoch)
{
  const KeyClaim claim = m_keys.Claim(
    WallNow(), *aActive->m_key, RequestFingerprint(aActive->m_request), aActive->m_id, aEpoch);
  m_metrics->CountKeyDecision(ToName(claim.m_decision));
  Log(LogCategory::Routing,
      LogLevel::Info,
      "claim-key",
      "request",
      aActive->m_wireId,
      "key",
      aActive->m_key->Text(),
      "decision",
      ToName(claim.m_decision),
      "why",
      ToName(claim.m_reason));
  const std::string_view reason = ToName(claim.m_reason);
  switch (claim.m_decision) {
    case KeyDecision::Run:
      aActive->m_holdsKey = true;
      Schedule(aActive);
      return;
    case KeyDecision::Join:
      Join(aActive);
      return;
    case KeyDecision::Answer:
      Answer(aActive, *claim.m_answer, "answered");
      return;
    case KeyDecision::Unknown:
      Answer(aActive, UnknownAnswer(aActive->m_wireId, reason, true), kUnknown);
      return;
    case KeyDecision::NotRun:
      Answer(aActive, NotRunAnswer(aActive->m_wireId, reason, kNoRouteRetryAfter), kNotRun);
      return;
    case KeyDecision::Mismatch:
      Answer(aActive, RejectedAnswer(422, aActive->m_wireId, "key-of-another-request"), kNotRun);
      return;
  }
}

void Router::Join(const ActivePointer& aActive)
{
  const Micros left = aActive->m_deadline - MonotonicNow();
  aActive->m_joinTimer = m_timers.After(std::max(left, Micros(0)), [this, aActive] {
    m_keys.Leave(*aActive->m_key, aActive->m_id);
    Answer(aActive, UnknownAnswer(aActive->m_wireId, "still-running", true), kUnknown);
  });
}

void Router::ForwardToOwner(const ActivePointer& aActive, const KeyPartitionRecord& aRecord)
{
  const auto peer = m_snapshot->m_peers.find(aRecord.m_owner.m_node);
  const bool isReachable =
    peer != m_snapshot->m_peers.end() && peer->second.m_node == aRecord.m_owner;
  Log(LogCategory::Routing,
      LogLevel::Info,
      "forward-to-owner",
      "request",
      aActive->m_wireId,
      "key",
      aActive->m_key->Text(),
      "owner",
      aRecord.m_owner.m_node,
      "reachable",
      isReachable);
  if (!isReachable) {
    Answer(aActive, UnknownAnswer(aActive->m_wireId, "key-owner-unreachable", true), kUnknown);
    return;
  }
  const Millis left = CeilMillis(aActive->m_deadline - MonotonicNow());
  ForwardEnvelope envelope{ ForwardKind::Owner, aActive->m_wireId, m_options.m_node, left, {},
                            aRecord.m_epoch };
  HttpCall call;
  call.m_step = "forward to key owner";
  call.m_method = aActive->m_request.m_method;
  call.m_url = peer->second.m_forwardUrl + aActive->m_request.m_path;
  call.m_url += aActive->m_request.m_query.empty() ? "" : "?" + aActive->m_request.m_query;
  call.m_headers = EndToEndHeaders(aActive->m_request.m_headers);
  call.m_headers.push_back({ std::string(kForwardHeader), FormatForwardEnvelope(envelope) });
  call.m_body = aActive->m_request.m_body;
  call.m_freshConnection = true;
  call.m_connectTimeout = kConnectTimeout;
  call.m_timeout = left + kForwardMargin;
  m_client.Start(std::move(call), [this, aActive](HttpCallResult aResult) {
    OnOwnerAnswer(aActive, std::move(aResult));
  });
}

void Router::OnOwnerAnswer(const ActivePointer& aActive, HttpCallResult aResult)
{
  if (aResult.has_error()) {
    const std::string reason = "key-owner: " + aResult.error().m_error.m_message;
    Answer(aActive, UnknownAnswer(aActive->m_wireId, reason, aResult.error().m_notSent), kUnknown);
    return;
  }
  const std::string* outcome = aResult.value().Header(kOutcomeHeader);
  const std::string counted = outcome ? *outcome : "answered";
  HttpResponse answer = std::move(aResult.value());
  answer.m_headers = RelayedHeaders(answer.m_headers);
  Answer(aActive, std::move(answer), counted);
}

// --- Scheduling

void Router::Schedule(const ActivePointer& aActive)
{
  const RequestInfo info{ aActive->m_id,
                          aActive->m_queueIndex,
                          aActive->m_deadline,
                          aActive->m_idempotent,
                          aActive->m_hops };
  const std::shared_ptr<ServiceState> service = aActive->m_service;
  if (const auto refusal = service->m_scheduler.Offer(MonotonicNow(), info)) {
    Refuse(aActive, *refusal);
    return;
  }
  Pump(service);
}

void Router::Pump(const std::shared_ptr<ServiceState>& aService)
{
  if (aService->m_isPumping) {
    aService->m_pumpAgain = true;
    return;
  }
  aService->m_isPumping = true;
  do {
    aService->m_pumpAgain = false;
    while (const auto assignment = aService->m_scheduler.Next(MonotonicNow())) {
      StartAttempt(aService, *assignment);
    }
    for (const Expired& expired : aService->m_scheduler.Expire(MonotonicNow())) {
      const ActivePointer active = m_active.at(expired.m_request);
      Refuse(active, expired.m_refusal);
    }
  } while (aService->m_pumpAgain);
  aService->m_isPumping = false;
  const TimePoint now = MonotonicNow();
  if (const auto wake = aService->m_scheduler.NextWake(now)) {
    const std::weak_ptr<ServiceState> weak = aService;
    aService->m_wake = m_timers.After(std::max(*wake - now, Micros(100)), [this, weak] {
      if (const auto service = weak.lock()) {
        Pump(service);
      }
    });
  } else {
    aService->m_wake.Cancel();
  }
}

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
  HttpCall call;
  call.m_step = "send request";
  call.m_method = aActive.m_request.m_method;
  call.m_url = aBaseUrl + aActive.m_request.m_path;
  call.m_url += aActive.m_request.m_query.empty() ? "" : "?" + aActive.m_request.m_query;
  call.m_headers = EndToEndHeaders(aActive.m_request.m_headers);
  call.m_body = aActive.m_request.m_body;
  call.m_freshConnection = !aActive.m_idempotent;
  call.m_connectTimeout = kConnectTimeout;
  const Millis left = CeilMillis(aAssignment.m_timeout);
  if (aAssignment.m_target.m_kind == TargetKind::EntryVm) {
    const ForwardEnvelope envelope{ ForwardKind::Room,  aActive.m_wireId,
                                    m_options.m_node,   left,
                                    aAssignment.m_hops, 0 };
    call.m_headers.push_back({ std::string(kForwardHeader), FormatForwardEnvelope(envelope) });
    call.m_timeout = left + kForwardMargin;
  } else {
    call.m_headers.push_back(
      { std::string(kRequestIdHeader), AttemptId(aActive.m_wireId, aAssignment.m_attempt) });
    call.m_headers.push_back({ std::string(kTimeoutHeader), std::to_string(left.count()) });
    call.m_timeout = std::max(left, aActive.m_service->m_maxRun) + kCallMargin;
  }
  return call;
}

void Router::StartAttempt(const std::shared_ptr<ServiceState>& aService,
                          const Assignment& aAssignment)
{
  const ActivePointer active = m_active.at(aAssignment.m_request);
  active->m_attempt = aAssignment.m_attempt;
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
      "why",
      ToName(aAssignment.m_reason),
      "attempt",
      aAssignment.m_attempt);
  auto attempt = std::make_shared<Attempt>();
  attempt->m_active = active;
  attempt->m_service = aService;
  attempt->m_target = aAssignment.m_target;
  attempt->m_number = aAssignment.m_attempt;
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
      aAttempt->m_service->m_scheduler.SlotFreed(MonotonicNow(), aAttempt->m_target.m_id);
      Pump(aAttempt->m_service);
    }
    return;
  }
  const AttemptOutcome outcome = OutcomeOf(aResult, aAttempt->m_target.m_kind, aAttempt->m_id);
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
  active->m_attempt = 0;
  m_metrics->CountAttempt(aAttempt->m_service->m_name, aOutcome);
  const AttemptVerdict verdict = aAttempt->m_service->m_scheduler.OnFinished(
    now, active->m_id, aOutcome, now - aAttempt->m_start);
  switch (verdict.m_step) {
    case NextStep::PassOn:
      PassOn(active, std::move(aResponse), aAttempt->m_target.m_kind == TargetKind::Minion);
      break;
    case NextStep::Retry:
      break;
    case NextStep::Refuse:
      Refuse(active, verdict.m_refusal);
      break;
    case NextStep::Unknown:
      EndUnknown(active, ToName(aOutcome));
      break;
  }
  Pump(aAttempt->m_service);
}

// --- Ends

void Router::PassOn(const ActivePointer& aActive, HttpResponse aResponse, bool aFromMinion)
{
  aResponse.m_headers =
    aFromMinion ? EndToEndHeaders(aResponse.m_headers) : RelayedHeaders(aResponse.m_headers);
  if (aFromMinion) {
    aResponse.m_headers.push_back({ std::string(kRequestIdHeader), aActive->m_wireId });
  }
  if (aActive->m_holdsKey) {
    const auto kept = std::make_shared<const HttpResponse>(aResponse);
    AnswerWaiters(m_keys.OnAnswer(WallNow(), *aActive->m_key, kept), *kept);
  }
  Answer(aActive, std::move(aResponse), "answered");
}

void Router::Refuse(const ActivePointer& aActive, const Refusal& aRefusal)
{
  const std::string_view reason = ToName(aRefusal.m_reason);
  if (aRefusal.m_mayHaveRun) {
    EndUnknown(aActive, reason);
    return;
  }
  HttpResponse answer = NotRunAnswer(aActive->m_wireId, reason, aRefusal.m_retryAfter);
  if (aActive->m_holdsKey) {
    AnswerWaiters(m_keys.OnNotRun(*aActive->m_key), answer);
  }
  Answer(aActive, std::move(answer), kNotRun);
}

void Router::EndUnknown(const ActivePointer& aActive, std::string_view aReason)
{
  HttpResponse answer = UnknownAnswer(aActive->m_wireId, aReason, false);
  if (aActive->m_holdsKey) {
    AnswerWaiters(m_keys.OnUnknown(*aActive->m_key), answer);
  }
  Answer(aActive, std::move(answer), kUnknown);
}

void Router::AnswerWaiters(const std::vector<KeyWaiter>& aWaiters, const HttpResponse& aAnswer)
{
  const std::string* outcome = aAnswer.Header(kOutcomeHeader);
  for (const KeyWaiter waiter : aWaiters) {
    const auto found = m_active.find(waiter);
    if (found != m_active.end()) {
      const ActivePointer active = found->second;
      Answer(active, aAnswer, outcome ? *outcome : "answered");
    }
  }
}

void Router::Answer(const ActivePointer& aActive, HttpResponse aResponse, std::string_view aOutcome)
{
  const Micros time = MonotonicNow() - aActive->m_arrival;
  const std::string service = aActive->m_service ? aActive->m_service->m_name : "none";
  m_metrics->CountAnswer(service, aActive->m_queue, aOutcome, time);
  Log(LogCategory::Routing,
      LogLevel::Info,
      "answer",
      "request",
      aActive->m_wireId,
      "service",
      service,
      "queue",
      aActive->m_queue,
      "urgency",
      ToName(aActive->m_urgency),
      "outcome",
      aOutcome,
      "status",
      aResponse.m_status,
      "time_us",
      time.count());
  aActive->m_joinTimer.Cancel();
  aActive->m_responder.Send(std::move(aResponse));
  m_active.erase(aActive->m_id);
}

// --- Reports

TrafficReport Router::Report()
{
  const TimePoint now = MonotonicNow();
  TrafficReport report;
  report.m_applied = m_snapshot;
  report.m_withinShares = true;
  report.m_active = m_active.size();
  report.m_stoppedPartitions = m_keys.TakeStopped();
  for (const auto& [name, service] : m_services) {
    const ServiceLoad load = service->m_scheduler.Load(now);
    report.m_loads[name] = load;
    m_metrics->SetLoad(name, load);
    for (const auto& [vm, minion] : service->m_minions) {
      const int running = service->m_scheduler.SlotsInUse(now, vm);
      report.m_runningByVm[vm] += running;
      report.m_withinShares = report.m_withinShares && running <= minion.m_slots;
    }
  }
  m_metrics->SetActive(m_active.size());
  return report;
}

} // namespace mustardtray
