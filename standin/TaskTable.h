#pragma once

/// Tasks on the workers of the platform's stand-in: leases, lagging usage, checkpoints, throttling.

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
  Stopped, ///< By request.
  Lapsed,  ///< Its lease ended; the worker stopped it.
};

template<>
struct EnumNames<TaskState>
{
  static constexpr std::array kTable{
    std::pair{ TaskState::Running, std::string_view("running") },
    std::pair{ TaskState::Finished, std::string_view("finished") },
    std::pair{ TaskState::Failed, std::string_view("failed") },
    std::pair{ TaskState::Stopped, std::string_view("stopped") },
    std::pair{ TaskState::Lapsed, std::string_view("lapsed") },
  };
};

struct TaskStart
{
  std::string m_taskId;
  std::string m_worker;
  Millis m_lease{ 10'000 };
  double m_cores = 0;          ///< What the task really uses.
  std::int64_t m_memoryMb = 0; ///< What the task really uses.
  Millis m_run{ 3'600'000 };   ///< Ends by itself after this time.
};

/// Errors: Invalid with every fault.
Result<TaskStart> ParseTaskStart(std::string_view aText);

struct Task
{
  TaskStart m_start;
  TaskState m_state = TaskState::Running;
  TimePoint m_startedAt;
  TimePoint m_endsAt; ///< By itself, or when it ended.
  TimePoint m_leaseUntil;
  bool m_checkpointed = false;
  double m_share = 1; ///< Of its cores, when throttled.
};

Json ToJson(const Task& aTask);

/// Pure: the time comes with each call and must not go back.
class TaskTable
{
public:
  /// The same task on the same worker again returns its state. Errors: Conflict while the task
  /// runs on another worker.
  Result<Task> Start(const TaskStart& aStart, bool aFails, TimePoint aNow);
  // Errors of those below: NotFound for an unknown task, Conflict when it does not run any more.
  Result<Task> Renew(std::string_view aTaskId, Millis aLease, TimePoint aNow);
  Result<Task> Stop(std::string_view aTaskId, TimePoint aNow);
  Result<Task> Checkpoint(std::string_view aTaskId, TimePoint aNow);
  Result<Task> Throttle(std::string_view aTaskId, double aShare, TimePoint aNow);
  /// Ends what runs on a worker that is gone.
  void LoseWorker(std::string_view aWorker, TimePoint aNow);

  std::vector<Task> List(TimePoint aNow);
  /// Tasks that ran on a worker as of aNow - aLag.
  std::vector<Task> RunningOn(std::string_view aWorker, TimePoint aNow, Millis aLag);
  std::uint64_t ConflictingStarts() const { return m_conflictingStarts; }

private:
  void EndWhatIsDue(TimePoint aNow);
  Result<Task> Change(std::string_view aTaskId,
                      TimePoint aNow,
                      const std::function<void(Task&)>& aChange);

  std::map<std::string, Task, std::less<>> m_tasks;
  std::uint64_t m_conflictingStarts = 0;
};

} // namespace mustardtray
