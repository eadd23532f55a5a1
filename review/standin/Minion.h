#pragma once

/// Stand-in for one machine and the minion that lives on it. It behaves like a sound minion unless
/// a case tells it to refuse orders or to crash.

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/TimerService.h"
#include "review/standin/Record.h"
#include "review/standin/RunLedger.h"
#include "standin/StandinServer.h"

namespace mustardtray::review {

struct MinionOptions
{
  std::string m_machine;
  std::string m_id;
  std::string m_pool;
  std::string m_rack = "r1";
  std::int64_t m_cpu = 64'000;
  std::int64_t m_memoryMb = 262'144;
};

class Minion
{
public:
  Minion(asio::io_context& aContext,
         TimerService& aTimers,
         Record& aRecord,
         RunLedger& aLedger,
         MinionOptions aOptions);

  const MinionOptions& Options() const { return m_options; }
  bool IsUp() const { return m_isUp; }
  std::size_t RunningCount() const { return m_runs.size(); }
  std::size_t PeakConnections() const { return m_server.Traffic().m_peakConnections; }
  /// Its registration, as it stands in the store.
  std::string Registration();
  Json ListEntry() const;

  /// An unhealthy minion refuses starts with this status; 0 carries them out.
  void RefuseStarts(int aStatus) { m_refusalStatus = aStatus; }
  /// Called when a start order arrives. If it returns true, the order is not carried out.
  void OnStartOrder(std::function<bool(const std::string& aUnit)> aCallback)
  {
    m_onStartOrder = std::move(aCallback);
  }
  /// Ends the minion at once. It is back under its id after that time.
  void Crash(Millis aDownTime);

private:
  struct Run
  {
    std::uint32_t m_number = 0;
    std::int64_t m_cpu = 0;
    std::int64_t m_memoryMb = 0;
    TimePoint m_endsAt{};
    TimePoint m_stopAt{};
    bool m_willFail = false;
    bool m_savesProgress = false;
    std::string m_saved;
    RunRecord* m_record = nullptr;
  };
  struct RunEnd
  {
    std::uint64_t m_number = 0;
    std::string m_unit;
    std::uint32_t m_run = 0;
    std::string m_how;
    std::string m_saved;
    RunRecord* m_record = nullptr;
  };
  struct WaitingHold
  {
    std::shared_ptr<StandinExchange> m_exchange;
    TimerHandle m_timeout;
  };

  void BeginLife();
  void Handle(const std::shared_ptr<StandinExchange>& aExchange);
  HttpResponse StartRun(const Json& aBody);
  HttpResponse StopRun(const Json& aBody);
  void Hold(const std::shared_ptr<StandinExchange>& aExchange, const Json& aBody);
  HttpResponse Report() const;
  void AnswerWaitingHolds();
  void Tick();
  void EndRun(const std::string& aUnit, const std::string& aHow);
  void ExtendLease(std::int64_t aUntilMs);
  std::int64_t ClockMs() const;
  std::string LifeName() const;

  TimerService& m_timers;
  Record& m_record;
  RunLedger& m_ledger;
  MinionOptions m_options;
  StandinServer m_server;
  bool m_isUp = false;
  int m_refusalStatus = 0;
  std::function<bool(const std::string&)> m_onStartOrder;
  std::int64_t m_bornMs = 0;
  TimePoint m_bornAt{};
  std::uint64_t m_sequence = 0;
  std::uint64_t m_fencingToken = 0;
  std::int64_t m_leaseUntilMs = 0;
  std::map<std::string, Run> m_runs;
  std::map<std::string, std::uint32_t> m_highestEnded;
  std::deque<RunEnd> m_ends;
  std::uint64_t m_endCount = 0;
  std::list<WaitingHold> m_waitingHolds;
  TimerHandle m_tickTimer;
  TimerHandle m_returnTimer;
};

} // namespace mustardtray::review
