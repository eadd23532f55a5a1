#include "node/PoolOwner.h"

#include <algorithm>

/// Records of the minions that may run work of the pool, for the next owner.

namespace mustardtray::node {

namespace {

/// Before a record that the store rejected is written again.
constexpr Millis kRejectedRecordDelay{ 1'000 };

} // namespace

std::set<job::RunName> PoolOwner::StartsToRecord(const job::MinionState& aMinion) const
{
  // The next owner may claim the pool before the pending answers are here.
  return aMinion.OpenStarts(m_isDraining);
}

std::string PoolOwner::EncodeRecord(job::MinionState& aMinion)
{
  aMinion.m_recordedStarts = StartsToRecord(aMinion);
  aMinion.m_recordedStartMs = aMinion.m_entry.m_startedAtMs;
  aMinion.m_isLongLeaseRecorded = LeaseClockNow() < aMinion.m_longLeaseUntil;
  return EncodeUsedMinion(
    { aMinion.m_entry, {}, aMinion.m_recordedStarts, aMinion.m_isLongLeaseRecorded });
}

void PoolOwner::RecordOpenStarts()
{
  const TimePoint now = LeaseClockNow();
  for (auto& [id, minion] : m_scheduler.Minions()) {
    const bool hasRecord = minion.m_isRecorded && !minion.m_isReleased && !minion.m_isLeaseFinal;
    const bool isOutdated = minion.m_recordedStarts != StartsToRecord(minion) ||
                            minion.m_recordedStartMs != minion.m_entry.m_startedAtMs ||
                            minion.m_isLongLeaseRecorded != (now < minion.m_longLeaseUntil);
    if (hasRecord && isOutdated) {
      m_batchWriter.Put(kUsedMinionTable, id, EncodeRecord(minion), [](WriteOutcome) {});
    }
  }
}

void PoolOwner::RecordMinion(const std::string& aId)
{
  const auto found = m_scheduler.Minions().find(aId);
  const auto earlier = m_pendingRecords.find(aId);
  if (found == m_scheduler.Minions().end() ||
      (earlier != m_pendingRecords.end() && LeaseClockNow() < earlier->second.m_retryAt)) {
    return;
  }
  job::MinionState& minion = found->second;
  if (!minion.m_isRegistered || minion.m_isRecorded || minion.m_isReleased ||
      minion.m_isLeaseFinal) {
    return;
  }
  const std::uint64_t number = ++m_lastRecordNumber;
  m_pendingRecords[aId] = { number };
  // A removal that replaces this write runs its callback, too.
  m_batchWriter.Put(
    kUsedMinionTable,
    aId,
    EncodeRecord(minion),
    [this, aId, number, alive = std::weak_ptr<int>(m_alive)](WriteOutcome aOutcome) {
      if (alive.expired() || aOutcome == WriteOutcome::OwnershipLost) {
        return;
      }
      const auto pending = m_pendingRecords.find(aId);
      if (pending == m_pendingRecords.end() || pending->second.m_number != number) {
        return; // The record has been removed since.
      }
      if (aOutcome == WriteOutcome::Rejected) {
        pending->second.m_retryAt = LeaseClockNow() + kRejectedRecordDelay;
        return;
      }
      m_pendingRecords.erase(pending);
      const auto minion = m_scheduler.Minions().find(aId);
      if (minion != m_scheduler.Minions().end()) {
        minion->second.m_isRecorded = true;
        RequestDecision();
      }
    });
}

void PoolOwner::RemoveRecord(const std::string& aId)
{
  m_pendingRecords.erase(aId);
  m_batchWriter.Put(kUsedMinionTable, aId, std::nullopt, [](WriteOutcome) {});
}

void PoolOwner::RemoveRecordsOfDrained()
{
  for (const std::string& id : m_scheduler.TakeDrainedMinions()) {
    RemoveRecord(id);
  }
}

void PoolOwner::RecordFinalLeases()
{
  RecordOpenStarts();
  const TimePoint now = LeaseClockNow();
  for (const std::string& id : m_scheduler.EndLeasesOfUnresponsive()) {
    const job::MinionState& minion = m_scheduler.Minions().at(id);
    const Millis left = std::chrono::ceil<Millis>(minion.m_leaseEnd - now);
    m_batchWriter.Put(kUsedMinionTable,
                      id,
                      EncodeUsedMinion({ minion.m_entry,
                                         FinalLease{ m_claim.m_epoch, std::max(left, Millis{ 0 }) },
                                         minion.OpenStarts(true),
                                         now < minion.m_longLeaseUntil }),
                      [](WriteOutcome) {});
  }
}

} // namespace mustardtray::node
