#include "tests/soak/Machines.h"

#include <fmt/format.h>

#include "standin/StandinJson.h"

namespace mustardtray::soak {

namespace {

constexpr double kClockSpeed = 0.98; ///< The slowest that a minion's clock may be.
constexpr Millis kTick{ 10 };
constexpr Millis kHeartbeat{ 1'000 };
constexpr Millis kStopTime{ 60 };
constexpr Millis kForever{ 3'600'000 };
constexpr std::size_t kListedEnds = 500;
constexpr int kConflict = 409;
constexpr int kOtherLife = 421;

TimePoint Now()
{
  return std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
}

} // namespace

Machines::Machines(asio::io_context& aContext,
                   TimerService& aTimers,
                   RowStore& aStore,
                   Promises& aPromises)
  : m_context(aContext)
  , m_timers(aTimers)
  , m_store(aStore)
  , m_promises(aPromises)
  , m_control(aContext, "127.0.0.1", 0, [this](const std::shared_ptr<StandinExchange>& aExchange) {
    HandleControl(aExchange);
  })
{
  static_cast<void>(m_control.Listen());
  m_tick = m_timers.Every(kTick, 0, [this] { Tick(); });
  m_heartbeat = m_timers.Every(kHeartbeat, 0, [this] {
    for (const auto& [name, machine] : m_machines) {
      if (machine->m_life) {
        Register(*machine);
      }
    }
  });
}

void Machines::Add(const std::string& aName, const std::string& aPool, bool aIsSpare)
{
  auto machine = std::make_unique<Machine>();
  Machine& added = *machine;
  added.m_name = aName;
  added.m_pool = aPool;
  added.m_server = std::make_unique<StandinServer>(
    m_context, "127.0.0.1", 0, [this, &added](const std::shared_ptr<StandinExchange>& aExchange) {
      Handle(added, aExchange);
    });
  m_machines.emplace(aName, std::move(machine));
  if (aIsSpare) {
    m_sparePool = aPool;
  } else {
    BeginLife(added, {});
  }
}

std::vector<std::string> Machines::Names() const
{
  std::vector<std::string> names;
  for (const auto& [name, machine] : m_machines) {
    names.push_back(name);
  }
  return names;
}

// Lives.

void Machines::BeginLife(Machine& aMachine, const std::string& aId)
{
  aMachine.m_state = "up";
  if (aMachine.m_pool == m_sparePool) {
    return; // Machines of the spare pool are off.
  }
  aMachine.m_life = std::make_unique<Life>();
  Life& life = *aMachine.m_life;
  life.m_id = aId.empty() ? fmt::format("i-{}-{}", aMachine.m_name, ++m_lives) : aId;
  life.m_bornMs =
    std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
  life.m_startedAt = Now();
  static_cast<void>(aMachine.m_server->Listen());
  Register(aMachine);
}

void Machines::EndLife(Machine& aMachine)
{
  if (!aMachine.m_life) {
    return;
  }
  aMachine.m_server->StopListening();
  aMachine.m_server->CloseConnections(true);
  aMachine.m_holds.clear();
  for (const auto& [name, run] : aMachine.m_life->m_runs) {
    m_promises.OnEnd(run.m_unit, job::RunOutcome::LeaseExpired, Place(aMachine));
  }
  m_store.Remove("servers", aMachine.m_life->m_id);
  aMachine.m_life.reset();
}

void Machines::Register(const Machine& aMachine)
{
  const Life& life = *aMachine.m_life;
  const Json entry{ { "service", aMachine.m_pool },
                    { "address", fmt::format("127.0.0.1:{}", aMachine.m_server->Port()) },
                    { "zone", "z1" },
                    { "version", "1" },
                    { "slots", 8 },
                    { "state", "ready" },
                    { "seq", ClockMs(life) },
                    { "capacity", { { "cpu", kMachineCpu }, { "mem_mb", 65'536 }, { "gpu", 0 } } },
                    { "labels", { "a", "rack-1" } },
                    { "machine", aMachine.m_name },
                    { "born", life.m_bornMs } };
  m_store.Put("servers", life.m_id, entry.dump());
}

void Machines::ReturnAfter(Machine& aMachine, Millis aTime, std::string aId)
{
  aMachine.m_return =
    m_timers.After(aTime, [this, &aMachine, id = std::move(aId)] { BeginLife(aMachine, id); });
}

void Machines::Crash(const std::string& aName, Millis aFor, bool aKeepsId)
{
  Machine& machine = *m_machines.at(aName);
  if (!machine.m_life) {
    return;
  }
  const std::string id = aKeepsId ? machine.m_life->m_id : std::string{};
  EndLife(machine);
  machine.m_state = "down";
  ReturnAfter(machine, aFor, id);
}

void Machines::Hang(const std::string& aName, Millis aFor)
{
  m_machines.at(aName)->m_hangsUntil = Now() + aFor;
}

std::int64_t Machines::ClockMs(const Life& aLife)
{
  const auto elapsed = std::chrono::duration_cast<Millis>(Now() - aLife.m_startedAt);
  return 1'000 + static_cast<std::int64_t>(static_cast<double>(elapsed.count()) * kClockSpeed);
}

std::string Machines::Place(const Machine& aMachine)
{
  return fmt::format("{}@{}", aMachine.m_life->m_id, aMachine.m_life->m_bornMs);
}

// Work units.

void Machines::Tick()
{
  const TimePoint now = Now();
  for (auto& [name, machine] : m_machines) {
    if (!machine->m_life) {
      continue;
    }
    Life& life = *machine->m_life;
    const bool isLapsed = ClockMs(life) > life.m_leaseUntilMs;
    life.m_hasLapsed = life.m_hasLapsed || (isLapsed && !life.m_ended.empty());
    std::vector<std::pair<std::string, job::RunOutcome>> over;
    for (const auto& [unit, run] : life.m_runs) {
      if (isLapsed) {
        over.emplace_back(unit, job::RunOutcome::LeaseExpired);
      } else if (run.m_stopAt != TimePoint{} && now >= run.m_stopAt) {
        over.emplace_back(unit, job::RunOutcome::Stopped);
      } else if (now >= run.m_endsAt) {
        over.emplace_back(unit, run.m_willFail ? job::RunOutcome::Failed : job::RunOutcome::Done);
      }
    }
    for (const auto& [unit, how] : over) {
      EndRun(*machine, unit, how);
    }
    if (!over.empty() && now >= machine->m_hangsUntil) {
      for (const WaitingHold& hold : machine->m_holds) {
        hold.m_exchange->Answer(HoldAnswer(*machine));
      }
      machine->m_holds.clear();
    }
  }
}

void Machines::EndRun(Machine& aMachine, const std::string& aUnit, job::RunOutcome aHow)
{
  Life& life = *aMachine.m_life;
  const Run run = life.m_runs.at(aUnit);
  life.m_runs.erase(aUnit);
  std::uint32_t& highest = life.m_highestEnded[aUnit];
  highest = std::max(highest, run.m_run);
  life.m_ended.push_back({ ++life.m_endCount, run.m_unit, run.m_run, aHow });
  life.m_hasLapsed = false;
  m_promises.OnEnd(run.m_unit, aHow, Place(aMachine));
}

void Machines::Handle(Machine& aMachine, const std::shared_ptr<StandinExchange>& aExchange)
{
  if (Now() < aMachine.m_hangsUntil) {
    aMachine.m_holds.push_back({ aExchange, {} }); // Kept open, never answered.
    return;
  }
  const HttpRequest& request = aExchange->Request();
  const std::string* instance = request.Header("Expect-Instance");
  if (!aMachine.m_life || (instance && *instance != aMachine.m_life->m_id)) {
    AnswerError(*aExchange, kOtherLife, "another life");
    return;
  }
  const Json body = Json::parse(request.m_body, nullptr, false);
  Life& life = *aMachine.m_life;
  const auto token = body.value("fencing_token", std::uint64_t{ 0 });
  if (token < life.m_fence) {
    AnswerJson(*aExchange, kConflict, { { "clock_ms", ClockMs(life) }, { "reason", "fence" } });
    return;
  }
  life.m_fence = token;
  if (request.m_path == "/-/run-start") {
    aExchange->Answer(Start(aMachine, body));
  } else if (request.m_path == "/-/run-stop") {
    aExchange->Answer(Stop(aMachine, body));
  } else if (request.m_path == "/-/hold") {
    Hold(aMachine, body, aExchange);
  } else {
    AnswerJson(*aExchange, 200, { { "clock_ms", ClockMs(life) } });
  }
}

HttpResponse Machines::Start(Machine& aMachine, const Json& aBody)
{
  Life& life = *aMachine.m_life;
  const std::int64_t clock = ClockMs(life);
  const auto answer = [&](int aStatus, const char* aReason) {
    return JsonResponse(aStatus, Json{ { "clock_ms", clock }, { "reason", aReason } }.dump());
  };
  const std::string name = aBody.at("task");
  const auto run = aBody.at("run").get<std::uint32_t>();
  const auto until = aBody.at("until_ms").get<std::int64_t>();
  const auto id = job::UnitId::Parse(name);
  if (!id) {
    return JsonResponse(400, "{}");
  }
  if (until <= clock) {
    return answer(kConflict, "late");
  }
  life.m_leaseUntilMs =
    std::max(life.m_leaseUntilMs, std::min(until, clock + kMaxRunLease.count()));
  const auto present = life.m_runs.find(name);
  if (present != life.m_runs.end() && present->second.m_run == run) {
    return answer(200, "");
  }
  if (present != life.m_runs.end() || run <= life.m_highestEnded[name]) {
    return answer(kConflict, "old");
  }
  const Json payload = Json::parse(aBody.at("spec").get<std::string>());
  std::int64_t used = 0;
  for (const auto& [unit, other] : life.m_runs) {
    used += other.m_cpu;
  }
  const auto cpu = payload.at("cpu").get<std::int64_t>();
  if (used + cpu > kMachineCpu) {
    return answer(kConflict, "room");
  }
  Run started;
  started.m_unit = *id;
  started.m_run = run;
  started.m_cpu = cpu;
  const Millis time(payload.at("ms").get<Millis::rep>());
  started.m_endsAt = Now() + (time.count() == 0 ? kForever : time);
  started.m_willFail = run % 1'000 <= payload.at("failures").get<std::uint32_t>();
  m_promises.OnStart(*id, run, Place(aMachine));
  life.m_runs.emplace(name, started);
  return answer(200, "");
}

HttpResponse Machines::Stop(Machine& aMachine, const Json& aBody)
{
  Life& life = *aMachine.m_life;
  const std::string name = aBody.at("task");
  const auto run = aBody.at("run").get<std::uint32_t>();
  std::uint32_t& highest = life.m_highestEnded[name];
  highest = std::max(highest, run);
  const auto present = life.m_runs.find(name);
  if (present != life.m_runs.end() && present->second.m_run <= run) {
    present->second.m_stopAt = Now() + kStopTime;
  }
  return JsonResponse(200, Json{ { "clock_ms", ClockMs(life) } }.dump());
}

void Machines::Hold(Machine& aMachine,
                    const Json& aBody,
                    const std::shared_ptr<StandinExchange>& aExchange)
{
  Life& life = *aMachine.m_life;
  const std::int64_t clock = ClockMs(life);
  const std::int64_t until = aBody.value("until_ms", std::int64_t{ 0 });
  if (life.m_leaseUntilMs >= clock || life.m_runs.empty()) {
    life.m_leaseUntilMs =
      std::max(life.m_leaseUntilMs, std::min(until, clock + kMaxRunLease.count()));
  }
  const auto seen = aBody.value("last_seen", std::uint64_t{ 0 });
  while (!life.m_ended.empty() && life.m_ended.front().m_number <= seen) {
    const End& end = life.m_ended.front();
    if (!life.m_hasLapsed) {
      m_promises.OnEndAcknowledged(end.m_unit, end.m_run, end.m_how);
    }
    life.m_ended.pop_front();
  }
  const Millis wait(aBody.value("wait_ms", Millis::rep{ 0 }));
  if (wait.count() == 0 || !life.m_ended.empty()) {
    aExchange->Answer(HoldAnswer(aMachine));
    return;
  }
  const auto entry = aMachine.m_holds.insert(aMachine.m_holds.end(), { aExchange, {} });
  entry->m_timeout = m_timers.After(wait, [this, &aMachine, entry] {
    const auto exchange = entry->m_exchange;
    aMachine.m_holds.erase(entry);
    if (aMachine.m_life && Now() >= aMachine.m_hangsUntil) {
      exchange->Answer(HoldAnswer(aMachine));
    }
  });
}

HttpResponse Machines::HoldAnswer(const Machine& aMachine) const
{
  const Life& life = *aMachine.m_life;
  Json running = Json::array();
  for (const auto& [unit, run] : life.m_runs) {
    running.push_back({ unit, run.m_run, "", 100, 0 });
  }
  Json ended = Json::array();
  for (const End& end : life.m_ended) {
    if (ended.size() < kListedEnds) {
      ended.push_back({ end.m_number, end.m_unit.Text(), end.m_run, ToName(end.m_how), "" });
    }
  }
  return JsonResponse(200,
                      Json{ { "clock_ms", ClockMs(life) },
                            { "born", life.m_bornMs },
                            { "running", std::move(running) },
                            { "ended", std::move(ended) } }
                        .dump());
}

// Orders to machines.

void Machines::BeginWave(std::uint64_t aNumber, std::size_t aMachines, std::size_t aAtOnce)
{
  std::vector<std::string> names = Names();
  names.resize(std::min(aMachines, names.size()));
  m_waves[aNumber] = { names.begin(), names.end() };
  m_waveLimits[aNumber] = aAtOnce;
  m_store.Put(
    "op",
    fmt::format("wave/{}", aNumber),
    Json{
      { "wave", aNumber }, { "machines", names }, { "duration_s", 12 }, { "max_count", aAtOnce } }
      .dump());
}

void Machines::HandleControl(const std::shared_ptr<StandinExchange>& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  aExchange->Answer(request.m_method == "GET" ? List() : Order(request));
}

HttpResponse Machines::List() const
{
  Json machines = Json::array();
  for (const auto& [name, machine] : m_machines) {
    machines.push_back(
      { { "machine", name },
        { "pool", machine->m_pool },
        { "state", machine->m_state },
        { "zone", "z1" },
        { "labels", { "a", "rack-1" } },
        { "capacity", { { "cpu", kMachineCpu }, { "mem_mb", 65'536 }, { "gpu", 0 } } },
        { "id", machine->m_life ? Json(machine->m_life->m_id) : Json() } });
  }
  return JsonResponse(200, Json{ { "machines", std::move(machines) } }.dump());
}

HttpResponse Machines::Order(const HttpRequest& aRequest)
{
  const Json body = Json::parse(aRequest.m_body, nullptr, false);
  const auto found = m_machines.find(body.value("machine", std::string{}));
  const std::string* holder = aRequest.Header("Lease-Holder");
  const std::string* token = aRequest.Header("Fencing-Token");
  if (found == m_machines.end() || !holder || !token) {
    return JsonResponse(400, "{}");
  }
  Machine& machine = *found->second;
  const std::uint64_t number = std::strtoull(token->c_str(), nullptr, 10);
  const bool isOther = !machine.m_holder.empty() && machine.m_holder != *holder;
  if (isOther && Now() - machine.m_orderedAt < kMachineOrderLease) {
    m_promises.Break("two holders order " + machine.m_name + " in turn: " + machine.m_holder +
                     " and " + *holder);
  }
  if (number < machine.m_token || (isOther && number == machine.m_token)) {
    m_promises.Break("an order with an old token for " + machine.m_name);
  }
  machine.m_holder = *holder;
  machine.m_token = number;
  machine.m_orderedAt = Now();
  if (machine.m_state != "up") {
    return JsonResponse(kConflict, R"({"reason":"busy"})");
  }
  if (aRequest.m_path == "/-/machine-move") {
    EndLife(machine);
    machine.m_pool = body.at("pool");
    machine.m_state = "moving";
    ReturnAfter(machine, kMoveTime, {});
    return JsonResponse(200, "{}");
  }
  const auto wave = body.at("wave").get<std::uint64_t>();
  if (!m_maintained.insert({ wave, machine.m_name }).second) {
    return JsonResponse(200, "{}"); // It is done already.
  }
  if (!m_waves[wave].contains(machine.m_name)) {
    return JsonResponse(kConflict, R"({"reason":"wave"})");
  }
  std::size_t away = 0;
  for (const auto& [name, other] : m_machines) {
    away += other->m_state == "upkeep" ? 1 : 0;
  }
  if (away >= m_waveLimits[wave]) {
    m_promises.Break("too many machines in maintenance at once: " + machine.m_name);
  }
  EndLife(machine);
  machine.m_state = "upkeep";
  ReturnAfter(machine, kMaintenanceTime, {});
  return JsonResponse(200, "{}");
}

} // namespace mustardtray::soak
