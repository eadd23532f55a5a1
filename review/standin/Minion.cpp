#include "review/standin/Minion.h"

#include <algorithm>

#include <fmt/format.h>

#include "standin/StandinJson.h"

namespace mustardtray::review {

namespace {

// As in the settings of the nodes.
constexpr Millis kMaxLease{ 6'000 };
constexpr Millis kStopTime{ 100 };
constexpr Millis kCheckpointPeriod{ 500 };
constexpr std::size_t kMaxListedEnds = 500;
constexpr Millis kTickPeriod{ 10 };
constexpr Millis kForever{ 3'600'000 };
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;

} // namespace

Minion::Minion(asio::io_context& aContext,
               TimerService& aTimers,
               Record& aRecord,
               RunLedger& aLedger,
               MinionOptions aOptions)
  : m_timers(aTimers)
  , m_record(aRecord)
  , m_ledger(aLedger)
  , m_options(std::move(aOptions))
  , m_server(aContext, "127.0.0.1", 0, [this](const std::shared_ptr<StandinExchange>& aExchange) {
    Handle(aExchange);
  })
{
  BeginLife();
  m_tickTimer = m_timers.Every(kTickPeriod, 0, [this] { Tick(); });
}

void Minion::BeginLife()
{
  static_cast<void>(m_server.Listen());
  m_isUp = true;
  m_bornAt = MonotonicNow();
  m_bornMs = WallNow().time_since_epoch().count();
  m_fencingToken = 0;
  m_leaseUntilMs = 0;
  m_sequence = 0;
  m_endCount = 0;
  m_record.Write("minion {} is up", LifeName());
}

void Minion::Crash(Millis aDownTime)
{
  m_record.Write("minion {} crashes for {} ms", LifeName(), aDownTime.count());
  for (auto& [unit, run] : m_runs) {
    run.m_record->m_end = "crashed";
    run.m_record->m_endedAt = MonotonicNow();
  }
  m_runs.clear();
  m_ends.clear();
  m_highestEnded.clear();
  m_waitingHolds.clear();
  m_isUp = false;
  m_server.StopListening();
  m_server.CloseConnections(true);
  m_returnTimer = m_timers.After(aDownTime, [this] {
    m_returnTimer.Cancel();
    BeginLife();
  });
}

std::string Minion::Registration()
{
  return Json{
    { "service", m_options.m_pool },
    { "address", fmt::format("127.0.0.1:{}", m_server.Port()) },
    { "zone", "z1" },
    { "version", "1" },
    { "slots", 8 },
    { "state", "ready" },
    { "cold_remaining_ms", 0 },
    { "seq", ++m_sequence },
    { "capacity",
      { { "cpu", m_options.m_cpu }, { "mem_mb", m_options.m_memoryMb }, { "gpu", 0 } } },
    { "labels", { "a", m_options.m_rack } },
    { "machine", m_options.m_machine },
    { "born", m_bornMs }
  }.dump();
}

Json Minion::ListEntry() const
{
  return { { "machine", m_options.m_machine },
           { "pool", m_options.m_pool },
           { "state", m_isUp ? "up" : "down" },
           { "zone", "z1" },
           { "labels", { "a", m_options.m_rack } },
           { "capacity",
             { { "cpu", m_options.m_cpu }, { "mem_mb", m_options.m_memoryMb }, { "gpu", 0 } } },
           { "id", m_options.m_id } };
}

std::int64_t Minion::ClockMs() const
{
  return std::chrono::duration_cast<Millis>(MonotonicNow() - m_bornAt).count();
}

std::string Minion::LifeName() const
{
  return fmt::format("{}@{}", m_options.m_id, m_bornMs);
}

void Minion::ExtendLease(std::int64_t aUntilMs)
{
  m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(aUntilMs, ClockMs() + kMaxLease.count()));
}

void Minion::Handle(const std::shared_ptr<StandinExchange>& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  const std::string* instance = request.Header("Expect-Instance");
  if (instance && *instance != m_options.m_id) {
    aExchange->SendResponse(JsonResponse(kMisdirected, "{}"));
    return;
  }
  const Json body = Json::parse(request.m_body, nullptr, false);
  if (!body.is_object()) {
    aExchange->SendResponse(JsonResponse(400, "{}"));
    return;
  }
  const auto token = body.value("fencing_token", std::uint64_t{ 0 });
  if (token < m_fencingToken) {
    SendJson(*aExchange, kConflict, { { "clock_ms", ClockMs() }, { "reason", "fence" } });
    return;
  }
  m_fencingToken = token;
  if (request.m_path == "/-/hold") {
    Hold(aExchange, body);
  } else if (request.m_path == "/-/run-start" && m_onStartOrder &&
             m_onStartOrder(body.at("task").get<std::string>())) {
    aExchange->Close();
  } else if (request.m_path == "/-/run-start") {
    aExchange->SendResponse(StartRun(body));
  } else if (request.m_path == "/-/run-stop") {
    aExchange->SendResponse(StopRun(body));
  } else {
    SendJson(*aExchange, 200, { { "clock_ms", ClockMs() } });
  }
}

HttpResponse Minion::StartRun(const Json& aBody)
{
  const std::string unit = aBody.at("task");
  const auto number = aBody.at("run").get<std::uint32_t>();
  const auto answer = [&](int aStatus, const std::string& aReason) {
    m_record.Write("start of {} run {} token {} at {}: {} {}",
                   unit,
                   number,
                   m_fencingToken,
                   LifeName(),
                   aStatus,
                   aReason);
    Json body{ { "clock_ms", ClockMs() } };
    if (!aReason.empty()) {
      body["reason"] = aReason;
    }
    return JsonResponse(aStatus, body.dump());
  };
  if (m_refusalStatus != 0) {
    return answer(m_refusalStatus, "");
  }
  const auto untilMs = aBody.at("until_ms").get<std::int64_t>();
  if (untilMs <= ClockMs()) {
    return answer(kConflict, "late");
  }
  ExtendLease(untilMs);
  const auto known = m_runs.find(unit);
  if (known != m_runs.end() && known->second.m_number == number) {
    return answer(200, "");
  }
  if (known != m_runs.end() || number <= m_highestEnded[unit]) {
    return answer(kConflict, "old");
  }
  const Json spec = Json::parse(aBody.at("spec").get<std::string>());
  Run run;
  run.m_number = number;
  run.m_cpu = spec.at("cpu");
  run.m_memoryMb = spec.at("mem_mb");
  std::int64_t cpu = run.m_cpu;
  std::int64_t memoryMb = run.m_memoryMb;
  for (const auto& [name, other] : m_runs) {
    cpu += other.m_cpu;
    memoryMb += other.m_memoryMb;
  }
  if (cpu > m_options.m_cpu || memoryMb > m_options.m_memoryMb) {
    return answer(kConflict, "room");
  }
  const Millis duration(spec.at("ms").get<Millis::rep>());
  run.m_endsAt = MonotonicNow() + (duration.count() == 0 ? kForever : duration);
  run.m_willFail = spec.value("fails", false);
  run.m_savesProgress = spec.value("saves", false);
  run.m_saved = aBody.value("saved", std::string{});
  run.m_record = &m_ledger.Add({ unit, number, LifeName(), MonotonicNow(), {}, {}, false, false });
  m_runs.emplace(unit, run);
  return answer(200, "");
}

HttpResponse Minion::StopRun(const Json& aBody)
{
  const std::string unit = aBody.at("task");
  const auto number = aBody.at("run").get<std::uint32_t>();
  m_record.Write("stop of {} run {} at {}", unit, number, LifeName());
  std::uint32_t& highest = m_highestEnded[unit];
  highest = std::max(highest, number);
  const auto run = m_runs.find(unit);
  if (run != m_runs.end() && run->second.m_number <= number) {
    run->second.m_stopAt = MonotonicNow() + kStopTime;
  }
  return JsonResponse(200, Json{ { "clock_ms", ClockMs() } }.dump());
}

void Minion::Hold(const std::shared_ptr<StandinExchange>& aExchange, const Json& aBody)
{
  if (const auto untilMs = aBody.value("until_ms", std::int64_t{ 0 }); untilMs > 0) {
    ExtendLease(untilMs);
  }
  const auto lastSeen = aBody.value("last_seen", std::uint64_t{ 0 });
  while (!m_ends.empty() && m_ends.front().m_number <= lastSeen) {
    m_ends.front().m_record->m_isNoted = true;
    m_ends.pop_front();
  }
  const Millis wait(aBody.value("wait_ms", Millis::rep{ 0 }));
  if (wait.count() == 0 || !m_ends.empty()) {
    aExchange->SendResponse(Report());
    return;
  }
  const auto entry = m_waitingHolds.insert(m_waitingHolds.end(), { aExchange, {} });
  entry->m_timeout = m_timers.After(wait, [this, entry] {
    const std::shared_ptr<StandinExchange> exchange = entry->m_exchange;
    m_waitingHolds.erase(entry);
    exchange->SendResponse(Report());
  });
}

HttpResponse Minion::Report() const
{
  Json running = Json::array();
  for (const auto& [unit, run] : m_runs) {
    running.push_back({ unit, run.m_number, run.m_saved, 100, 0 });
  }
  Json ended = Json::array();
  for (const RunEnd& end : m_ends) {
    if (ended.size() == kMaxListedEnds) {
      break;
    }
    ended.push_back({ end.m_number, end.m_unit, end.m_run, end.m_how, end.m_saved });
  }
  if (ended.size() > 1) {
    m_record.Write("hold at {}: {} running, {} ended, {} of them listed",
                   LifeName(),
                   running.size(),
                   m_ends.size(),
                   ended.size());
  }
  return JsonResponse(200,
                      Json{ { "clock_ms", ClockMs() },
                            { "born", m_bornMs },
                            { "running", std::move(running) },
                            { "ended", std::move(ended) } }
                        .dump());
}

void Minion::AnswerWaitingHolds()
{
  const std::list<WaitingHold> holds = std::move(m_waitingHolds);
  m_waitingHolds.clear();
  for (const WaitingHold& hold : holds) {
    hold.m_exchange->SendResponse(Report());
  }
}

void Minion::Tick()
{
  if (!m_isUp) {
    return;
  }
  const TimePoint now = MonotonicNow();
  const bool hasLapsed = ClockMs() > m_leaseUntilMs;
  std::vector<std::pair<std::string, std::string>> ended;
  for (auto& [unit, run] : m_runs) {
    if (hasLapsed) {
      ended.emplace_back(unit, "lapsed");
    } else if (run.m_stopAt != TimePoint{} && now >= run.m_stopAt) {
      ended.emplace_back(unit, "stopped");
    } else if (now >= run.m_endsAt) {
      ended.emplace_back(unit, run.m_willFail ? "failed" : "done");
    } else if (run.m_savesProgress) {
      const auto steps = (now - run.m_record->m_startedAt) / kCheckpointPeriod;
      run.m_saved = steps > 0 ? fmt::format("{:016x}", steps) : run.m_saved;
    }
  }
  for (const RunEnd& end : m_ends) {
    end.m_record->m_hasLapsed = end.m_record->m_hasLapsed || hasLapsed;
  }
  for (const auto& [unit, how] : ended) {
    EndRun(unit, how);
  }
  if (!ended.empty()) {
    AnswerWaitingHolds();
  }
}

void Minion::EndRun(const std::string& aUnit, const std::string& aHow)
{
  const Run run = m_runs.at(aUnit);
  m_runs.erase(aUnit);
  std::uint32_t& highest = m_highestEnded[aUnit];
  highest = std::max(highest, run.m_number);
  run.m_record->m_end = aHow;
  run.m_record->m_endedAt = MonotonicNow();
  m_ends.push_back({ ++m_endCount, aUnit, run.m_number, aHow, run.m_saved, run.m_record });
  m_record.Write("end of {} run {} at {}: {}", aUnit, run.m_number, LifeName(), aHow);
}

} // namespace mustardtray::review
