#pragma once

/// One simulated minion: a service process on a target VM with a fixed number of slots, which can
/// be made to fail in known ways and keeps account of what its callers did to it.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <asio/io_context.hpp>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/Time.h"
#include "standin/StandinServer.h"
#include "standin/WorkLedger.h"

namespace mustardtray {

enum class FaultKind
{
  None,
  Slow,           ///< Runs take longer.
  Fail,           ///< Every run fails at once with an error status.
  Freeze,         ///< Nothing is begun, ended or answered until the fault is lifted.
  ShortAnswer,    ///< Runs, then sends half of the answer and closes.
  CloseAfterRead, ///< Begins the run and closes without an answer.
  DieMidAnswer,   ///< Runs, sends half of the answer and is killed.
  Refuse,         ///< Refuses every request without running it, and says so.
  ForeignAnswer,  ///< Runs, then sends the answer that belongs to another request.
};

template<>
struct EnumNames<FaultKind>
{
  static constexpr std::array kTable{
    std::pair{ FaultKind::None, std::string_view("none") },
    std::pair{ FaultKind::Slow, std::string_view("slow") },
    std::pair{ FaultKind::Fail, std::string_view("fail") },
    std::pair{ FaultKind::Freeze, std::string_view("freeze") },
    std::pair{ FaultKind::ShortAnswer, std::string_view("short-answer") },
    std::pair{ FaultKind::CloseAfterRead, std::string_view("close-after-read") },
    std::pair{ FaultKind::DieMidAnswer, std::string_view("die-mid-answer") },
    std::pair{ FaultKind::Refuse, std::string_view("refuse") },
    std::pair{ FaultKind::ForeignAnswer, std::string_view("foreign-answer") },
  };
};

struct MinionFault
{
  FaultKind m_kind = FaultKind::None;
  Millis m_extraRun{ 1'000 };    ///< For Slow.
  int m_status = 500;            ///< For Fail.
  std::optional<int> m_requests; ///< Ends after so many requests; lasts when there is none.
};

struct MinionSettings
{
  std::string m_vm;
  std::string m_service;
  std::string m_pool; ///< Starts only with this pool; empty starts with every pool.
  std::string m_address = "127.0.0.1";
  std::uint16_t m_port = 0;
  int m_slots = 8;
  int m_connections = 64;
  Millis m_run{ 10 };             ///< Length of a run whose request does not say.
  Millis m_leavingGrace{ 3'000 }; ///< Requests after this time of leaving are late.
  bool m_running = true;          ///< Runs from the start.
};

MinionSettings ReadMinionSettings(JsonReader& aReader);
MinionFault ReadMinionFault(JsonReader& aReader);

/// What happened at one minion since its process started.
struct MinionCounts
{
  std::uint64_t m_requests = 0;
  std::uint64_t m_runs = 0;
  std::uint64_t m_refused = 0; ///< Not run, by fault or while stopping.
  int m_peakOccupancy = 0;     ///< Most requests running and waiting at once.
  std::size_t m_peakConnections = 0;
  std::uint64_t m_slotViolations = 0; ///< Requests that found no free slot.
  std::uint64_t m_lateArrivals = 0;   ///< Requests that came long after the minion was leaving.
  std::uint64_t m_stops = 0;
  std::uint64_t m_stopsWithWork = 0; ///< Graceful stops with requests running or waiting.
  std::uint64_t m_kills = 0;
  std::uint64_t m_killedRuns = 0; ///< Runs that a kill cut off.
};

class Minion
{
public:
  Minion(asio::io_context& aContext, MinionSettings aSettings, WorkLedger& aLedger);
  ~Minion();
  Minion(const Minion&) = delete;
  Minion& operator=(const Minion&) = delete;

  const MinionSettings& Settings() const { return m_settings; }
  const MinionCounts& Counts();
  std::uint16_t Port() const { return m_server.Port(); }
  bool IsRunning() const { return m_server.IsListening() && !m_stopping; }
  const MinionFault& Fault() const { return m_fault; }
  void SetFault(const MinionFault& aFault);
  /// From when on new requests are late; nothing once the minion is leaving no more.
  void SetLeaving(bool aLeaving);

  /// Errors: Unavailable when the address cannot be bound, Conflict during a stop.
  Result<void> Start();
  /// Stops accepting, lets the requests end, closes the connections, then calls back.
  void Stop(std::function<void()> aDone);
  /// Ends at once: connections are reset, runs are lost.
  void Kill();

private:
  struct Run;
  using Exchange = std::shared_ptr<StandinExchange>;

  void Arrive(const Exchange& aExchange);
  void Dispatch(const Exchange& aExchange);
  void Admit(const Exchange& aExchange);
  void Begin(const Exchange& aExchange);
  void Schedule(std::shared_ptr<Run> aRun);
  void End(const std::shared_ptr<Run>& aRun);
  void Conclude(const Run& aRun);
  void Refuse(const Exchange& aExchange, std::string_view aReason);
  HttpResponse AnswerTo(const HttpRequest& aRequest) const;
  Millis RunTime(const HttpRequest& aRequest) const;
  FaultKind NextFault();
  void EndStopWhenIdle();
  void Thaw();

  asio::io_context& m_context;
  MinionSettings m_settings;
  WorkLedger& m_ledger;
  MinionCounts m_counts;
  MinionFault m_fault;
  std::uint64_t m_incarnation = 0; ///< Grows with each kill; runs of earlier ones are lost.
  int m_running = 0;
  std::deque<Exchange> m_waiting;
  std::vector<Exchange> m_frozenArrivals;
  std::vector<std::shared_ptr<Run>> m_frozenEnds;
  std::optional<HttpResponse> m_lastAnswer; ///< What ForeignAnswer sends.
  std::optional<TimePoint> m_leavingSince;
  bool m_stopping = false;
  std::vector<std::function<void()>> m_stopCallbacks;
  std::shared_ptr<char> m_alive = std::make_shared<char>(); ///< Guards posted callbacks.
  StandinServer m_server;
};

} // namespace mustardtray
