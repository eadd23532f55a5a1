#include "tests/soak/MachineStandin.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "standin/StandinJson.h"

namespace mustardtray::soak {

namespace {

constexpr double kClockRate = 0.98; ///< The lowest rate that a minion's clock may have.
constexpr Millis kTickPeriod{ 10 };
/// A minion's clock starts anywhere in this range.
constexpr std::int64_t kMinClockStartMs = 1'000;
constexpr std::int64_t kMaxClockStartMs = 600'000;
/// The registration of a minion that crashed stays in the store for this time.
constexpr Millis kRegistrationExpiry{ 3'000 };
constexpr Millis kDeadlyUnitDelay{ 100 };
constexpr Millis kDeadlyUnitOutage{ 2'000 };
constexpr Millis kStopDuration{ 60 };
constexpr Millis kLongRunningDuration{ 3'600'000 };
constexpr std::size_t kMaxListedRunEnds = 500;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;

TimePoint Now()
{
  return std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
}

} // namespace

MachineStandin::MachineStandin(asio::io_context& aContext,
                               TimerService& aTimers,
                               RowStoreStandin& aStore,
                               GuaranteeChecker& aChecker,
                               std::uint64_t aSeed)
  : m_context(aContext)
  , m_timers(aTimers)
  , m_store(aStore)
  , m_checker(aChecker)
  , m_random(aSeed)
  , m_cloudApiServer(aContext,
                     "127.0.0.1",
                     0,
                     [this](const std::shared_ptr<StandinExchange>& aExchange) {
                       HandleCloudApiRequest(aExchange);
                     })
{
  static_cast<void>(m_cloudApiServer.Listen());
  m_tickTimer = m_timers.Every(kTickPeriod, 0, [this] { Tick(); });
  m_heartbeatTimer = m_timers.Every(kHeartbeatPeriod, 0, [this] {
    for (const auto& [name, machine] : m_machines) {
      if (machine->m_incarnation) {
        RegisterMinion(*machine);
      }
    }
  });
}

void MachineStandin::AddMachine(const std::string& aName, const std::string& aPool, bool aIsSpare)
{
  auto machine = std::make_unique<Machine>();
  Machine& added = *machine;
  added.m_name = aName;
  added.m_pool = aPool;
  ReplaceServer(added, 0);
  m_machines.emplace(aName, std::move(machine));
  if (aIsSpare) {
    m_sparePool = aPool;
  } else {
    StartIncarnation(added, {});
  }
}

std::vector<std::string> MachineStandin::MachineNames() const
{
  std::vector<std::string> names;
  for (const auto& [name, machine] : m_machines) {
    names.push_back(name);
  }
  return names;
}

// Incarnations.

void MachineStandin::StartIncarnation(Machine& aMachine, const std::string& aId)
{
  aMachine.m_state = "up";
  if (aMachine.m_pool == m_sparePool) {
    return; // Machines of the spare pool are switched off.
  }
  aMachine.m_incarnation = std::make_unique<Incarnation>();
  Incarnation& incarnation = *aMachine.m_incarnation;
  incarnation.m_id =
    aId.empty() ? fmt::format("i-{}-{}", aMachine.m_name, ++m_incarnationCount) : aId;
  const auto timeOfDay = std::chrono::system_clock::now() + aMachine.m_clockStep;
  incarnation.m_startTimeMs =
    std::chrono::duration_cast<Millis>(timeOfDay.time_since_epoch()).count();
  incarnation.m_startedAt = Now();
  incarnation.m_clockStartMs =
    std::uniform_int_distribution<std::int64_t>(kMinClockStartMs, kMaxClockStartMs)(m_random);
  incarnation.m_cpu = aMachine.m_cpu;
  static_cast<void>(aMachine.m_server->Listen());
  // A minion that is back under its ID registers with its next heartbeat.
  if (aId.empty()) {
    RegisterMinion(aMachine);
  }
  for (const auto& exchange : std::exchange(aMachine.m_heldExchanges, {})) {
    HandleMinionRequest(aMachine, exchange);
  }
}

void MachineStandin::EndIncarnation(Machine& aMachine)
{
  if (!aMachine.m_incarnation) {
    return;
  }
  if (aMachine.m_keepsConnections) {
    aMachine.m_keepsConnections = false;
  } else if (IsCut(aMachine)) {
    AbandonConnections(aMachine);
  } else {
    aMachine.m_server->StopListening();
    aMachine.m_server->CloseConnections(true);
  }
  aMachine.m_pendingLeaseReports.clear();
  for (const auto& [name, run] : aMachine.m_incarnation->m_runs) {
    m_checker.OnRunEnded(run.m_unit, job::RunOutcome::LeaseExpired, IncarnationName(aMachine));
  }
  aMachine.m_incarnation.reset();
}

void MachineStandin::LeaveService(Machine& aMachine)
{
  if (aMachine.m_incarnation && m_keepsRegistrations) {
    ExpireRegistrationLater(aMachine.m_incarnation->m_id);
  } else if (aMachine.m_incarnation) {
    m_store.Remove("servers", aMachine.m_incarnation->m_id);
  }
  EndIncarnation(aMachine);
}

void MachineStandin::ExpireRegistration(const std::string& aId)
{
  const bool isUp = std::any_of(m_machines.begin(), m_machines.end(), [&](const auto& aEntry) {
    return aEntry.second->m_incarnation && aEntry.second->m_incarnation->m_id == aId &&
           !IsCut(*aEntry.second);
  });
  if (!isUp) {
    m_store.Remove("servers", aId);
  }
}

void MachineStandin::ExpireRegistrationLater(const std::string& aId)
{
  m_expiryTimers[aId] =
    m_timers.After(kRegistrationExpiry, [this, aId] { ExpireRegistration(aId); });
}

void MachineStandin::RegisterMinion(const Machine& aMachine)
{
  if (IsCut(aMachine)) {
    return;
  }
  const Incarnation& incarnation = *aMachine.m_incarnation;
  const Json entry{ { "service", aMachine.m_pool },
                    { "address", fmt::format("127.0.0.1:{}", aMachine.m_server->Port()) },
                    { "zone", "z1" },
                    { "version", "1" },
                    { "slots", 8 },
                    { "state", "ready" },
                    { "seq", ClockMs(incarnation) - incarnation.m_clockStartMs },
                    { "capacity",
                      { { "cpu", incarnation.m_cpu }, { "mem_mb", 65'536 }, { "gpu", 0 } } },
                    { "labels", { aMachine.m_kind, "rack-1" } },
                    { "machine", aMachine.m_name },
                    { "born", incarnation.m_startTimeMs } };
  m_store.Put("servers", incarnation.m_id, entry.dump());
}

void MachineStandin::ReturnAfter(Machine& aMachine, Millis aDelay, std::string aId)
{
  aMachine.m_returnTimer = m_timers.After(
    aDelay, [this, &aMachine, id = std::move(aId)] { StartIncarnation(aMachine, id); });
}

std::int64_t MachineStandin::UsedCpu(const Incarnation& aIncarnation)
{
  std::int64_t used = 0;
  for (const auto& [unit, run] : aIncarnation.m_runs) {
    used += run.m_cpu;
  }
  return used;
}

std::vector<std::string> MachineStandin::MachinesWithRoom(const std::string& aPool,
                                                          std::int64_t aCpu,
                                                          const std::string& aExcludedStep) const
{
  std::vector<std::string> machines;
  for (const auto& [name, machine] : m_machines) {
    if (machine->m_pool != aPool || !machine->m_incarnation) {
      continue;
    }
    const auto& runs = machine->m_incarnation->m_runs;
    const bool hasUnit = std::any_of(runs.begin(), runs.end(), [&](const auto& aRun) {
      return aRun.first.starts_with(aExcludedStep);
    });
    const std::int64_t free = machine->m_incarnation->m_cpu - UsedCpu(*machine->m_incarnation);
    if (!hasUnit && free >= aCpu) {
      machines.push_back(name);
    }
  }
  return machines;
}

std::int64_t MachineStandin::ClockMs(const Incarnation& aIncarnation)
{
  const auto elapsed = std::chrono::duration_cast<Millis>(Now() - aIncarnation.m_startedAt);
  return aIncarnation.m_clockStartMs +
         static_cast<std::int64_t>(static_cast<double>(elapsed.count()) * kClockRate);
}

std::string MachineStandin::IncarnationName(const Machine& aMachine)
{
  return fmt::format("{}@{}", aMachine.m_incarnation->m_id, aMachine.m_incarnation->m_startTimeMs);
}

// Work units.

void MachineStandin::Tick()
{
  const TimePoint now = Now();
  for (auto& [name, machine] : m_machines) {
    if (!machine->m_incarnation) {
      continue;
    }
    Incarnation& incarnation = *machine->m_incarnation;
    const bool isLeaseExpired = ClockMs(incarnation) > incarnation.m_leaseExpiryMs;
    incarnation.m_hasLeaseExpired =
      incarnation.m_hasLeaseExpired || (isLeaseExpired && !incarnation.m_runEnds.empty());
    std::vector<std::pair<std::string, job::RunOutcome>> endedRuns;
    for (const auto& [unit, run] : incarnation.m_runs) {
      if (isLeaseExpired) {
        endedRuns.emplace_back(unit, job::RunOutcome::LeaseExpired);
      } else if (run.m_stopAt != TimePoint{} && now >= run.m_stopAt) {
        endedRuns.emplace_back(unit, job::RunOutcome::Stopped);
      } else if (now >= run.m_endsAt) {
        endedRuns.emplace_back(unit,
                               run.m_willFail ? job::RunOutcome::Failed : job::RunOutcome::Done);
      }
    }
    for (const auto& [unit, outcome] : endedRuns) {
      EndRun(*machine, unit, outcome);
    }
    if (!endedRuns.empty() && IsResponsive(*machine)) {
      for (const PendingLeaseReport& pendingReport : machine->m_pendingLeaseReports) {
        pendingReport.m_exchange->SendResponse(MakeLeaseReport(*machine));
      }
      machine->m_pendingLeaseReports.clear();
    }
  }
}

void MachineStandin::EndRun(Machine& aMachine, const std::string& aUnit, job::RunOutcome aOutcome)
{
  Incarnation& incarnation = *aMachine.m_incarnation;
  const Run run = incarnation.m_runs.at(aUnit);
  incarnation.m_runs.erase(aUnit);
  std::uint32_t& highest = incarnation.m_highestEndedRuns[aUnit];
  highest = std::max(highest, run.m_runNumber);
  incarnation.m_runEnds.push_back(
    { ++incarnation.m_runEndCount, run.m_unit, run.m_runNumber, aOutcome });
  incarnation.m_hasLeaseExpired = false;
  m_checker.OnRunEnded(run.m_unit, aOutcome, IncarnationName(aMachine));
}

void MachineStandin::HandleMinionRequest(Machine& aMachine,
                                         const std::shared_ptr<StandinExchange>& aExchange)
{
  if (IsCut(aMachine)) {
    return; // The connection stays open without a response.
  }
  if (!aMachine.m_incarnation) {
    aMachine.m_heldExchanges.push_back(aExchange);
    return;
  }
  if (Now() < aMachine.m_hangsUntil) {
    aMachine.m_pendingLeaseReports.push_back(
      { aExchange, {} }); // The connection stays open without a response.
    return;
  }
  const HttpRequest& request = aExchange->Request();
  const auto fault =
    m_orderFaults ? m_orderFaults->Draw(aMachine.m_name, request.m_path) : std::nullopt;
  if (fault) {
    ApplyOrderFault(aMachine, aExchange, *fault);
    return;
  }
  const HttpResponse response = CarryOut(aMachine, request);
  const Json body = Json::parse(request.m_body, nullptr, false);
  const Millis wait(body.value("wait_ms", Millis::rep{ 0 }));
  const bool waits = request.m_path == "/-/hold" && response.m_status == 200 && wait.count() > 0 &&
                     aMachine.m_incarnation->m_runEnds.empty();
  if (waits) {
    ReportEndLater(aMachine, aExchange, wait);
  } else {
    aExchange->SendResponse(response);
  }
}

HttpResponse MachineStandin::CarryOut(Machine& aMachine, const HttpRequest& aRequest)
{
  const std::string* instance = aRequest.Header("Expect-Instance");
  if (!aMachine.m_incarnation || (instance && *instance != aMachine.m_incarnation->m_id)) {
    return JsonResponse(kMisdirected, Json{ { "error", "another life" } }.dump());
  }
  const Json body = Json::parse(aRequest.m_body, nullptr, false);
  Incarnation& incarnation = *aMachine.m_incarnation;
  const auto token = body.value("fencing_token", std::uint64_t{ 0 });
  if (token < incarnation.m_fencingToken) {
    return JsonResponse(kConflict,
                        Json{ { "clock_ms", ClockMs(incarnation) }, { "reason", "fence" } }.dump());
  }
  incarnation.m_fencingToken = token;
  if (aRequest.m_path == "/-/run-start") {
    return StartRun(aMachine, body);
  }
  if (aRequest.m_path == "/-/run-stop") {
    return StopRun(aMachine, body);
  }
  if (aRequest.m_path == "/-/hold") {
    return ExtendLease(aMachine, body);
  }
  return JsonResponse(200, Json{ { "clock_ms", ClockMs(incarnation) } }.dump());
}

HttpResponse MachineStandin::StartRun(Machine& aMachine, const Json& aBody)
{
  Incarnation& incarnation = *aMachine.m_incarnation;
  const std::int64_t clockMs = ClockMs(incarnation);
  const auto makeResponse = [&](int aStatus, const char* aReason) {
    return JsonResponse(aStatus, Json{ { "clock_ms", clockMs }, { "reason", aReason } }.dump());
  };
  const std::string name = aBody.at("task");
  const auto run = aBody.at("run").get<std::uint32_t>();
  const auto leaseExpiryMs = aBody.at("until_ms").get<std::int64_t>();
  const auto id = job::UnitId::Parse(name);
  if (!id) {
    return JsonResponse(400, "{}");
  }
  if (leaseExpiryMs <= clockMs) {
    return makeResponse(kConflict, "late");
  }
  incarnation.m_leaseExpiryMs =
    std::max(incarnation.m_leaseExpiryMs, std::min(leaseExpiryMs, clockMs + kMaxRunLease.count()));
  const auto existingRun = incarnation.m_runs.find(name);
  if (existingRun != incarnation.m_runs.end() && existingRun->second.m_runNumber == run) {
    return makeResponse(200, "");
  }
  if (existingRun != incarnation.m_runs.end() || run <= incarnation.m_highestEndedRuns[name]) {
    return makeResponse(kConflict, "old");
  }
  const Json payload = Json::parse(aBody.at("spec").get<std::string>());
  const auto cpu = payload.at("cpu").get<std::int64_t>();
  const std::int64_t cpuAfter = UsedCpu(incarnation) + cpu;
  if (m_guardedPools.contains(aMachine.m_pool)) {
    if (cpuAfter > incarnation.m_cpu) {
      return makeResponse(kConflict, "room");
    }
  } else {
    std::int64_t limit = incarnation.m_cpu;
    for (const FormerCapacity& former : incarnation.m_formerCapacities) {
      limit = std::max(limit, former.m_countsUntil >= Now() ? former.m_cpu : 0);
    }
    if (cpuAfter > limit) {
      m_checker.ReportViolation(fmt::format(
        "started beyond the capacity: {} on {}, {} of {}, {} ms after the minion's start",
        name,
        aMachine.m_name,
        cpuAfter,
        limit,
        std::chrono::duration_cast<Millis>(Now() - incarnation.m_startedAt).count()));
    }
  }
  Run started;
  started.m_unit = *id;
  started.m_runNumber = run;
  started.m_cpu = cpu;
  const Millis duration(payload.at("ms").get<Millis::rep>());
  started.m_endsAt = Now() + (duration.count() == 0 ? kLongRunningDuration : duration);
  started.m_willFail = run % 1'000 <= payload.at("failures").get<std::uint32_t>();
  m_checker.OnRunStarted(*id, run, IncarnationName(aMachine), aMachine.m_kind);
  incarnation.m_runs.emplace(name, started);
  if (payload.value("deadly", false)) {
    m_crashTimers.push_back(m_timers.After(
      kDeadlyUnitDelay, [this, machine = aMachine.m_name, life = IncarnationName(aMachine)] {
        const Machine& current = *m_machines.at(machine);
        if (current.m_incarnation && IncarnationName(current) == life) {
          Crash(machine, kDeadlyUnitOutage, true);
        }
      }));
  }
  return makeResponse(200, "");
}

HttpResponse MachineStandin::StopRun(Machine& aMachine, const Json& aBody)
{
  Incarnation& incarnation = *aMachine.m_incarnation;
  const std::string name = aBody.at("task");
  const auto run = aBody.at("run").get<std::uint32_t>();
  std::uint32_t& highest = incarnation.m_highestEndedRuns[name];
  highest = std::max(highest, run);
  const auto existingRun = incarnation.m_runs.find(name);
  if (existingRun != incarnation.m_runs.end() && existingRun->second.m_runNumber <= run) {
    existingRun->second.m_stopAt = Now() + kStopDuration;
  }
  return JsonResponse(200, Json{ { "clock_ms", ClockMs(incarnation) } }.dump());
}

HttpResponse MachineStandin::ExtendLease(Machine& aMachine, const Json& aBody)
{
  Incarnation& incarnation = *aMachine.m_incarnation;
  const std::int64_t clockMs = ClockMs(incarnation);
  const std::int64_t leaseExpiryMs = aBody.value("until_ms", std::int64_t{ 0 });
  if (incarnation.m_leaseExpiryMs >= clockMs || incarnation.m_runs.empty()) {
    incarnation.m_leaseExpiryMs = std::max(incarnation.m_leaseExpiryMs,
                                           std::min(leaseExpiryMs, clockMs + kMaxRunLease.count()));
  }
  const auto lastSeen = aBody.value("last_seen", std::uint64_t{ 0 });
  while (!incarnation.m_runEnds.empty() && incarnation.m_runEnds.front().m_number <= lastSeen) {
    const RunEnd& end = incarnation.m_runEnds.front();
    if (!incarnation.m_hasLeaseExpired) {
      m_checker.OnRunEndAcknowledged(end.m_unit, end.m_runNumber, end.m_outcome);
    }
    incarnation.m_runEnds.pop_front();
  }
  return MakeLeaseReport(aMachine);
}

void MachineStandin::ReportEndLater(Machine& aMachine,
                                    const std::shared_ptr<StandinExchange>& aExchange,
                                    Millis aWait)
{
  const auto entry =
    aMachine.m_pendingLeaseReports.insert(aMachine.m_pendingLeaseReports.end(), { aExchange, {} });
  entry->m_timeout = m_timers.After(aWait, [this, &aMachine, entry] {
    const auto exchange = entry->m_exchange;
    aMachine.m_pendingLeaseReports.erase(entry);
    if (aMachine.m_incarnation && IsResponsive(aMachine)) {
      exchange->SendResponse(MakeLeaseReport(aMachine));
    }
  });
}

HttpResponse MachineStandin::MakeLeaseReport(const Machine& aMachine) const
{
  const Incarnation& incarnation = *aMachine.m_incarnation;
  Json running = Json::array();
  for (const auto& [unit, run] : incarnation.m_runs) {
    running.push_back({ unit, run.m_runNumber, "", 100, 0 });
  }
  Json ended = Json::array();
  for (const RunEnd& end : incarnation.m_runEnds) {
    if (ended.size() < kMaxListedRunEnds) {
      ended.push_back(
        { end.m_number, end.m_unit.Text(), end.m_runNumber, ToName(end.m_outcome), "" });
    }
  }
  return JsonResponse(200,
                      Json{ { "clock_ms", ClockMs(incarnation) },
                            { "born", incarnation.m_startTimeMs },
                            { "running", std::move(running) },
                            { "ended", std::move(ended) } }
                        .dump());
}

} // namespace mustardtray::soak
