#pragma once

/// Carries requests from callers and from other entry VMs to minions: classifies each, settles its
/// idempotency key, asks the scheduler of its service for a target, sends it and answers. Lives on
/// the traffic thread.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "mustardtray/connection/HttpClient.h"
#include "mustardtray/connection/HttpServer.h"
#include "mustardtray/process/Metrics.h"
#include "mustardtray/process/TimerService.h"
#include "mustardtray/request/KeyTable.h"
#include "mustardtray/request/RoutingSnapshot.h"
#include "mustardtray/request/Scheduler.h"

namespace mustardtray {

struct ActiveRequest;
struct ServiceState;
class RoutingMetrics;

struct RouterOptions
{
  std::string m_node;
  std::uint64_t m_runId = 0;     ///< Differs between runs of a node's daemon.
  std::string m_outboundAddress; ///< IP number that connections come from; may be empty.
};

class Router
{
public:
  Router(asio::io_context& aContext, RouterOptions aOptions, Metrics& aMetrics);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Takes over a snapshot for all decisions from now on.
  void Apply(RoutingPointer aSnapshot);
  /// A request from a caller.
  void HandleCaller(HttpRequest aRequest, HttpResponder aResponder);
  /// A request that another entry VM forwards.
  void HandleForward(HttpRequest aRequest, HttpResponder aResponder);

  /// State for the control thread.
  TrafficReport Report();

private:
  using ActivePointer = std::shared_ptr<ActiveRequest>;
  struct Attempt;

  ActivePointer MakeActive(HttpRequest aRequest, HttpResponder aResponder);
  /// Finds service and queue; answers and returns false when there are none.
  bool Classify(const ActivePointer& aActive);
  /// Reads the idempotency key; answers and returns false when it is malformed.
  bool ReadKey(const ActivePointer& aActive);
  void Route(const ActivePointer& aActive);

  void RouteByKey(const ActivePointer& aActive);
  void ClaimKey(const ActivePointer& aActive, std::optional<std::uint64_t> aEpoch);
  void Join(const ActivePointer& aActive);
  void ForwardToOwner(const ActivePointer& aActive, const KeyPartitionRecord& aRecord);
  void OnOwnerAnswer(const ActivePointer& aActive, HttpCallResult aResult);

  void Schedule(const ActivePointer& aActive);
  void Pump(const std::shared_ptr<ServiceState>& aService);
  void StartAttempt(const std::shared_ptr<ServiceState>& aService, const Assignment& aAssignment);
  HttpCall MakeCall(const ActiveRequest& aActive,
                    const Assignment& aAssignment,
                    const std::string& aBaseUrl) const;
  void OnAttemptTimeout(const std::shared_ptr<Attempt>& aAttempt);
  void OnAttemptEnd(const std::shared_ptr<Attempt>& aAttempt, HttpCallResult aResult);
  void FinishAttempt(const std::shared_ptr<Attempt>& aAttempt,
                     AttemptOutcome aOutcome,
                     HttpResponse aResponse);
  std::string BaseUrl(const ServiceState& aService, const Target& aTarget) const;

  /// Ends of a request. Each settles its idempotency key, if it holds one, and answers.
  void PassOn(const ActivePointer& aActive, HttpResponse aResponse, bool aFromMinion);
  void Refuse(const ActivePointer& aActive, const Refusal& aRefusal);
  void EndUnknown(const ActivePointer& aActive, std::string_view aReason);
  void AnswerWaiters(const std::vector<KeyWaiter>& aWaiters, const HttpResponse& aAnswer);
  void Answer(const ActivePointer& aActive, HttpResponse aResponse, std::string_view aOutcome);

  void UpdateServices();
  void UpdateService(const ServiceConfig& aConfig);

  RouterOptions m_options;
  TimerService m_timers;
  HttpClient m_client;
  std::unique_ptr<RoutingMetrics> m_metrics;
  RoutingPointer m_snapshot;
  KeyTable m_keys;
  TimerHandle m_expiryTimer;
  std::map<std::string, std::shared_ptr<ServiceState>> m_services;
  std::unordered_map<RequestId, ActivePointer> m_active;
  RequestId m_lastId = 0;
};

} // namespace mustardtray
