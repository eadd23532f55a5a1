#pragma once

/// Routes requests from callers and from other entry VMs to minions: it finds the service and queue
/// of a request, claims its idempotency key, asks the service's scheduler for a target, sends the
/// request and returns the response. Used on the traffic thread only.

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
  std::uint64_t m_runId = 0;     ///< Unique to each run of the node's daemon.
  std::string m_outboundAddress; ///< Source IP address of connections. Empty: chosen by the system.
};

class Router
{
public:
  Router(asio::io_context& aContext, RouterOptions aOptions, Metrics& aMetrics);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Applies a snapshot, which is used for all later decisions.
  void Apply(RoutingSnapshotPointer aSnapshot);
  /// Handles a request from a caller.
  void HandleCaller(HttpRequest aRequest, HttpResponder aResponder);
  /// Handles a request forwarded by another entry VM.
  void HandleForward(HttpRequest aRequest, HttpResponder aResponder);

  /// Collects the report for the control thread and updates the load metrics.
  TrafficReport Report();

private:
  using ActivePointer = std::shared_ptr<ActiveRequest>;
  struct Attempt;

  ActivePointer RegisterRequest(HttpRequest aRequest, HttpResponder aResponder);
  /// Finds the service and queue of the request. If there are none, responds with an error and
  /// returns false.
  bool Classify(const ActivePointer& aActive);
  /// Reads the idempotency key. If it is malformed, responds with an error and returns false.
  bool ReadKey(const ActivePointer& aActive);
  void Route(const ActivePointer& aActive);

  void RouteByKey(const ActivePointer& aActive);
  void ClaimKey(const ActivePointer& aActive, std::optional<std::uint64_t> aEpoch);
  void JoinRunningKey(const ActivePointer& aActive);
  void ForwardToOwner(const ActivePointer& aActive, const KeyPartitionRecord& aRecord);
  void OnOwnerResponse(const ActivePointer& aActive, HttpCallResult aResult);

  void Schedule(const ActivePointer& aActive);
  void Dispatch(const std::shared_ptr<ServiceState>& aService);
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

  /// Each of the next three functions completes a request: it reports the outcome to the key table,
  /// if the request runs a key, and responds.
  void RelayResponse(const ActivePointer& aActive, HttpResponse aResponse, bool aFromMinion);
  void RespondRefused(const ActivePointer& aActive, const Refusal& aRefusal);
  void RespondUnknown(const ActivePointer& aActive, std::string_view aReason);
  void RespondToWaiters(const std::vector<KeyWaiter>& aWaiters,
                        const HttpResponse& aSharedResponse);
  void Respond(const ActivePointer& aActive, HttpResponse aResponse, std::string_view aOutcome);

  void UpdateServices();
  void UpdateService(const ServiceConfig& aConfig);

  RouterOptions m_options;
  TimerService m_timers;
  HttpClient m_client;
  std::unique_ptr<RoutingMetrics> m_metrics;
  RoutingSnapshotPointer m_snapshot;
  KeyTable m_keys;
  TimerHandle m_expiryTimer;
  std::map<std::string, std::shared_ptr<ServiceState>> m_services;
  std::unordered_map<RequestId, ActivePointer> m_activeRequests;
  RequestId m_lastId = 0;
};

} // namespace mustardtray
