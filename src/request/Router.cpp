#include "mustardtray/request/Router.h"

#include <algorithm>

#include <fmt/format.h>

#include "mustardtray/process/Log.h"
#include "request/ActiveRequest.h"
#include "request/ForwardEnvelope.h"
#include "request/HeaderFilter.h"
#include "request/LocalResponses.h"
#include "request/RoutingMetrics.h"

namespace mustardtray {

namespace {

constexpr Millis kKeyExpiryPeriod{ 1'000 };
constexpr Millis kNoRouteRetryAfter{ 1'000 };

} // namespace

Router::Router(asio::io_context& aContext, RouterOptions aOptions, Metrics& aMetrics)
  : m_options(std::move(aOptions))
  , m_timers(aContext)
  , m_client(aContext, m_options.m_outboundAddress)
  , m_metrics(std::make_unique<RoutingMetrics>(aMetrics))
  , m_snapshot(std::make_shared<RoutingSnapshot>())
{
  m_expiryTimer = m_timers.Every(kKeyExpiryPeriod, 0, [this] { m_keys.Expire(WallNow()); });
}

Router::~Router() = default;

// --- Snapshots

void Router::Apply(RoutingSnapshotPointer aSnapshot)
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
  const auto capacities = m_snapshot->m_peerCapacities.find(aConfig.m_name);
  service->m_scheduler.SetPeers(now,
                                capacities == m_snapshot->m_peerCapacities.end()
                                  ? std::vector<PeerCapacity>()
                                  : capacities->second);
  Dispatch(service);
}

// --- Arrival

Router::ActivePointer Router::RegisterRequest(HttpRequest aRequest, HttpResponder aResponder)
{
  const RequestId id = ++m_lastId;
  auto active = std::make_shared<ActiveRequest>(id, std::move(aRequest), std::move(aResponder));
  active->m_wireId = fmt::format("{}-{:x}-{}", m_options.m_node, m_options.m_runId, id);
  m_activeRequests.emplace(id, active);
  return active;
}

bool Router::Classify(const ActivePointer& aActive)
{
  const CompiledConfigurationPointer& configuration = m_snapshot->m_configuration;
  const HttpRequest& request = aActive->m_request;
  const RequestRoute route =
    configuration ? configuration->FindRoute(request.m_method, request.m_path) : RequestRoute{};
  if (!configuration) {
    Respond(aActive,
            NotRunResponse(aActive->m_wireId, "no-configuration", kNoRouteRetryAfter),
            kOutcomeNotRun);
    return false;
  }
  if (!route.m_service) {
    Respond(aActive, RejectedResponse(404, aActive->m_wireId, "no-such-service"), kOutcomeNotRun);
    return false;
  }
  if (!route.m_queue) {
    Respond(aActive,
            RejectedResponse(405, aActive->m_wireId, "no-queue-takes-this-request"),
            kOutcomeNotRun);
    return false;
  }
  const QueueConfig& queue = *route.m_queue;
  aActive->m_service = m_services.at(route.m_service->m_name);
  aActive->m_queue = queue.m_name;
  aActive->m_queueIndex = static_cast<std::size_t>(&queue - route.m_service->m_queues.data());
  aActive->m_urgency = queue.m_urgency;
  aActive->m_idempotent = queue.m_idempotent;
  aActive->m_deadline = aActive->m_arrival + queue.m_deadline;
  return true;
}

bool Router::ReadKey(const ActivePointer& aActive)
{
  const std::string* text = aActive->m_request.Header(kIdempotencyKeyHeader);
  if (!text || aActive->m_idempotent) {
    return true;
  }
  Result<IdempotencyKey> key = ParseIdempotencyKey(*text);
  if (key.has_error()) {
    Respond(
      aActive, RejectedResponse(400, aActive->m_wireId, key.error().m_message), kOutcomeNotRun);
    return false;
  }
  aActive->m_key = key.value();
  return true;
}

void Router::HandleCaller(HttpRequest aRequest, HttpResponder aResponder)
{
  const ActivePointer active = RegisterRequest(std::move(aRequest), std::move(aResponder));
  if (Classify(active) && ReadKey(active)) {
    Route(active);
  }
}

void Router::HandleForward(HttpRequest aRequest, HttpResponder aResponder)
{
  const ActivePointer active = RegisterRequest(std::move(aRequest), std::move(aResponder));
  const std::string* header = active->m_request.Header(kForwardHeader);
  const Result<ForwardEnvelope> envelope = ParseForwardEnvelope(header ? *header : "");
  if (envelope.has_error()) {
    Respond(
      active, RejectedResponse(400, active->m_wireId, envelope.error().m_message), kOutcomeNotRun);
    return;
  }
  active->m_wireId = envelope.value().m_requestId;
  if (!Classify(active) || !ReadKey(active)) {
    return;
  }
  active->m_hops = envelope.value().m_hops;
  active->m_deadline = active->m_arrival + envelope.value().m_timeLeft;
  const bool isForKeyOwner = envelope.value().m_kind == ForwardKind::Owner && active->m_key;
  if (isForKeyOwner) {
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

// --- Scheduling

void Router::Schedule(const ActivePointer& aActive)
{
  const RequestInfo info{ aActive->m_id,
                          aActive->m_queueIndex,
                          aActive->m_deadline,
                          aActive->m_idempotent,
                          aActive->m_hops };
  const std::shared_ptr<ServiceState> service = aActive->m_service;
  const bool hasNoHops = !aActive->m_hops.m_withinZone && !aActive->m_hops.m_acrossZones;
  service->m_arrivals += hasNoHops ? 1 : 0;
  if (const auto refusal = service->m_scheduler.Offer(MonotonicNow(), info)) {
    RespondRefused(aActive, *refusal);
    return;
  }
  Dispatch(service);
}

void Router::Dispatch(const std::shared_ptr<ServiceState>& aService)
{
  if (aService->m_isDispatching) {
    aService->m_dispatchAgain = true;
    return;
  }
  aService->m_isDispatching = true;
  do {
    aService->m_dispatchAgain = false;
    while (const auto assignment = aService->m_scheduler.Next(MonotonicNow())) {
      StartAttempt(aService, *assignment);
    }
    for (const ExpiredRequest& expired : aService->m_scheduler.Expire(MonotonicNow())) {
      const ActivePointer active = m_activeRequests.at(expired.m_request);
      RespondRefused(active, expired.m_refusal);
    }
  } while (aService->m_dispatchAgain);
  aService->m_isDispatching = false;
  const TimePoint now = MonotonicNow();
  if (const auto wake = aService->m_scheduler.NextWake(now)) {
    const std::weak_ptr<ServiceState> weak = aService;
    aService->m_wakeTimer = m_timers.After(std::max(*wake - now, Micros(100)), [this, weak] {
      if (const auto service = weak.lock()) {
        Dispatch(service);
      }
    });
  } else {
    aService->m_wakeTimer.Cancel();
  }
}

// --- Completion

void Router::RelayResponse(const ActivePointer& aActive, HttpResponse aResponse, bool aFromMinion)
{
  aResponse.m_headers =
    aFromMinion ? EndToEndHeaders(aResponse.m_headers) : RelayedHeaders(aResponse.m_headers);
  if (aFromMinion) {
    aResponse.m_headers.push_back({ std::string(kRequestIdHeader), aActive->m_wireId });
  }
  if (aActive->m_holdsKey) {
    const auto kept = std::make_shared<const HttpResponse>(aResponse);
    RespondToWaiters(m_keys.OnResponse(WallNow(), *aActive->m_key, kept), *kept);
  }
  Respond(aActive, std::move(aResponse), "answered");
}

void Router::RespondRefused(const ActivePointer& aActive, const Refusal& aRefusal)
{
  const std::string_view reason = ToName(aRefusal.m_reason);
  if (aRefusal.m_mayHaveRun) {
    RespondUnknown(aActive, reason);
    return;
  }
  HttpResponse response = NotRunResponse(aActive->m_wireId, reason, aRefusal.m_retryAfter);
  if (aActive->m_holdsKey) {
    RespondToWaiters(m_keys.OnNotRun(*aActive->m_key), response);
  }
  Respond(aActive, std::move(response), kOutcomeNotRun);
}

void Router::RespondUnknown(const ActivePointer& aActive, std::string_view aReason)
{
  HttpResponse response = UnknownResponse(aActive->m_wireId, aReason, false);
  if (aActive->m_holdsKey) {
    RespondToWaiters(m_keys.OnUnknown(*aActive->m_key), response);
  }
  Respond(aActive, std::move(response), kOutcomeUnknown);
}

void Router::RespondToWaiters(const std::vector<KeyWaiter>& aWaiters,
                              const HttpResponse& aSharedResponse)
{
  const std::string* outcome = aSharedResponse.Header(kOutcomeHeader);
  for (const KeyWaiter waiter : aWaiters) {
    const auto found = m_activeRequests.find(waiter);
    if (found != m_activeRequests.end()) {
      const ActivePointer active = found->second;
      Respond(active, aSharedResponse, outcome ? *outcome : "answered");
    }
  }
}

void Router::Respond(const ActivePointer& aActive,
                     HttpResponse aResponse,
                     std::string_view aOutcome)
{
  const Micros time = MonotonicNow() - aActive->m_arrival;
  const std::string service = aActive->m_service ? aActive->m_service->m_name : "none";
  m_metrics->CountResponse(service, aActive->m_queue, aOutcome, time);
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
  m_activeRequests.erase(aActive->m_id);
}

// --- Reports

TrafficReport Router::Report()
{
  const TimePoint now = MonotonicNow();
  TrafficReport report;
  report.m_appliedSnapshot = m_snapshot;
  report.m_isWithinShares = true;
  report.m_activeRequestCount = m_activeRequests.size();
  report.m_stoppedPartitions = m_keys.TakeStoppedPartitions();
  for (const auto& [name, service] : m_services) {
    const ServiceLoad load = service->m_scheduler.Load(now);
    report.m_loads[name] = load;
    report.m_arrivals[name] = service->m_arrivals;
    m_metrics->SetLoad(name, load);
    for (const auto& [vm, minion] : service->m_minions) {
      const int running = service->m_scheduler.SlotsInUse(now, vm);
      report.m_slotsInUseByVm[vm] += running;
      report.m_isWithinShares = report.m_isWithinShares && running <= minion.m_slots;
    }
  }
  m_metrics->SetActive(m_activeRequests.size());
  return report;
}

} // namespace mustardtray
