#pragma once

/// Stands in front of the store's stand-in and adds what it lacks: the limit of a row's size, the
/// usual time of an answer, and outages.

#include <list>
#include <random>
#include <string>

#include "mustardtray/connection/HttpClient.h"
#include "mustardtray/process/TimerService.h"
#include "review/standin/Record.h"
#include "standin/StandinServer.h"

namespace mustardtray::review {

class StoreGate
{
public:
  StoreGate(asio::io_context& aContext,
            TimerService& aTimers,
            HttpClient& aHttp,
            Record& aRecord,
            std::uint16_t aStorePort,
            std::size_t aMaxRowBytes);

  std::uint16_t Port() const { return m_server.Port(); }
  /// While the store is down, calls get status 503 and nothing is done.
  void SetDown(bool aIsDown) { m_isDown = aIsDown; }
  /// Each answer takes a random time in this range; zero restores the usual time.
  void SetAnswerTime(Micros aMin, Micros aMax)
  {
    m_minAnswerTime = aMin;
    m_maxAnswerTime = aMax;
  }
  std::size_t RefusedRows() const { return m_refusedRows; }

private:
  void Handle(const std::shared_ptr<StandinExchange>& aExchange);
  bool HasRowBeyondLimit(const std::string& aBody);
  void Forward(const std::shared_ptr<StandinExchange>& aExchange);

  TimerService& m_timers;
  HttpClient& m_http;
  Record& m_record;
  std::uint16_t m_storePort;
  std::size_t m_maxRowBytes;
  bool m_isDown = false;
  Micros m_minAnswerTime{ 0 };
  Micros m_maxAnswerTime{ 0 };
  std::mt19937_64 m_random{ 1 };
  std::size_t m_refusedRows = 0;
  std::list<TimerHandle> m_delays;
  StandinServer m_server;
};

} // namespace mustardtray::review
