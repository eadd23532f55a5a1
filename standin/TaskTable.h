#pragma once

/// Tasks on the workers of the platform stand-in, with leases, delayed usage reports, checkpoints
/// and throttling.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

enum class TaskState
{
  Running,
  Finished,
  Failed,
  Stopped,      ///< Stopped by request.
  LeaseExpired, ///< Stopped by the worker because the lease expired.
};

template<>
struct EnumNames<TaskState>
{
  static constexpr std::array kTable{
    std::pair{ TaskState::Running, std::string_view("running") },
    std::pair{ TaskState::Finished, std::string_view("finished") },
    std::pair{ TaskState::Failed, std::string_view("failed") },
    std::pair{ TaskState::Stopped, std::string_view("stopped") },
    std::pair{ TaskState::LeaseExpired, std::string_view("lapsed") },
  };
};

struct TaskStart
{
  std::string m_taskId;
  std::string m_worker;
  Millis m_lease{ 10'000 };
  double m_cores = 0;            ///< Actual usage of the task.
  std::int64_t m_memoryMb = 0;   ///< Actual usage of the task.
  Millis m_runTime{ 3'600'000 }; ///< The task finishes after this time.
};

/// Errors: Invalid; the message lists every error of the document.
Result<TaskStart> ParseTaskStart(std::string_view aText);

struct Task
{
  TaskStart m_start;
  TaskState m_state = TaskState::Running;
  TimePoint m_startedAt;
  TimePoint m_endsAt; ///< Planned end while the task runs, then the actual end.
  TimePoint m_leaseExpiresAt;
  bool m_isCheckpointed = false;
  /// Share of its cores that the task may use, from 0 to 1; below 1 when throttled.
  double m_cpuShare = 1;
};

Json ToJson(const Task& aTask);

/// Reads no clock: callers pass the current time, which must not decrease between calls.
class TaskTable
{
public:
  /// Starts a task; with aFailsAtOnce it fails immediately. A repeated start on the same worker
  /// returns the running task. Errors: Conflict while the task runs on another worker.
  Result<Task> Start(const TaskStart& aStart, bool aFailsAtOnce, TimePoint aNow);
  // Errors of the following functions: NotFound for an unknown task, Conflict when it is not
  // running.
  Result<Task> Renew(std::string_view aTaskId, Millis aLease, TimePoint aNow);
  Result<Task> Stop(std::string_view aTaskId, TimePoint aNow);
  Result<Task> Checkpoint(std::string_view aTaskId, TimePoint aNow);
  Result<Task> Throttle(std::string_view aTaskId, double aCpuShare, TimePoint aNow);
  /// Fails all running tasks of a worker that is gone.
  void FailTasksOn(std::string_view aWorker, TimePoint aNow);

  std::vector<Task> List(TimePoint aNow);
  /// Tasks that were running on a worker at aNow - aLag.
  std::vector<Task> RunningOn(std::string_view aWorker, TimePoint aNow, Millis aLag);
  std::uint64_t ConflictingStarts() const { return m_conflictingStarts; }

private:
  void EndDueTasks(TimePoint aNow);
  Result<Task> ChangeRunningTask(std::string_view aTaskId,
                                 TimePoint aNow,
                                 const std::function<void(Task&)>& aChange);

  std::map<std::string, Task, std::less<>> m_tasks;
  std::uint64_t m_conflictingStarts = 0;
};

} // namespace mustardtray
