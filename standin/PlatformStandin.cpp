#include "standin/PlatformStandin.h"

#include <algorithm>

#include "process/PlatformCodec.h"
#include "standin/StandinJson.h"

namespace mustardtray {

namespace {

constexpr std::string_view kVmPrefix = "/vms/";
constexpr std::string_view kObjectPrefix = "/objects/";
constexpr std::string_view kTaskPrefix = "/tasks/";
constexpr std::string_view kVmControlPrefix = "/control/vms/";
constexpr Millis kMaxActionTime{ 3'600'000 };

VmActionTimes ReadActionTimes(JsonReader& aReader, const VmActionTimes& aCurrent)
{
  const auto read = [&](std::string_view aKey, Millis aValue) {
    return aReader.Duration(aKey, aValue, Millis(0), kMaxActionTime);
  };
  return { read("stop_ms", aCurrent.m_stopTime),
           read("reboot_ms", aCurrent.m_rebootTime),
           read("start_ms", aCurrent.m_startTime) };
}

TaskChange ReadTaskChange(JsonReader& aReader)
{
  TaskChange change;
  change.m_lease = aReader.Duration("lease_ms", change.m_lease, Millis(1), kMaxActionTime);
  change.m_cpuShare = aReader.Number("share", change.m_cpuShare, 0, 1);
  return change;
}

int StatusOf(const Error& aError)
{
  switch (aError.m_kind) {
    case ErrorKind::NotFound:
      return 404;
    case ErrorKind::Conflict:
      return 409;
    default:
      return 400;
  }
}

void SendFailure(StandinExchange& aExchange, const Error& aError)
{
  SendError(aExchange, StatusOf(aError), aError.m_message);
}

std::int64_t SecondOf(TimePoint aNow)
{
  return std::chrono::duration_cast<std::chrono::seconds>(aNow.time_since_epoch()).count();
}

} // namespace

Result<PlatformStandinSettings> ParsePlatformStandinSettings(std::string_view aText)
{
  return ParseDocument<PlatformStandinSettings>(
    "platform stand-in", aText, [](JsonReader& aReader) {
      PlatformStandinSettings settings;
      settings.m_address = aReader.String("address", settings.m_address);
      settings.m_port = static_cast<std::uint16_t>(aReader.Integer("port", 0, 0, 65'535));
      aReader.Object("times", [&](JsonReader& aTimes) {
        settings.m_times = ReadActionTimes(aTimes, settings.m_times);
      });
      aReader.Object("faults", [&](JsonReader& aFaults) {
        settings.m_faults = ReadFaults(aFaults, settings.m_faults);
      });
      aReader.Each("vms",
                   [&](JsonReader& aItem) { settings.m_vms.push_back(ReadStandinVm(aItem)); });
      return settings;
    });
}

void OperationCounts::Add(std::string_view aOperation, TimePoint aNow)
{
  auto found = m_operations.find(aOperation);
  if (found == m_operations.end()) {
    found = m_operations.emplace(aOperation, Operation{}).first;
  }
  Operation& operation = found->second;
  ++operation.m_count;
  if (operation.m_currentSecond != SecondOf(aNow)) {
    operation.m_currentSecond = SecondOf(aNow);
    operation.m_countInSecond = 0;
  }
  operation.m_peakPerSecond = std::max(operation.m_peakPerSecond, ++operation.m_countInSecond);
}

Json OperationCounts::ToJson(TimePoint aNow) const
{
  const double seconds = std::max(1e-3, std::chrono::duration<double>(aNow - m_startedAt).count());
  Json operations = Json::object();
  for (const auto& [name, operation] : m_operations) {
    operations[name] = { { "count", operation.m_count },
                         { "per_second", static_cast<double>(operation.m_count) / seconds },
                         { "peak_per_second", operation.m_peakPerSecond } };
  }
  return { { "seconds", seconds },
           { "rows_written", m_rowsWritten },
           { "operations", std::move(operations) } };
}

PlatformStandin::PlatformStandin(asio::io_context& aContext, PlatformStandinSettings aSettings)
  : m_timers(aContext)
  , m_fleet(aSettings.m_vms)
  , m_actionRunner(aContext, aSettings.m_times)
  , m_server(aContext, aSettings.m_address, aSettings.m_port, [this](const Exchange& aExchange) {
    OnRequest(aExchange);
  })
{
  SetFaults(aSettings.m_faults);
}

void PlatformStandin::SetFaults(const PlatformFaults& aFaults)
{
  m_faults = aFaults;
  m_responseLoss.Configure(aFaults);
  m_laggingRevision.SetLag(aFaults.m_tableLag, m_table.Revision());
  m_table.KeepHistoryFrom(RevisionForReads());
}

std::uint64_t PlatformStandin::RevisionForReads()
{
  return m_laggingRevision.VisibleRevisionAt(MonotonicNow());
}

void PlatformStandin::OnRequest(const Exchange& aExchange)
{
  if (OnControlRequest(aExchange)) {
    return;
  }
  ++m_callsByPeer[aExchange->PeerAddress()];
  const bool isBlocked = m_faults.m_blockedAddresses.contains(aExchange->PeerAddress());
  if (isBlocked || m_faults.m_outage == Outage::Close) {
    ++m_closedCalls;
    aExchange->Close();
  } else if (m_faults.m_outage == Outage::Unavailable) {
    SendError(*aExchange, 503, "platform is down");
  } else if (m_faults.m_callDelay > Millis(0)) {
    const std::uint64_t id = ++m_lastDelayedId;
    m_delayedCalls[id] = m_timers.After(m_faults.m_callDelay, [this, id, aExchange] {
      const auto handle = m_delayedCalls.extract(id);
      ServePlatformCall(aExchange);
    });
  } else {
    ServePlatformCall(aExchange);
  }
}

bool PlatformStandin::OnControlRequest(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  const bool isGet = request.m_method == "GET";
  const bool isPost = request.m_method == "POST";
  if (request.m_path == "/faults" && isGet) {
    PlatformFaults faults = m_faults;
    faults.m_responsesToLose = m_responseLoss.RemainingCount();
    SendJson(*aExchange, 200, ToJson(faults));
  } else if (request.m_path == "/faults" && isPost) {
    OnFaults(aExchange);
  } else if (request.m_path == "/stats" && isGet) {
    SendJson(*aExchange, 200, Stats());
  } else if (request.m_path == "/control/times" && isPost) {
    OnTimes(aExchange);
  } else if (request.m_path == "/control/vms" && isPost) {
    OnAddVm(aExchange);
  } else if (request.m_path.starts_with(kVmControlPrefix) && isPost) {
    const std::string path = request.m_path.substr(kVmControlPrefix.size());
    const std::size_t slash = std::min(path.find('/'), path.size());
    OnVmControl(aExchange, path.substr(0, slash), std::string_view(path).substr(slash));
  } else {
    return false;
  }
  return true;
}

void PlatformStandin::OnFaults(const Exchange& aExchange)
{
  PlatformFaults current = m_faults;
  current.m_responsesToLose = m_responseLoss.RemainingCount();
  const auto faults = ParseFaults(aExchange->Request().m_body, current);
  if (!faults) {
    SendFailure(*aExchange, faults.error());
    return;
  }
  SetFaults(faults.value());
  SendJson(*aExchange, 200, ToJson(m_faults));
}

void PlatformStandin::OnTimes(const Exchange& aExchange)
{
  const auto times = ParseDocument<VmActionTimes>(
    "action times", aExchange->Request().m_body, [&](JsonReader& aReader) {
      return ReadActionTimes(aReader, m_actionRunner.Times());
    });
  if (!times) {
    SendFailure(*aExchange, times.error());
    return;
  }
  m_actionRunner.SetTimes(times.value());
  SendJson(*aExchange, 200, { { "done", true } });
}

void PlatformStandin::OnAddVm(const Exchange& aExchange)
{
  const auto vm = ParseDocument<StandinVm>("VM", aExchange->Request().m_body, &ReadStandinVm);
  if (!vm) {
    SendFailure(*aExchange, vm.error());
    return;
  }
  m_fleet.Add(vm.value(), MonotonicNow());
  SendJson(*aExchange, 200, { { "done", true } });
}

void PlatformStandin::OnVmControl(const Exchange& aExchange,
                                  const std::string& aVm,
                                  std::string_view aCommand)
{
  const StandinVm* vm = m_fleet.Find(aVm);
  if (!vm) {
    SendError(*aExchange, 404, "no VM " + aVm);
  } else if (aCommand == "/state") {
    OnVmState(aExchange, *vm);
  } else if (aCommand == "/crash") {
    m_fleet.SetState(aVm, VmState::Gone, MonotonicNow());
    m_tasks.FailTasksOn(aVm, MonotonicNow());
    m_actionRunner.NotifyMinions(*vm, "kill", Json::object());
    SendJson(*aExchange, 200, { { "done", true } });
  } else {
    SendError(*aExchange, 404, "allowed: state, crash");
  }
}

void PlatformStandin::OnVmState(const Exchange& aExchange, const StandinVm& aVm)
{
  const auto state =
    ParseDocument<VmState>("VM state", aExchange->Request().m_body, [](JsonReader& aReader) {
      return aReader.RequiredEnum<VmState>("state");
    });
  if (!state) {
    SendFailure(*aExchange, state.error());
    return;
  }
  m_fleet.SetState(aVm.m_listing.m_name, state.value(), MonotonicNow());
  m_actionRunner.NotifyMinions(aVm, "leaving", { { "on", state.value() == VmState::Leaving } });
  SendJson(*aExchange, 200, { { "done", true } });
}

void PlatformStandin::ServePlatformCall(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  const bool isPost = request.m_method == "POST";
  if (isPost && request.m_path == kTransactPath) {
    Transact(aExchange);
  } else if (isPost && request.m_path == kReadPath) {
    Read(aExchange);
  } else if (isPost && request.m_path == kScanPath) {
    Scan(aExchange);
  } else {
    ServeNonTableCall(aExchange);
  }
}

void PlatformStandin::ServeNonTableCall(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  const std::string& path = request.m_path;
  const bool isGet = request.m_method == "GET";
  const bool isPost = request.m_method == "POST";
  const TimePoint now = MonotonicNow();
  if (isGet && path == kVmsPath) {
    m_operationCounts.Add("list_vms", now);
    SendJson(*aExchange, 200, VmsToJson(m_fleet.List(now, m_faults.m_listLag)));
  } else if (isPost && path.starts_with(kVmPrefix) && path.ends_with(kActionsSuffix)) {
    const std::size_t length = path.size() - kVmPrefix.size() - kActionsSuffix.size();
    RunAction(aExchange, path.substr(kVmPrefix.size(), length));
  } else if (isGet && path == "/workers") {
    ListWorkers(aExchange);
  } else if (isPost && path == "/tasks") {
    StartTask(aExchange);
  } else if (isPost && path.starts_with(kTaskPrefix)) {
    ChangeTask(aExchange, path.substr(kTaskPrefix.size()));
  } else if (isGet && path == "/tasks") {
    Json tasks = Json::array();
    for (const Task& task : m_tasks.List(now)) {
      tasks.push_back(ToJson(task));
    }
    SendJson(*aExchange, 200, { { "tasks", std::move(tasks) } });
  } else if (path.starts_with(kObjectPrefix)) {
    ServeObject(aExchange, path.substr(kObjectPrefix.size()));
  } else {
    SendError(*aExchange, 404, "no such path");
  }
}

void PlatformStandin::Transact(const Exchange& aExchange)
{
  const auto transaction = ParseTransaction(aExchange->Request().m_body);
  if (!transaction) {
    SendFailure(*aExchange, transaction.error());
    return;
  }
  const TimePoint now = MonotonicNow();
  m_table.KeepHistoryFrom(RevisionForReads());
  const Commit commit = m_table.Transact(transaction.value());
  m_operationCounts.Add("transact", now);
  if (commit.m_isCommitted) {
    m_laggingRevision.OnCommit(now, commit.m_revision);
    m_operationCounts.AddRows(transaction.value().m_writes.size());
  } else {
    m_operationCounts.Add("conflict", now);
  }
  if (m_responseLoss.ShouldLoseNext()) {
    ++m_lostResponses;
    aExchange->Close();
    return;
  }
  SendJson(*aExchange, 200, ToJson(commit));
}

void PlatformStandin::Read(const Exchange& aExchange)
{
  const auto keys = ParseKeys(aExchange->Request().m_body);
  if (!keys) {
    SendFailure(*aExchange, keys.error());
    return;
  }
  m_operationCounts.Add("read", MonotonicNow());
  SendJson(*aExchange, 200, ToJson(m_table.Read(keys.value(), RevisionForReads())));
}

void PlatformStandin::Scan(const Exchange& aExchange)
{
  const auto scan = ParseScanRequest(aExchange->Request().m_body);
  if (!scan) {
    SendFailure(*aExchange, scan.error());
    return;
  }
  m_operationCounts.Add("scan", MonotonicNow());
  const ScanRequest& request = scan.value();
  SendJson(
    *aExchange, 200, ToJson(m_table.Scan(request.m_prefix, request.m_since, RevisionForReads())));
}

void PlatformStandin::RunAction(const Exchange& aExchange, const std::string& aVm)
{
  const auto request = ParseVmActionRequest(aVm, aExchange->Request().m_body);
  if (!request) {
    SendFailure(*aExchange, request.error());
    return;
  }
  m_operationCounts.Add("action", MonotonicNow());
  const auto begun = m_fleet.BeginAction(request.value());
  if (!begun) {
    SendFailure(*aExchange, begun.error());
    return;
  }
  SendJson(*aExchange, 200, ActionStateToJson(begun.value().m_state));
  if (!begun.value().m_isNew) {
    return;
  }
  const bool isReboot = request.value().m_action == VmAction::Reboot;
  const bool fails = isReboot && m_faults.m_failingReboots.contains(aVm);
  const std::string id = request.value().m_operationId;
  m_actionRunner.Run(*m_fleet.Find(aVm), request.value(), fails, [this, id](ActionState aState) {
    m_fleet.EndAction(id, aState);
  });
}

void PlatformStandin::ListWorkers(const Exchange& aExchange)
{
  const TimePoint now = MonotonicNow();
  m_operationCounts.Add("list_workers", now);
  Json workers = Json::array();
  for (const VmListing& listing : m_fleet.List(now, m_faults.m_listLag)) {
    if (!m_fleet.Find(listing.m_name)->m_isWorker) {
      continue;
    }
    Json worker = ToJson(listing);
    worker["tasks"] = Json::array();
    for (const Task& task : m_tasks.RunningOn(listing.m_name, now, m_faults.m_usageLag)) {
      worker["tasks"].push_back(ToJson(task));
    }
    workers.push_back(std::move(worker));
  }
  SendJson(*aExchange, 200, { { "workers", std::move(workers) } });
}

void PlatformStandin::StartTask(const Exchange& aExchange)
{
  const auto start = ParseTaskStart(aExchange->Request().m_body);
  if (!start) {
    SendFailure(*aExchange, start.error());
    return;
  }
  m_operationCounts.Add("task", MonotonicNow());
  const std::string& worker = start.value().m_worker;
  const StandinVm* vm = m_fleet.Find(worker);
  if (!vm || !vm->m_isWorker || m_fleet.StateOf(worker) == VmState::Gone) {
    SendError(*aExchange, 404, "no worker " + worker);
    return;
  }
  const bool fails = m_faults.m_failingWorkers.contains(worker);
  const auto task = m_tasks.Start(start.value(), fails, MonotonicNow());
  if (task) {
    SendJson(*aExchange, 200, ToJson(task.value()));
  } else {
    SendFailure(*aExchange, task.error());
  }
}

void PlatformStandin::ChangeTask(const Exchange& aExchange, const std::string& aPath)
{
  const std::string& body = aExchange->Request().m_body;
  const auto change =
    ParseDocument<TaskChange>("task change", body.empty() ? "{}" : body, &ReadTaskChange);
  if (!change) {
    SendFailure(*aExchange, change.error());
    return;
  }
  m_operationCounts.Add("task", MonotonicNow());
  const std::size_t slash = std::min(aPath.find('/'), aPath.size());
  const auto task = ApplyChange(aPath.substr(0, slash), aPath.substr(slash), change.value());
  if (task) {
    SendJson(*aExchange, 200, ToJson(task.value()));
  } else {
    SendFailure(*aExchange, task.error());
  }
}

Result<Task> PlatformStandin::ApplyChange(const std::string& aTaskId,
                                          std::string_view aCommand,
                                          const TaskChange& aChange)
{
  const TimePoint now = MonotonicNow();
  if (aCommand == "/renew") {
    return m_tasks.Renew(aTaskId, aChange.m_lease, now);
  }
  if (aCommand == "/stop") {
    return m_tasks.Stop(aTaskId, now);
  }
  if (aCommand == "/checkpoint") {
    return m_tasks.Checkpoint(aTaskId, now);
  }
  if (aCommand == "/throttle") {
    return m_tasks.Throttle(aTaskId, aChange.m_cpuShare, now);
  }
  return Error{
    ErrorKind::NotFound, "change task", "", "allowed: renew, stop, checkpoint, throttle"
  };
}

void PlatformStandin::ServeObject(const Exchange& aExchange, const std::string& aName)
{
  const HttpRequest& request = aExchange->Request();
  if (request.m_method == "PUT") {
    m_operationCounts.Add("put_object", MonotonicNow());
    m_objects[aName] = request.m_body;
    SendJson(*aExchange, 200, { { "done", true } });
    return;
  }
  m_operationCounts.Add("get_object", MonotonicNow());
  const auto found = m_objects.find(aName);
  if (request.m_method != "GET" || found == m_objects.end()) {
    SendError(*aExchange, 404, "no object " + aName);
    return;
  }
  HttpResponse response;
  response.m_headers = { { "Content-Type", "application/octet-stream" } };
  response.m_body = found->second;
  aExchange->SendResponse(response);
}

Json PlatformStandin::Stats() const
{
  const StandinTraffic& traffic = m_server.Traffic();
  const VmFleetCounts& fleet = m_fleet.Counts();
  Json stats = m_operationCounts.ToJson(MonotonicNow());
  stats["revision"] = m_table.Revision();
  stats["bytes_in"] = traffic.m_bytesIn;
  stats["bytes_out"] = traffic.m_bytesOut;
  stats["connections"] = traffic.m_connections;
  stats["calls_by_peer"] = m_callsByPeer;
  stats["lost_answers"] = m_lostResponses;
  stats["closed_calls"] = m_closedCalls;
  stats["actions"] = fleet.m_actions;
  stats["failed_actions"] = fleet.m_failedActions;
  stats["overlapping_actions"] = fleet.m_overlappingActions;
  stats["reboots_of_running"] = fleet.m_rebootsOfRunning;
  stats["conflicting_task_starts"] = m_tasks.ConflictingStarts();
  return stats;
}

} // namespace mustardtray
