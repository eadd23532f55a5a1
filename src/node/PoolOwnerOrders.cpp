#include "node/PoolOwner.h"

#include <algorithm>

#include <fmt/format.h>

#include "mustardtray/process/Log.h"

/// Sends the scheduler's orders to minions.

namespace mustardtray::node {

namespace {

constexpr Millis kOrderTimeout{ 500 };
/// Steps with waiting units that are logged at a time.
constexpr std::size_t kMaxLoggedSteps = 3;
/// Learned run times that are logged at a time.
constexpr std::size_t kMaxLoggedRunTimes = 4;
/// Minions that are slow against their peers and are logged at a time.
constexpr std::size_t kMaxLoggedSlowMinions = 8;
/// Awaited minions that are logged at a time.
constexpr std::size_t kMaxLoggedAwaited = 8;
/// Units that are logged with a crash of their minion.
constexpr std::size_t kMaxLoggedSuspects = 8;
/// The advisor handles this node's requests one at a time and needs time for each minion named.
constexpr Millis kAdviceTimeout{ 2'500 };

} // namespace

void PoolOwner::LogWaiting() const
{
  const TimePoint now = LeaseClockNow();
  const std::vector<job::WaitingStep> steps = m_scheduler.DescribeWaiting(kMaxLoggedSteps, now);
  if (steps.empty() || !IsAuthoritative()) {
    return;
  }
  const job::MinionCounts counts = m_scheduler.CountMinions(now);
  for (const job::WaitingStep& step : steps) {
    std::string obstacles;
    for (const auto& [obstacle, minions] : step.m_minionsByObstacle) {
      obstacles += fmt::format("{}{}:{}", obstacles.empty() ? "" : ",", ToName(obstacle), minions);
    }
    Log(LogCategory::Placement,
        LogLevel::Info,
        "step-waiting",
        "pool",
        Pool(),
        "step",
        step.m_name,
        "units",
        step.m_units,
        "long-running",
        step.m_isLongRunning,
        "recovering",
        step.m_waitsForRecovery,
        "minions",
        counts.m_known,
        "usable",
        counts.m_usable,
        "awaited",
        counts.m_awaited,
        "obstacles",
        obstacles);
  }
}

void PoolOwner::LogRunTimes()
{
  const std::uint64_t revision = m_scheduler.RunTimes().Revision();
  if (!IsAuthoritative() || revision == m_loggedRunTimes) {
    return;
  }
  m_loggedRunTimes = revision;
  for (const job::LearnedRunTime& time :
       m_scheduler.RunTimes().Learned().Describe(kMaxLoggedRunTimes)) {
    Log(LogCategory::Placement,
        LogLevel::Info,
        "run-times-learned",
        "pool",
        Pool(),
        "queue",
        time.m_queue,
        "step",
        time.m_step,
        "image",
        time.m_image,
        "remote",
        time.m_isRemote,
        "typical",
        time.m_factors.m_typical,
        "mean",
        time.m_factors.m_mean,
        "ends",
        time.m_count);
  }
  std::size_t slow = 0;
  std::string names;
  for (const auto& [id, minion] : m_scheduler.Minions()) {
    if (minion.m_isSlow && ++slow <= kMaxLoggedSlowMinions) {
      names += (names.empty() ? "" : ",") + id;
    }
  }
  if (slow > 0) {
    Log(LogCategory::Placement,
        LogLevel::Info,
        "minions-slow",
        "pool",
        Pool(),
        "count",
        slow,
        "minions",
        names);
  }
}

void PoolOwner::LogRecovery()
{
  const TimePoint now = LeaseClockNow();
  const job::MinionCounts counts = m_scheduler.CountMinions(now);
  const Millis elapsed = std::chrono::duration_cast<Millis>(now - m_loadedAt);
  if (!m_scheduler.IsRecovering(now)) {
    m_recoveryLogTimer.Cancel();
    Log(LogCategory::Placement,
        LogLevel::Info,
        "pool-recovered",
        "pool",
        Pool(),
        "after-ms",
        elapsed.count());
    return;
  }
  std::string awaited;
  for (const job::AwaitedMinion& minion : m_scheduler.DescribeAwaited(kMaxLoggedAwaited, now)) {
    awaited += fmt::format("{}{}/{}/{}/{}",
                           awaited.empty() ? "" : ",",
                           minion.m_minion,
                           minion.m_machine,
                           minion.m_isRegistered ? "registered" : "unregistered",
                           minion.m_leaseLeft.count());
  }
  Log(LogCategory::Placement,
      LogLevel::Info,
      "pool-recovering",
      "pool",
      Pool(),
      "for-ms",
      elapsed.count(),
      "awaited",
      counts.m_awaited,
      "minions", // Minion, machine, registration, and time in ms that its leases may last.
      awaited);
}

void PoolOwner::ExecuteOrders(job::PoolOrders aOrders)
{
  for (const job::StopOrder& order : aOrders.m_stops) {
    SendStop(order);
  }
  for (const job::StartOrder& order : aOrders.m_starts) {
    SendStart(order);
  }
  for (const job::ThrottleOrder& order : aOrders.m_throttles) {
    const auto session = m_sessions.find(order.m_minion);
    if (session != m_sessions.end()) {
      session->second->SendOrder(
        kOrderTimeout,
        [this, order](const platform::MinionTarget& aTarget,
                      platform::MinionClient::OrderCallback aDone) {
          m_context.m_minionClient.Pace(aTarget, order, kOrderTimeout, std::move(aDone));
        },
        [](platform::OrderResponse) {});
    }
  }
  for (const job::AdviceRequest& question : aOrders.m_adviceRequests) {
    RequestAdvice(question);
  }
  for (const job::CrashNotice& notice : aOrders.m_crashes) {
    LogCrash(notice);
  }
  LogLocalityWaits(aOrders);
  for (const std::string& machine : aOrders.m_lapsedCordons) {
    Log(LogCategory::Fleet, LogLevel::Info, "cordon-lapsed", "pool", Pool(), "machine", machine);
  }
  SaveJobs(aOrders.m_unsavedJobs);
}

void PoolOwner::LogCrash(const job::CrashNotice& aNotice) const
{
  const job::MinionCrash& crash = aNotice.m_crash;
  std::string suspects;
  for (std::size_t i = 0; i < std::min(crash.m_suspects.size(), kMaxLoggedSuspects); ++i) {
    const job::CrashSuspect& suspect = crash.m_suspects[i];
    const job::CrashCounts counts = aNotice.m_counts[i].value_or(job::CrashCounts{});
    suspects += fmt::format("{}{}/{}:{}/{}/{}/{}",
                            suspects.empty() ? "" : ",",
                            suspect.m_unit.Text(),
                            suspect.m_run,
                            counts.m_all,
                            counts.m_explained,
                            counts.m_alone,
                            counts.m_evidence);
  }
  Log(LogCategory::Placement,
      LogLevel::Warning,
      "minion-crashed",
      "pool",
      Pool(),
      "minion",
      crash.m_minion,
      "machine",
      crash.m_machine,
      "restarted-at-ms",
      crash.m_restartedAtMs,
      "coincident",
      crash.m_isCoincident,
      "units",
      crash.m_suspects.size(),
      "alone",
      crash.m_suspects.front().m_isAlone,
      "suspects", // Unit and run, and crashes: all, explained, alone, evidence in decibans.
      suspects);
  for (const std::string& unit : aNotice.m_isolatedUnits) {
    Log(LogCategory::Placement, LogLevel::Info, "unit-isolated", "pool", Pool(), "unit", unit);
  }
  for (const std::string& unit : aNotice.m_deadlyUnits) {
    Log(LogCategory::Placement, LogLevel::Warning, "unit-given-up", "pool", Pool(), "unit", unit);
  }
}

void PoolOwner::RequestAdvice(const job::AdviceRequest& aQuestion)
{
  const TimePoint askedAt = LeaseClockNow();
  m_context.m_minionClient.Advise(
    aQuestion,
    kAdviceTimeout,
    [this, aQuestion, askedAt, alive = std::weak_ptr<int>(m_alive)](Result<job::Advice> aAdvice) {
      if (alive.expired()) {
        return;
      }
      const TimePoint now = LeaseClockNow();
      if (aAdvice) {
        m_scheduler.OnAdvice(aQuestion, aAdvice.value(), askedAt);
      } else {
        m_scheduler.OnAdviceFailed(aQuestion, now);
      }
      Log(LogCategory::Placement,
          LogLevel::Info,
          "step-advised",
          "step",
          aQuestion.m_step,
          "asked",
          aQuestion.m_minions.size(),
          "good",
          aAdvice ? aAdvice.value().m_allowedMinions.size() : 0,
          "after-ms",
          std::chrono::duration_cast<Millis>(now - askedAt).count(),
          "error",
          aAdvice ? std::string("none") : aAdvice.error().Text());
      RequestDecision();
    });
}

void PoolOwner::SendStart(const job::StartOrder& aOrder)
{
  // Before the order takes a connection: others could use it while the order waits.
  m_context.m_http.AwaitLink(StartPriority(aOrder),
                             aOrder.m_payload.size(),
                             kOrderTimeout,
                             [this, aOrder, alive = std::weak_ptr<int>(m_alive)](bool aHasRoom) {
                               if (alive.expired()) {
                                 return;
                               }
                               if (aHasRoom) {
                                 SendReservedStart(aOrder);
                               } else {
                                 platform::OrderResponse response;
                                 response.m_result = job::OrderResult::NotSent;
                                 OnStartResponse(aOrder, response);
                               }
                             });
}

void PoolOwner::SendReservedStart(const job::StartOrder& aOrder)
{
  const auto session = m_sessions.find(aOrder.m_minion);
  if (session == m_sessions.end() || !m_context.m_lease.IsValid()) {
    m_scheduler.OnStartAnswer(aOrder, job::OrderResult::Rejected, LeaseClockNow());
    return;
  }
  session->second->SendOrder(
    kOrderTimeout,
    [this, aOrder](const platform::MinionTarget& aTarget,
                   platform::MinionClient::OrderCallback aDone) {
      const MinionSession& target = *m_sessions.at(aOrder.m_minion);
      const TimePoint now = LeaseClockNow();
      const std::int64_t until = target.LeaseDeadlineMs(now);
      m_scheduler.OnLeaseGranted(aOrder.m_minion, target.Clock().LatestTimeAt(until), now);
      Log(LogCategory::Placement,
          LogLevel::Info,
          "run-ordered",
          "unit",
          aOrder.m_unit,
          "run",
          aOrder.m_run,
          "minion",
          aOrder.m_minion,
          "token",
          aTarget.m_fencingToken);
      m_context.m_minionClient.Start(aTarget, aOrder, until, kOrderTimeout, std::move(aDone));
    },
    [this, aOrder](platform::OrderResponse aResponse) { OnStartResponse(aOrder, aResponse); });
}

CallPriority PoolOwner::StartPriority(const job::StartOrder& aOrder) const
{
  const auto unit = job::UnitId::Parse(aOrder.m_unit);
  const job::Job* job = unit ? m_scheduler.FindJob(unit->m_job) : nullptr;
  return job && job->m_record.m_spec.IsLongRunning() ? CallPriority::High : CallPriority::Normal;
}

void PoolOwner::OnStartResponse(const job::StartOrder& aOrder,
                                const platform::OrderResponse& aResponse)
{
  const bool hasStarted = aResponse.m_result == job::OrderResult::Started;
  if (!hasStarted) {
    Log(LogCategory::Placement,
        LogLevel::Info,
        "run-not-started",
        "unit",
        aOrder.m_unit,
        "run",
        aOrder.m_run,
        "minion",
        aOrder.m_minion,
        "reason",
        ToName(aResponse.m_result));
  }
  m_scheduler.OnStartAnswer(aOrder, aResponse.m_result, LeaseClockNow());
  if (!hasStarted) {
    RequestDecision();
  }
}

void PoolOwner::SendStop(const job::StopOrder& aOrder)
{
  const auto session = m_sessions.find(aOrder.m_minion);
  if (session == m_sessions.end()) {
    return;
  }
  if (!aOrder.m_isRepeated) {
    Log(LogCategory::Placement,
        LogLevel::Info,
        "run-stopping",
        "unit",
        aOrder.m_unit,
        "run",
        aOrder.m_run,
        "minion",
        aOrder.m_minion,
        "reason",
        ToName(aOrder.m_reason),
        "unavailable", // Other units of a long-running step.
        aOrder.m_unavailableOthers ? std::to_string(*aOrder.m_unavailableOthers) : "-");
  }
  session->second->SendOrder(
    kOrderTimeout,
    [this, aOrder](const platform::MinionTarget& aTarget,
                   platform::MinionClient::OrderCallback aDone) {
      m_context.m_minionClient.Stop(aTarget, aOrder, kOrderTimeout, std::move(aDone));
    },
    [this, aOrder](platform::OrderResponse aResponse) {
      m_scheduler.OnStopAnswer(aOrder, aResponse.m_result, LeaseClockNow());
    });
}

} // namespace mustardtray::node
