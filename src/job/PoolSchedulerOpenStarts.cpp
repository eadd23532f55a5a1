#include "mustardtray/job/PoolScheduler.h"

/// Start orders that got no answer. The minion may still carry the order out, and so may its next
/// incarnation, which remembers neither a stop nor a token. While the order may take effect, its
/// unit starts only on that minion: a restart then ends the newer run as well.

namespace mustardtray::job {

namespace {

/// Time after which an unanswered stop order is repeated.
constexpr Millis kStopResendDelay{ 400 };
/// A run that begins after a list without it is not at work within this time.
constexpr Millis kMaxListAge{ 100 };

} // namespace

void PoolScheduler::CollectBindings(TimePoint aNow)
{
  m_openOrders.clear();
  for (const auto& [id, minion] : m_minions) {
    for (const auto& [name, start] : minion.m_openStarts) {
      const auto run = minion.m_runs.find(name.first);
      const bool isOfRun = run != minion.m_runs.end() && run->second.m_run == name.second;
      if (!isOfRun && MayHaveEffect(start, minion, aNow)) {
        m_openOrders.emplace(
          name.first, OpenOrder{ id, start.m_isRevoked, minion.IsLeaving(), start.m_orderedAt });
      }
    }
  }
}

PoolScheduler::StartBinding PoolScheduler::BindingOf(const QueuedStep& aQueued,
                                                     std::uint32_t aIndex,
                                                     TimePoint aNow) const
{
  const StepSpec& spec = aQueued.Spec();
  if (m_openOrders.empty() || spec.m_isSpeculative) {
    return {};
  }
  const UnitId id{ aQueued.m_job->m_record.m_id, aQueued.m_occurrence, aQueued.m_step, aIndex };
  StartBinding binding;
  const auto [first, last] = m_openOrders.equal_range(id.Text());
  for (auto entry = first; entry != last; ++entry) {
    const OpenOrder& order = entry->second;
    const bool isTooLong = order.m_isLeaving || aNow - order.m_orderedAt > kMaxLongRunningOrderWait;
    if (spec.m_isLongRunning && isTooLong) {
      continue;
    }
    const bool isOther = binding.m_minion && *binding.m_minion != order.m_minion;
    binding.m_mustWait = binding.m_mustWait || isOther || !order.m_isRevoked;
    binding.m_minion = &order.m_minion;
  }
  return binding;
}

bool PoolScheduler::HasBoundUnit(const QueuedStep& aQueued, TimePoint aNow) const
{
  if (m_openOrders.empty()) {
    return false;
  }
  for (std::uint32_t i = 0; i < aQueued.State().m_units.size(); ++i) {
    if (!IsWaiting(aQueued, i)) {
      continue;
    }
    const StartBinding binding = BindingOf(aQueued, i, aNow);
    if (binding.m_mustWait || binding.m_minion) {
      return true;
    }
  }
  return false;
}

void PoolScheduler::LoadOpenStart(const std::string& aMinion,
                                  const RunName& aRun,
                                  TimePoint aLatestOrder)
{
  MinionState& minion = m_minions[aMinion];
  OpenStart& start = minion.m_openStarts[aRun];
  start.m_orderedAt = aLatestOrder;
  start.m_isUnanswered = true;
  minion.m_recordedStarts.insert(aRun);
}

void PoolScheduler::RefuseFormerOrders(MinionState& aMinion,
                                       const LeaseReport& aReport,
                                       TimePoint aNow) const
{
  if (!aReport.m_isFencing || aReport.m_fencingToken == aMinion.m_fencingToken) {
    return;
  }
  const bool hasAnswered = aMinion.m_fencingToken != 0;
  if (!aMinion.m_openStarts.empty() || (hasAnswered && HasOpenGrant(aMinion, aNow))) {
    AssumeLongestLease(aMinion, aNow); // A former call may have been carried out before this one.
  }
  for (auto& [name, start] : aMinion.m_openStarts) {
    start.m_isRevoked = start.m_isRevoked || start.m_fencingToken < aReport.m_fencingToken;
    const auto entry = aMinion.m_runs.find(name.first);
    const bool hasRun = entry != aMinion.m_runs.end() && entry->second.m_run == name.second;
    if (!hasRun) {
      continue;
    }
    const bool isPutOff = entry->second.m_phase == RunPhase::Starting &&
                          entry->second.m_isLongRunning && start.m_isUnanswered;
    if (start.m_isRevoked && (isPutOff || entry->second.m_phase == RunPhase::Stopping)) {
      entry->second.m_phase = RunPhase::Stopping;
      entry->second.m_stopReason =
        isPutOff ? StopReason::StartUnanswered : entry->second.m_stopReason;
      entry->second.m_isStopConfirmed = true;
      entry->second.m_confirmedAt = {};
    }
  }
}

void PoolScheduler::RevokeStart(MinionState& aMinion, Run& aRun, TimePoint aNow)
{
  const bool isKnownNotToRun = !aRun.m_isListed && aMinion.m_listAskedAt > aRun.m_orderedAt &&
                               !aMinion.m_hasMoreEnds &&
                               aNow - aMinion.m_lastAnswerAt <= kMaxListAge;
  if (!aRun.m_isLongRunning || isKnownNotToRun || CanEvict(aRun, nullptr, aNow)) {
    StopRun(aMinion, aRun, StopReason::StartUnanswered, aNow);
  } else if (aRun.m_phase != RunPhase::Stopping) {
    aRun.m_phase = RunPhase::Starting;
    aRun.m_confirmedAt = {};
    const auto start = aMinion.m_openStarts.find({ aRun.m_unit.Text(), aRun.m_run });
    if (start != aMinion.m_openStarts.end()) {
      start->second.m_isUnanswered = true;
    }
  }
}

void PoolScheduler::ResendStops(TimePoint aNow)
{
  for (auto& [id, minion] : m_minions) {
    for (auto& [name, run] : minion.m_runs) {
      const auto start = minion.m_openStarts.find({ name, run.m_run });
      const bool isUnanswered =
        run.m_phase == RunPhase::Starting && run.m_isLongRunning &&
        (start == minion.m_openStarts.end() || start->second.m_isUnanswered);
      const bool isUnconfirmed = run.m_phase == RunPhase::Stopping && !run.m_isStopConfirmed &&
                                 aNow - run.m_lastStopAt > kStopResendDelay;
      if (isUnanswered || (isUnconfirmed && run.m_stopReason == StopReason::StartUnanswered)) {
        RevokeStart(minion, run, aNow);
      } else if (isUnconfirmed) {
        StopRun(minion, run, run.m_stopReason, aNow);
      }
    }
    RevokeOpenStarts(minion, aNow);
  }
}

void PoolScheduler::RevokeOpenStarts(MinionState& aMinion, TimePoint aNow)
{
  for (auto& [key, start] : aMinion.m_openStarts) {
    const auto& [unit, runNumber] = key;
    const auto run = aMinion.m_runs.find(unit);
    const bool hasRun = run != aMinion.m_runs.end() && run->second.m_run == runNumber;
    if (hasRun || start.m_isRevoked || !aMinion.m_isFenced ||
        aNow - start.m_lastStopAt <= kStopResendDelay) {
      continue;
    }
    const bool isRepeated = start.m_lastStopAt != TimePoint{};
    start.m_lastStopAt = aNow;
    m_orders.m_stops.push_back({ aMinion.m_entry.m_id,
                                 unit,
                                 runNumber,
                                 StopReason::StartUnanswered,
                                 isRepeated,
                                 aMinion.m_entry.m_startedAtMs });
  }
}

} // namespace mustardtray::job
