#include "review/harness-2/Fleet.h"

#include <algorithm>

#include "standin/StandinJson.h"

namespace mustardtray::review {

namespace {

constexpr Millis kTickPeriod{ 10 };
constexpr Millis kHeartbeatPeriod{ 1'500 };
/// An entry is removed after three check-in intervals of silence.
constexpr Millis kEntryExpiry{ 3 * kHeartbeatPeriod };
constexpr Millis kMaxLease{ 6'000 };
constexpr Millis kStopTime{ 100 };
constexpr std::int64_t kMemoryMb = 65'536;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;

} // namespace

Fleet::Fleet(asio::io_context& aContext,
             TimerService& aTimers,
             soak::RowStoreStandin& aStore,
             Record& aRecord)
  : m_context(aContext)
  , m_timers(aTimers)
  , m_store(aStore)
  , m_record(aRecord)
  , m_cloud(aContext, "127.0.0.1", 0, [this](const std::shared_ptr<StandinExchange>& aExchange) {
    HandleCloud(aExchange);
  })
{
  static_cast<void>(m_cloud.Listen());
  m_tick = m_timers.Every(kTickPeriod, 0, [this] { Tick(); });
  m_heartbeat = m_timers.Every(kHeartbeatPeriod, 0, [this] {
    for (const auto& [name, machine] : m_machines) {
      if (machine->m_life) {
        Register(*machine);
      }
    }
  });
}

void Fleet::AddMachine(const MachineSpec& aSpec)
{
  auto machine = std::make_unique<Machine>();
  machine->m_spec = aSpec;
  machine->m_id = "i-" + aSpec.m_name;
  Machine& added = *machine;
  machine->m_server = std::make_unique<StandinServer>(
    m_context, "127.0.0.1", 0, [this, &added](const std::shared_ptr<StandinExchange>& aExchange) {
      Handle(added, aExchange);
    });
  m_machines.emplace(aSpec.m_name, std::move(machine));
  Begin(added);
}

void Fleet::Begin(Machine& aMachine)
{
  aMachine.m_expiry.Cancel();
  aMachine.m_life = std::make_unique<Life>();
  Life& life = *aMachine.m_life;
  life.m_bornMs = WallNow().time_since_epoch().count();
  life.m_startedAt = MonotonicNow();
  life.m_clockStartMs = 1'000;
  static_cast<void>(aMachine.m_server->Listen());
  m_record.Add(
    "minion {} is up on {}, born {}", aMachine.m_id, aMachine.m_spec.m_name, life.m_bornMs);
  Register(aMachine);
}

void Fleet::Register(Machine& aMachine)
{
  Life& life = *aMachine.m_life;
  const Json entry{ { "service", aMachine.m_spec.m_pool },
                    { "address", fmt::format("127.0.0.1:{}", aMachine.m_server->Port()) },
                    { "zone", "z1" },
                    { "version", "v1" },
                    { "slots", 8 },
                    { "state", "ready" },
                    { "cold_remaining_ms", 0 },
                    { "capacity",
                      { { "cpu", aMachine.m_spec.m_cpu }, { "mem_mb", kMemoryMb }, { "gpu", 0 } } },
                    { "labels", aMachine.m_spec.m_labels },
                    { "machine", aMachine.m_spec.m_name },
                    { "born", life.m_bornMs },
                    { "clock_ms", ClockMs(life) },
                    { "seq", ++life.m_seq } };
  m_store.Put("servers", aMachine.m_id, entry.dump());
}

void Fleet::Crash(const std::string& aMachine, Millis aDuration)
{
  Machine& machine = *m_machines.at(aMachine);
  m_record.Add("TROUBLE minion {} crashes, back in {} ms", machine.m_id, aDuration.count());
  End(machine);
  machine.m_return = m_timers.After(aDuration, [this, &machine] { Begin(machine); });
}

void Fleet::Lose(const std::string& aMachine)
{
  Machine& machine = *m_machines.at(aMachine);
  m_record.Add("TROUBLE minion {} is lost for good", machine.m_id);
  End(machine);
}

void Fleet::End(Machine& aMachine)
{
  aMachine.m_server->StopListening();
  aMachine.m_server->CloseConnections(true);
  aMachine.m_holds.clear();
  while (!aMachine.m_life->m_runs.empty()) {
    EndRun(aMachine, std::string(aMachine.m_life->m_runs.begin()->first), "lost", false);
  }
  aMachine.m_life.reset();
  aMachine.m_expiry =
    m_timers.After(kEntryExpiry, [this, id = aMachine.m_id] { m_store.Remove("servers", id); });
}

std::int64_t Fleet::ClockMs(const Life& aLife)
{
  return aLife.m_clockStartMs +
         std::chrono::duration_cast<Millis>(MonotonicNow() - aLife.m_startedAt).count();
}

void Fleet::Tick()
{
  const TimePoint now = MonotonicNow();
  for (auto& [name, machine] : m_machines) {
    if (!machine->m_life) {
      continue;
    }
    Life& life = *machine->m_life;
    const bool hasLapsed = ClockMs(life) > life.m_leaseUntilMs;
    if (hasLapsed) {
      for (ListedEnd& end : life.m_ends) {
        end.m_seen->m_hasLapsed = true;
      }
    }
    std::vector<std::pair<std::string, const char*>> ended;
    for (const auto& [unit, run] : life.m_runs) {
      if (hasLapsed) {
        ended.emplace_back(unit, "lapsed");
      } else if (run.m_stopAt != TimePoint{} && now >= run.m_stopAt) {
        ended.emplace_back(unit, "stopped");
      } else if (now >= run.m_endsAt) {
        ended.emplace_back(unit, run.m_fails ? "failed" : "done");
      }
    }
    for (const auto& [unit, how] : ended) {
      EndRun(*machine, unit, how, true);
    }
    if (!ended.empty()) {
      for (const PendingHold& hold : machine->m_holds) {
        hold.m_exchange->SendResponse(Report(*machine));
      }
      machine->m_holds.clear();
    }
  }
}

void Fleet::EndRun(Machine& aMachine, const std::string& aUnit, const char* aHow, bool aIsListed)
{
  Life& life = *aMachine.m_life;
  RunSeen& seen = *life.m_runs.at(aUnit).m_seen;
  life.m_runs.erase(aUnit);
  seen.m_end = MonotonicNow();
  seen.m_how = aHow;
  std::uint32_t& refused = life.m_refused[aUnit];
  refused = std::max(refused, seen.m_run);
  if (aIsListed) {
    life.m_ends.push_back({ ++life.m_endCount, &seen });
  }
  m_record.Add("run ended: {} run {} on {}: {}", aUnit, seen.m_run, aMachine.m_spec.m_name, aHow);
}

void Fleet::Handle(Machine& aMachine, const std::shared_ptr<StandinExchange>& aExchange)
{
  if (!aMachine.m_life) {
    aExchange->Reset();
    return;
  }
  const HttpRequest& request = aExchange->Request();
  const std::string* instance = request.Header("Expect-Instance");
  if (instance && *instance != aMachine.m_id) {
    aExchange->SendResponse(JsonResponse(kMisdirected, "{}"));
    return;
  }
  const Json body = Json::parse(request.m_body, nullptr, false);
  if (!body.is_object()) {
    aExchange->SendResponse(JsonResponse(400, "{}"));
    return;
  }
  const bool isDelayed = request.m_path == "/-/run-start" && m_delayedAt.empty() &&
                         !m_delayedUnit.empty() && body.value("task", "") == m_delayedUnit;
  if (isDelayed) {
    m_delayedAt = aMachine.m_spec.m_name;
    m_delayedBody = request.m_body;
    m_delayedExchange = aExchange;
    m_record.Add("TROUBLE the start of {} run {} at {} gets no answer and is carried out late",
                 m_delayedUnit,
                 body.value("run", 0),
                 m_delayedAt);
    return;
  }
  Life& life = *aMachine.m_life;
  const auto token = body.value("fencing_token", std::uint64_t{ 0 });
  if (token < life.m_token) {
    aExchange->SendResponse(
      JsonResponse(kConflict, Json{ { "clock_ms", ClockMs(life) }, { "reason", "fence" } }.dump()));
    return;
  }
  life.m_token = token;
  if (request.m_path == "/-/run-start") {
    const HttpResponse response = Start(aMachine, body);
    m_record.Add("start of {} run {} (token {}) at {}: {} {}",
                 body.value("task", ""),
                 body.value("run", 0),
                 token,
                 aMachine.m_spec.m_name,
                 response.m_status,
                 response.m_body);
    aExchange->SendResponse(response);
  } else if (request.m_path == "/-/run-stop") {
    m_record.Add("stop of {} run {} (token {}) at {}",
                 body.value("task", ""),
                 body.value("run", 0),
                 token,
                 aMachine.m_spec.m_name);
    aExchange->SendResponse(Stop(aMachine, body));
  } else if (request.m_path == "/-/hold") {
    const HttpResponse response = Hold(aMachine, body);
    const Millis wait(body.value("wait_ms", Millis::rep{ 0 }));
    if (wait.count() == 0 || !life.m_ends.empty()) {
      aExchange->SendResponse(response);
      return;
    }
    const auto hold = aMachine.m_holds.insert(aMachine.m_holds.end(), { aExchange, {} });
    hold->m_timeout = m_timers.After(wait, [this, &aMachine, hold] {
      const auto exchange = hold->m_exchange;
      aMachine.m_holds.erase(hold);
      exchange->SendResponse(Report(aMachine));
    });
  } else {
    aExchange->SendResponse(JsonResponse(200, Json{ { "clock_ms", ClockMs(life) } }.dump()));
  }
}

void Fleet::CarryOutLate()
{
  Machine& machine = *m_machines.at(m_delayedAt);
  const Json body = Json::parse(m_delayedBody);
  const auto token = body.at("fencing_token").get<std::uint64_t>();
  if (!machine.m_life || token < machine.m_life->m_token) {
    m_record.Add("the late start at {} is refused", m_delayedAt);
    return;
  }
  machine.m_life->m_token = token;
  const HttpResponse response = Start(machine, body);
  m_record.Add("the late start of {} run {} (token {}) at {}: {} {}",
               m_delayedUnit,
               body.value("run", 0),
               token,
               m_delayedAt,
               response.m_status,
               response.m_body);
}

HttpResponse Fleet::Start(Machine& aMachine, const Json& aBody)
{
  Life& life = *aMachine.m_life;
  const std::int64_t clockMs = ClockMs(life);
  const auto refuse = [&](const char* aReason) {
    return JsonResponse(kConflict, Json{ { "clock_ms", clockMs }, { "reason", aReason } }.dump());
  };
  const std::string unit = aBody.at("task");
  const auto number = aBody.at("run").get<std::uint32_t>();
  const auto until = aBody.at("until_ms").get<std::int64_t>();
  if (until <= clockMs) {
    return refuse("late");
  }
  life.m_leaseUntilMs = std::max(life.m_leaseUntilMs, std::min(until, clockMs + kMaxLease.count()));
  const auto known = life.m_runs.find(unit);
  if (known != life.m_runs.end() && known->second.m_seen->m_run == number) {
    return JsonResponse(200, Json{ { "clock_ms", clockMs } }.dump());
  }
  if (known != life.m_runs.end() || number <= life.m_refused[unit]) {
    return refuse("old");
  }
  // The spec of a scenario's job says what a unit needs and how it ends.
  const Json text = Json::parse(aBody.at("spec").get<std::string>(), nullptr, false);
  const Json spec = text.is_object() ? text : Json::object();
  const auto cpu = spec.value("cpu", std::int64_t{ 0 });
  std::int64_t used = cpu;
  for (const auto& [name, run] : life.m_runs) {
    used += run.m_cpu;
  }
  if (used > aMachine.m_spec.m_cpu) {
    return refuse("room");
  }
  const TimePoint now = MonotonicNow();
  m_runs.push_back({ unit, aMachine.m_spec.m_name, number, now, {}, {}, false, false });
  ActiveRun run;
  run.m_seen = &m_runs.back();
  run.m_cpu = cpu;
  run.m_endsAt = now + Millis(spec.value("ms", Millis::rep{ 200 }));
  run.m_fails = spec.value("fails", false);
  life.m_runs.emplace(unit, run);
  m_record.Add("run begun: {} run {} on {}", unit, number, aMachine.m_spec.m_name);
  return JsonResponse(200, Json{ { "clock_ms", clockMs } }.dump());
}

HttpResponse Fleet::Stop(Machine& aMachine, const Json& aBody)
{
  Life& life = *aMachine.m_life;
  const std::string unit = aBody.at("task");
  const auto number = aBody.at("run").get<std::uint32_t>();
  std::uint32_t& refused = life.m_refused[unit];
  refused = std::max(refused, number);
  const auto run = life.m_runs.find(unit);
  if (run != life.m_runs.end() && run->second.m_seen->m_run <= number) {
    run->second.m_stopAt = MonotonicNow() + kStopTime;
  }
  return JsonResponse(200, Json{ { "clock_ms", ClockMs(life) } }.dump());
}

HttpResponse Fleet::Hold(Machine& aMachine, const Json& aBody)
{
  Life& life = *aMachine.m_life;
  const std::int64_t clockMs = ClockMs(life);
  const std::int64_t until = aBody.value("until_ms", std::int64_t{ 0 });
  life.m_leaseUntilMs = std::max(life.m_leaseUntilMs, std::min(until, clockMs + kMaxLease.count()));
  const auto lastSeen = aBody.value("last_seen", std::uint64_t{ 0 });
  while (!life.m_ends.empty() && life.m_ends.front().m_number <= lastSeen) {
    RunSeen& seen = *life.m_ends.front().m_seen;
    seen.m_isNoted = !seen.m_hasLapsed;
    m_record.Add("end taken note of: {} run {} on {}{}",
                 seen.m_unit,
                 seen.m_run,
                 seen.m_machine,
                 seen.m_hasLapsed ? ", after a lapse" : "");
    life.m_ends.pop_front();
  }
  return Report(aMachine);
}

HttpResponse Fleet::Report(const Machine& aMachine) const
{
  const Life& life = *aMachine.m_life;
  const TimePoint now = MonotonicNow();
  Json running = Json::array();
  for (const auto& [unit, run] : life.m_runs) {
    const auto all = static_cast<double>((run.m_endsAt - run.m_seen->m_begin).count());
    const auto done = static_cast<double>((now - run.m_seen->m_begin).count());
    const int percent = all > 0 ? static_cast<int>(100.0 * std::min(done / all, 1.0)) : 100;
    running.push_back({ unit, run.m_seen->m_run, "", percent, run.m_cpu });
  }
  Json ended = Json::array();
  constexpr std::size_t kMaxListedEnds = 500;
  for (const ListedEnd& end : life.m_ends) {
    if (ended.size() < kMaxListedEnds) {
      ended.push_back(
        { end.m_number, end.m_seen->m_unit, end.m_seen->m_run, end.m_seen->m_how, "" });
    }
  }
  return JsonResponse(200,
                      Json{ { "clock_ms", ClockMs(life) },
                            { "born", life.m_bornMs },
                            { "running", std::move(running) },
                            { "ended", std::move(ended) } }
                        .dump());
}

void Fleet::HandleCloud(const std::shared_ptr<StandinExchange>& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  if (request.m_method != "GET") {
    // No machine is spare or due for upkeep, so there is nothing to move.
    m_record.Add("cloud: {} {}: 409 busy", request.m_path, request.m_body);
    aExchange->SendResponse(JsonResponse(kConflict, R"({"reason":"busy"})"));
    return;
  }
  Json machines = Json::array();
  for (const auto& [name, machine] : m_machines) {
    machines.push_back(
      { { "machine", name },
        { "pool", machine->m_spec.m_pool },
        { "state", machine->m_life ? "up" : "down" },
        { "zone", "z1" },
        { "labels", machine->m_spec.m_labels },
        { "capacity", { { "cpu", machine->m_spec.m_cpu }, { "mem_mb", kMemoryMb }, { "gpu", 0 } } },
        { "id", machine->m_life ? Json(machine->m_id) : Json() } });
  }
  aExchange->SendResponse(JsonResponse(
    200, Json{ { "machines", std::move(machines) }, { "next_token", nullptr } }.dump()));
}

std::vector<const RunSeen*> Fleet::RunsOf(const std::string& aUnit) const
{
  std::vector<const RunSeen*> runs;
  for (const RunSeen& run : m_runs) {
    if (run.m_unit == aUnit) {
      runs.push_back(&run);
    }
  }
  return runs;
}

std::vector<std::string> Fleet::FindTwice() const
{
  std::vector<std::string> breaks;
  const TimePoint now = MonotonicNow();
  for (auto first = m_runs.begin(); first != m_runs.end(); ++first) {
    for (auto second = std::next(first); second != m_runs.end(); ++second) {
      if (first->m_unit != second->m_unit) {
        continue;
      }
      const TimePoint firstEnd = first->m_end == TimePoint{} ? now : first->m_end;
      const TimePoint secondEnd = second->m_end == TimePoint{} ? now : second->m_end;
      if (second->m_begin < firstEnd && first->m_begin < secondEnd) {
        const TimePoint until = std::min(firstEnd, secondEnd);
        breaks.push_back(
          fmt::format("TWICE: {} ran at the same time on {} (run {}) and {} (run {}), for {} ms",
                      first->m_unit,
                      first->m_machine,
                      first->m_run,
                      second->m_machine,
                      second->m_run,
                      std::chrono::duration_cast<Millis>(until - second->m_begin).count()));
      } else if (first->m_how == "done" && first->m_isNoted && second->m_begin >= firstEnd) {
        breaks.push_back(fmt::format(
          "TWICE: {} started as run {} on {}, {} ms after its run {} on {} had ended done",
          first->m_unit,
          second->m_run,
          second->m_machine,
          std::chrono::duration_cast<Millis>(second->m_begin - firstEnd).count(),
          first->m_run,
          first->m_machine));
      }
    }
  }
  return breaks;
}

} // namespace mustardtray::review
