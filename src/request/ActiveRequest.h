#pragma once

/// State of the Router: one request that is not answered yet, and one service.

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

/// One service at this entry VM. Goes on until its last request has ended, also when the
/// configuration has dropped it.
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
  std::map<std::string, MinionEndpoint> m_minions; ///< By VM, also those that are leaving.
  std::uint64_t m_arrivals = 0; ///< Requests that no other entry VM has forwarded for room.
  TimerHandle m_wake;
  bool m_isPumping = false;
  bool m_pumpAgain = false;
};

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
  std::string m_wireId; ///< Names the request in logs, answers and towards minions.
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
  std::optional<IdempotencyKey> m_key; ///< Only of requests that are not idempotent.
  bool m_holdsKey = false;             ///< This request runs the key in the key table.
  TimerHandle m_joinTimer;             ///< While it waits for another request with the same key.
};

} // namespace mustardtray
