#pragma once

/// Stand-in of the platform: transactional table, object store, VM list, actions on VMs, workers
/// and tasks, over HTTP with JSON, with faults that can be switched on. docs/STANDINS.md has the
/// wire format.

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

/// Errors: Invalid with every fault of the document.
Result<PlatformStandinSettings> ParsePlatformStandinSettings(std::string_view aText);

/// Body of the requests that change a task.
struct TaskChange
{
  Millis m_lease{ 10'000 }; ///< For renew.
  double m_share = 1;       ///< For throttle: part of its cores that the task keeps.
};

/// Counts by operation since the start.
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
    std::int64_t m_second = -1; ///< The last second in which it was called ...
    std::uint64_t m_inSecond = 0;
    std::uint64_t m_peak = 0; ///< ... and the most calls in any second.
  };

  TimePoint m_startedAt = MonotonicNow();
  std::uint64_t m_rowsWritten = 0;
  std::map<std::string, Operation, std::less<>> m_operations;
};

/// All members run on the io_context's thread.
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
  bool OnStandinRequest(const Exchange& aExchange);
  void OnFaults(const Exchange& aExchange);
  void OnTimes(const Exchange& aExchange);
  void OnAddVm(const Exchange& aExchange);
  void OnVmControl(const Exchange& aExchange, const std::string& aVm, std::string_view aVerb);
  void OnVmState(const Exchange& aExchange, const StandinVm& aVm);
  void Serve(const Exchange& aExchange);
  void ServeOther(const Exchange& aExchange);
  void Transact(const Exchange& aExchange);
  void Read(const Exchange& aExchange);
  void Scan(const Exchange& aExchange);
  void ListWorkers(const Exchange& aExchange);
  void RunAction(const Exchange& aExchange, const std::string& aVm);
  void ServeObject(const Exchange& aExchange, const std::string& aName);
  void StartTask(const Exchange& aExchange);
  void ChangeTask(const Exchange& aExchange, const std::string& aPath);
  Result<Task> ApplyChange(const std::string& aTaskId,
                           std::string_view aVerb,
                           const TaskChange& aChange);
  std::uint64_t ReadRevision();
  Json Stats() const;

  TimerService m_timers;
  PlatformFaults m_faults;
  AnswerLoss m_answerLoss;
  LaggingRevision m_lag;
  PlatformTable m_table;
  VmFleet m_fleet;
  VmActionRunner m_actions;
  TaskTable m_tasks;
  std::map<std::string, std::string> m_objects;
  OperationCounts m_counts;
  std::map<std::string, std::uint64_t> m_callsByPeer;
  std::uint64_t m_lostAnswers = 0;
  std::uint64_t m_closedCalls = 0; ///< By an outage or a cut.
  std::map<std::uint64_t, TimerHandle> m_delayed;
  std::uint64_t m_lastDelayed = 0;
  StandinServer m_server;
};

} // namespace mustardtray
