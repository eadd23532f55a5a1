#pragma once

/// Simulates one minion: a service process on a target VM with a fixed number of slots. Faults can
/// be injected, and counters record how its clients treated it.

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
#include "standin/RunCounter.h"
#include "standin/StandinServer.h"

namespace mustardtray {

enum class MinionFaultKind
{
  None,
  Slow,              ///< Runs take longer than requested.
  Fail,              ///< Every run fails immediately with an error status.
  Freeze,            ///< No run starts or ends and no response is sent until the fault is cleared.
  TruncatedResponse, ///< Runs the request, sends half of the response and closes the connection.
  CloseAfterRead,    ///< Starts the run and closes the connection without a response.
  CrashDuringResponse, ///< Runs the request, sends half of the response and is killed.
  Refuse,              ///< Refuses every request with the outcome "not-run".
  MismatchedResponse,  ///< Runs the request and sends the response to another request.
};

template<>
struct EnumNames<MinionFaultKind>
{
  static constexpr std::array kTable{
    std::pair{ MinionFaultKind::None, std::string_view("none") },
    std::pair{ MinionFaultKind::Slow, std::string_view("slow") },
    std::pair{ MinionFaultKind::Fail, std::string_view("fail") },
    std::pair{ MinionFaultKind::Freeze, std::string_view("freeze") },
    std::pair{ MinionFaultKind::TruncatedResponse, std::string_view("short-answer") },
    std::pair{ MinionFaultKind::CloseAfterRead, std::string_view("close-after-read") },
    std::pair{ MinionFaultKind::CrashDuringResponse, std::string_view("die-mid-answer") },
    std::pair{ MinionFaultKind::Refuse, std::string_view("refuse") },
    std::pair{ MinionFaultKind::MismatchedResponse, std::string_view("foreign-answer") },
  };
};

struct MinionFault
{
  MinionFaultKind m_kind = MinionFaultKind::None;
  Millis m_extraRunTime{ 1'000 }; ///< Added to each run by Slow.
  int m_status = 500;             ///< Response status of Fail.
  /// The fault ends after this many requests; without a value it stays.
  std::optional<int> m_requests;
};

struct MinionSettings
{
  std::string m_vm;
  std::string m_service;
  std::string m_pool; ///< The minion starts only for this pool; empty starts it for every pool.
  std::string m_address = "127.0.0.1";
  std::uint16_t m_port = 0;
  int m_slots = 8;
  int m_maxConnections = 64;
  Millis m_runTime{ 10 }; ///< Used for requests that name no run time.
  /// Requests that arrive later than this after leaving began count as late.
  Millis m_leavingGrace{ 3'000 };
  bool m_isInitiallyRunning = true; ///< Whether the minion runs when the process starts.
};

MinionSettings ReadMinionSettings(JsonReader& aReader);
MinionFault ReadMinionFault(JsonReader& aReader);

/// Counters of one minion since the stand-in process started.
struct MinionCounts
{
  std::uint64_t m_requests = 0;
  std::uint64_t m_runs = 0;
  std::uint64_t m_refused = 0; ///< Requests not run because of a fault or a graceful stop.
  int m_peakOccupancy = 0;     ///< Maximum of running and waiting requests.
  std::size_t m_peakConnections = 0;
  std::uint64_t m_slotViolations = 0; ///< Requests that arrived without a free slot.
  std::uint64_t m_lateArrivals = 0;   ///< Requests that arrived after the leaving grace period.
  std::uint64_t m_stops = 0;
  std::uint64_t m_stopsWithWork = 0; ///< Graceful stops while requests were running or waiting.
  std::uint64_t m_kills = 0;
  std::uint64_t m_killedRuns = 0; ///< Runs aborted by a kill.
};

class Minion
{
public:
  Minion(asio::io_context& aContext, MinionSettings aSettings, RunCounter& aRunCounter);
  ~Minion();
  Minion(const Minion&) = delete;
  Minion& operator=(const Minion&) = delete;

  const MinionSettings& Settings() const { return m_settings; }
  const MinionCounts& Counts();
  std::uint16_t Port() const { return m_server.Port(); }
  bool IsRunning() const { return m_server.IsListening() && !m_isStopping; }
  const MinionFault& Fault() const { return m_fault; }
  void SetFault(const MinionFault& aFault);
  /// Starts or clears the leaving state. Requests that arrive after the grace period count as late.
  void SetLeaving(bool aLeaving);

  /// Errors: Unavailable when the address cannot be bound, Conflict during a graceful stop.
  Result<void> Start();
  /// Stops accepting connections, waits for all requests to end, closes the connections and then
  /// calls aDone.
  void Stop(std::function<void()> aDone);
  /// Stops immediately: resets all connections and aborts all runs.
  void Kill();

private:
  struct Run;
  using Exchange = std::shared_ptr<StandinExchange>;

  void ReceiveRequest(const Exchange& aExchange);
  void RunOrRefuse(const Exchange& aExchange);
  void StartOrQueue(const Exchange& aExchange);
  void StartRun(const Exchange& aExchange);
  void ScheduleEnd(std::shared_ptr<Run> aRun);
  void EndRun(const std::shared_ptr<Run>& aRun);
  void SendOutcome(const Run& aRun);
  void RefuseRequest(const Exchange& aExchange, std::string_view aReason);
  HttpResponse MakeEchoResponse(const HttpRequest& aRequest) const;
  Millis RunTimeOf(const HttpRequest& aRequest) const;
  MinionFaultKind ConsumeFault();
  void FinishStopIfIdle();
  void Unfreeze();

  asio::io_context& m_context;
  MinionSettings m_settings;
  RunCounter& m_runCounter;
  MinionCounts m_counts;
  MinionFault m_fault;
  /// Incremented by each kill; runs of earlier incarnations are aborted.
  std::uint64_t m_incarnation = 0;
  int m_runningCount = 0;
  std::deque<Exchange> m_waitingRequests;
  std::vector<Exchange> m_frozenRequests;
  std::vector<std::shared_ptr<Run>> m_frozenRunEnds;
  std::optional<HttpResponse> m_lastResponse; ///< Sent by MismatchedResponse.
  std::optional<TimePoint> m_leavingSince;
  bool m_isStopping = false;
  std::vector<std::function<void()>> m_stopCallbacks;
  /// Expires with the minion, so that posted callbacks do not use it afterwards.
  std::shared_ptr<char> m_lifetimeToken = std::make_shared<char>();
  StandinServer m_server;
};

} // namespace mustardtray
