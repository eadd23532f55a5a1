#include "standin/TaskTable.h"

#include "standin/StandinJson.h"

namespace mustardtray {

namespace {

constexpr Millis kMaxDuration{ 86'400'000 };

void EndTask(Task& aTask, TaskState aState, TimePoint aNow)
{
  aTask.m_state = aState;
  aTask.m_endsAt = aNow;
}

} // namespace

Result<TaskStart> ParseTaskStart(std::string_view aText)
{
  return ParseDocument<TaskStart>("task", aText, [](JsonReader& aReader) {
    TaskStart start;
    start.m_taskId = aReader.RequiredString("task_id");
    start.m_worker = aReader.RequiredString("worker");
    start.m_lease = aReader.Duration("lease_ms", start.m_lease, Millis(1), kMaxDuration);
    start.m_cores = aReader.Number("cores", 0, 0, 1e6);
    start.m_memoryMb = aReader.Integer("memory_mb", 0, 0, INT64_MAX);
    start.m_runTime = aReader.Duration("run_ms", start.m_runTime, Millis(0), kMaxDuration);
    return start;
  });
}

Json ToJson(const Task& aTask)
{
  return { { "task_id", aTask.m_start.m_taskId },
           { "worker", aTask.m_start.m_worker },
           { "state", ToName(aTask.m_state) },
           { "cores", aTask.m_start.m_cores * aTask.m_cpuShare },
           { "memory_mb", aTask.m_start.m_memoryMb },
           { "checkpointed", aTask.m_isCheckpointed },
           { "share", aTask.m_cpuShare } };
}

Result<Task> TaskTable::Start(const TaskStart& aStart, bool aFailsAtOnce, TimePoint aNow)
{
  EndDueTasks(aNow);
  const auto known = m_tasks.find(aStart.m_taskId);
  if (known != m_tasks.end() && known->second.m_state == TaskState::Running) {
    if (known->second.m_start.m_worker == aStart.m_worker) {
      return known->second;
    }
    ++m_conflictingStarts;
    return Error{
      ErrorKind::Conflict, "start task", "", "runs on " + known->second.m_start.m_worker
    };
  }
  Task task;
  task.m_start = aStart;
  task.m_startedAt = aNow;
  task.m_endsAt = aNow + aStart.m_runTime;
  task.m_leaseExpiresAt = aNow + aStart.m_lease;
  task.m_isCheckpointed = known != m_tasks.end() && known->second.m_isCheckpointed;
  if (aFailsAtOnce) {
    EndTask(task, TaskState::Failed, aNow);
  }
  m_tasks[aStart.m_taskId] = task;
  return task;
}

void TaskTable::EndDueTasks(TimePoint aNow)
{
  for (auto& [id, task] : m_tasks) {
    if (task.m_state != TaskState::Running) {
      continue;
    }
    if (task.m_endsAt <= std::min(aNow, task.m_leaseExpiresAt)) {
      task.m_state = TaskState::Finished;
    } else if (task.m_leaseExpiresAt <= aNow) {
      EndTask(task, TaskState::LeaseExpired, task.m_leaseExpiresAt);
    }
  }
}

Result<Task> TaskTable::ChangeRunningTask(std::string_view aTaskId,
                                          TimePoint aNow,
                                          const std::function<void(Task&)>& aChange)
{
  EndDueTasks(aNow);
  const auto found = m_tasks.find(aTaskId);
  if (found == m_tasks.end()) {
    return Error{ ErrorKind::NotFound, "change task", "", "no task " + std::string(aTaskId) };
  }
  Task& task = found->second;
  if (task.m_state != TaskState::Running) {
    return Error{
      ErrorKind::Conflict, "change task", "", "is " + std::string(ToName(task.m_state))
    };
  }
  aChange(task);
  return task;
}

Result<Task> TaskTable::Renew(std::string_view aTaskId, Millis aLease, TimePoint aNow)
{
  return ChangeRunningTask(
    aTaskId, aNow, [&](Task& aTask) { aTask.m_leaseExpiresAt = aNow + aLease; });
}

Result<Task> TaskTable::Stop(std::string_view aTaskId, TimePoint aNow)
{
  return ChangeRunningTask(
    aTaskId, aNow, [&](Task& aTask) { EndTask(aTask, TaskState::Stopped, aNow); });
}

Result<Task> TaskTable::Checkpoint(std::string_view aTaskId, TimePoint aNow)
{
  return ChangeRunningTask(aTaskId, aNow, [](Task& aTask) { aTask.m_isCheckpointed = true; });
}

Result<Task> TaskTable::Throttle(std::string_view aTaskId, double aCpuShare, TimePoint aNow)
{
  return ChangeRunningTask(aTaskId, aNow, [&](Task& aTask) { aTask.m_cpuShare = aCpuShare; });
}

void TaskTable::FailTasksOn(std::string_view aWorker, TimePoint aNow)
{
  EndDueTasks(aNow);
  for (auto& [id, task] : m_tasks) {
    if (task.m_state == TaskState::Running && task.m_start.m_worker == aWorker) {
      EndTask(task, TaskState::Failed, aNow);
    }
  }
}

std::vector<Task> TaskTable::List(TimePoint aNow)
{
  EndDueTasks(aNow);
  std::vector<Task> tasks;
  for (const auto& [id, task] : m_tasks) {
    tasks.push_back(task);
  }
  return tasks;
}

std::vector<Task> TaskTable::RunningOn(std::string_view aWorker, TimePoint aNow, Millis aLag)
{
  EndDueTasks(aNow);
  const TimePoint listTime = aNow - aLag;
  std::vector<Task> tasks;
  for (const auto& [id, task] : m_tasks) {
    const bool wasRunning = task.m_startedAt <= listTime && task.m_endsAt > listTime;
    if (wasRunning && task.m_start.m_worker == aWorker) {
      tasks.push_back(task);
    }
  }
  return tasks;
}

} // namespace mustardtray
