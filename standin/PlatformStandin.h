#pragma once

/// Platform stand-in: serves a transactional table, an object store, the VM list, VM actions,
/// workers and tasks as JSON over HTTP, with fault injection. docs/STANDINS.md describes the wire
/// format.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <asio/io_context.hpp>

#include "mustardtray/process/Error.h"
#include "mustardtray/process/TimerService.h"
#include "standin/PlatformFaults.h"
#include "standin/PlatformTable.h"
#include "standin/StandinServer.h"
#include "standin/TaskTable.h"
#include "standin/VmActionRunner.h"
#include "standin/VmFleet.h"

namespace mustardtray {

struct PlatformStandinSettings
{
  std::string m_address = "127.0.0.1";
  std::uint16_t m_port = 0;
  VmActionTimes m_times;
  PlatformFaults m_faults;
  std::vector<StandinVm> m_vms;
};

/// Errors: Invalid; the message lists every error of the document.
Result<PlatformStandinSettings> ParsePlatformStandinSettings(std::string_view aText);

/// Parameters of a request that changes a task.
struct TaskChange
{
  Millis m_lease{ 10'000 }; ///< Lease duration for renew.
  double m_cpuShare = 1;    ///< Share of its cores that the task keeps, for throttle; from 0 to 1.
};

/// Counts calls by operation since the start.
class OperationCounts
{
public:
  void Add(std::string_view aOperation, TimePoint aNow);
  void AddRows(std::size_t aRows) { m_rowsWritten += aRows; }
  Json ToJson(TimePoint aNow) const;

private:
  struct Operation
  {
    std::uint64_t m_count = 0;
    std::int64_t m_currentSecond = -1; ///< Clock second of the most recent call.
    std::uint64_t m_countInSecond = 0; ///< Calls in m_currentSecond.
    std::uint64_t m_peakPerSecond = 0; ///< Maximum number of calls in one second.
  };

  TimePoint m_startedAt = MonotonicNow();
  std::uint64_t m_rowsWritten = 0;
  std::map<std::string, Operation, std::less<>> m_operations;
};

/// Not thread-safe: all members must be called on the io_context's thread.
class PlatformStandin
{
public:
  PlatformStandin(asio::io_context& aContext, PlatformStandinSettings aSettings);

  /// Errors: Unavailable when the address cannot be bound.
  Result<void> Start() { return m_server.Listen(); }
  std::uint16_t Port() const { return m_server.Port(); }
  const PlatformTable& Table() const { return m_table; }
  void SetFaults(const PlatformFaults& aFaults);

private:
  using Exchange = std::shared_ptr<StandinExchange>;

  void OnRequest(const Exchange& aExchange);
  bool OnControlRequest(const Exchange& aExchange);
  void OnFaults(const Exchange& aExchange);
  void OnTimes(const Exchange& aExchange);
  void OnAddVm(const Exchange& aExchange);
  void OnVmControl(const Exchange& aExchange, const std::string& aVm, std::string_view aCommand);
  void OnVmState(const Exchange& aExchange, const StandinVm& aVm);
  void ServePlatformCall(const Exchange& aExchange);
  void ServeNonTableCall(const Exchange& aExchange);
  void Transact(const Exchange& aExchange);
  void Read(const Exchange& aExchange);
  void Scan(const Exchange& aExchange);
  void ListWorkers(const Exchange& aExchange);
  void RunAction(const Exchange& aExchange, const std::string& aVm);
  void ServeObject(const Exchange& aExchange, const std::string& aName);
  void StartTask(const Exchange& aExchange);
  void ChangeTask(const Exchange& aExchange, const std::string& aPath);
  Result<Task> ApplyChange(const std::string& aTaskId,
                           std::string_view aCommand,
                           const TaskChange& aChange);
  std::uint64_t RevisionForReads();
  Json Stats() const;

  TimerService m_timers;
  PlatformFaults m_faults;
  ResponseLoss m_responseLoss;
  LaggingRevision m_laggingRevision;
  PlatformTable m_table;
  VmFleet m_fleet;
  VmActionRunner m_actionRunner;
  TaskTable m_tasks;
  std::map<std::string, std::string> m_objects;
  OperationCounts m_operationCounts;
  std::map<std::string, std::uint64_t> m_callsByPeer;
  std::uint64_t m_lostResponses = 0;
  std::uint64_t m_closedCalls = 0; ///< Closed because of an outage or a blocked address.
  std::map<std::uint64_t, TimerHandle> m_delayedCalls;
  std::uint64_t m_lastDelayedId = 0;
  StandinServer m_server;
};

} // namespace mustardtray
