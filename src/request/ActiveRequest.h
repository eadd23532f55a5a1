#pragma once

/// State kept by the Router for each active request and for each service.

#include <memory>
#include <optional>
#include <string>

#include "mustardtray/connection/HttpMessage.h"
#include "mustardtray/connection/HttpServer.h"
#include "mustardtray/process/TimerService.h"
#include "mustardtray/request/IdempotencyKey.h"
#include "mustardtray/request/RoutingSnapshot.h"
#include "mustardtray/request/Scheduler.h"

namespace mustardtray {

/// A service at this entry VM. It exists until its last request has completed, even after its
/// removal from the configuration.
struct ServiceState
{
  ServiceState(std::string aName, const ServiceConfig& aConfig)
    : m_name(std::move(aName))
    , m_maxRun(aConfig.m_maxRun)
    , m_scheduler(aConfig)
  {
  }

  std::string m_name;
  Millis m_maxRun;
  Scheduler m_scheduler;
  std::map<std::string, MinionEndpoint> m_minions; ///< By VM, including VMs that are being removed.
  /// Requests not forwarded by another entry VM for its lack of capacity.
  std::uint64_t m_arrivals = 0;
  TimerHandle m_wakeTimer;
  bool m_isDispatching = false;
  bool m_dispatchAgain = false; ///< Set by a nested call of Router::Dispatch().
};

/// A request without a response so far.
struct ActiveRequest
{
  ActiveRequest(RequestId aId, HttpRequest aRequest, HttpResponder aResponder)
    : m_id(aId)
    , m_request(std::move(aRequest))
    , m_responder(std::move(aResponder))
    , m_arrival(MonotonicNow())
  {
  }

  RequestId m_id;
  std::string m_wireId; ///< Identifies the request in logs, in responses and to minions.
  HttpRequest m_request;
  HttpResponder m_responder;
  TimePoint m_arrival;
  TimePoint m_deadline;
  Hops m_hops;
  std::shared_ptr<ServiceState> m_service;
  std::string m_queue;
  std::size_t m_queueIndex = 0;
  Urgency m_urgency = Urgency::MayWait;
  bool m_idempotent = false;
  std::optional<IdempotencyKey> m_key; ///< Set only for requests that are not idempotent.
  bool m_holdsKey = false;             ///< True if this request runs its key in the key table.
  TimerHandle m_joinTimer;             ///< Limits the wait for another request with the same key.
};

} // namespace mustardtray
