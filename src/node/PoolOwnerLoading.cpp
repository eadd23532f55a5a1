#include "node/PoolOwner.h"

#include <algorithm>

#include "mustardtray/process/Log.h"

/// Loads a pool's state from the store; the owner decides nothing before.

namespace mustardtray::node {

namespace {

constexpr Millis kDecisionPeriod{ 100 };
constexpr Millis kWaitingLogPeriod{ 2'000 };
constexpr Millis kRecoveryLogPeriod{ 500 };
/// A takeover waits for the longest lease of an earlier owner, on a minion clock that runs 2% slow,
/// plus a margin.
constexpr double kClockSlowdown = 1.03;
constexpr Millis kTakeoverMargin{ 300 };

} // namespace

job::PoolPolicy PoolOwner::MakePolicy(const NodeContext& aContext)
{
  return { MaxRunLease(aContext),
           aContext.m_settings.m_bounds.m_maxRunLease,
           aContext.m_settings.m_learnsRunTimes,
           { aContext.m_settings.m_bounds.m_rateWindow, aContext.m_settings.m_bounds.m_rateSlack },
           aContext.m_settings.m_waitsForData ? aContext.m_settings.m_bounds.m_remoteDataSlowdown
                                              : 1.0 };
}

Millis PoolOwner::LongestInheritedLease(const UsedMinion& aMinion) const
{
  const auto withMargin = [](Millis aLease) {
    return job::Scaled(aLease, kClockSlowdown) + kTakeoverMargin;
  };
  const Millis longestGranted = withMargin(m_context.m_settings.m_bounds.m_maxRunLease);
  const Millis longest =
    aMinion.m_hasLongLease ? longestGranted : withMargin(MaxRunLease(m_context));
  const std::optional<FinalLease>& final = aMinion.m_finalLease;
  // Owners between the one that wrote the row and this one may have given other leases.
  const bool isOfFormerOwner = final && final->m_epoch + 1 == m_claim.m_epoch;
  return isOfFormerOwner ? std::min(final->m_left, longestGranted) : longest;
}

void PoolOwner::StartLoading()
{
  const auto toMap = [](std::map<std::string, std::string>& aTarget) {
    return [&aTarget](std::vector<platform::Row>& aRows) {
      for (platform::Row& row : aRows) {
        aTarget[row.m_rowId.m_key] = std::move(row.m_value);
      }
    };
  };
  const auto onHead = [this](std::vector<platform::Row>& aRows) { m_batchWriter.LoadHead(aRows); };
  const TimePoint claimedAt = LeaseClockNow();
  const auto onMinions = [this, claimedAt](std::vector<platform::Row>& aRows) {
    for (const platform::Row& row : aRows) {
      const std::string& id = row.m_rowId.m_key;
      const UsedMinion used = DecodeUsedMinion(id, row.m_value);
      const TimePoint leaseEnd = claimedAt + LongestInheritedLease(used);
      m_scheduler.AwaitMinion(id, leaseEnd);
      job::MinionState& minion = m_scheduler.Minions()[id];
      minion.m_entry = used.m_entry;
      minion.m_isRegistered = false;
      minion.m_isRecorded = true;
      minion.m_isLongLeaseRecorded = used.m_hasLongLease;
      minion.m_recordedStartMs = used.m_entry.m_startedAtMs;
      minion.m_longLeaseUntil = used.m_hasLongLease ? leaseEnd : TimePoint{};
      minion.m_leaseEnd = leaseEnd;
      for (const job::RunName& start : used.m_openStarts) {
        m_scheduler.LoadOpenStart(id, start, claimedAt);
      }
    }
  };
  const auto onForwards = [this](std::vector<platform::Row>& aRows) {
    for (const platform::Row& row : aRows) {
      LoadForward(row);
    }
  };
  const auto onRead = [this, claimedAt, reads = std::make_shared<int>(3)] {
    if (--*reads == 0) {
      OnInboxRead(claimedAt);
      FinishLoading();
    }
  };
  // Only owners move rows from the inbox, so it can be read beside the other tables.
  m_reader.ReadTable(
    kInboxTable, [this](std::vector<platform::Row>& aRows) { OnInboxRows(aRows); }, onRead);
  m_reader.ReadTable(kForwardTable, onForwards, onRead);
  m_reader.ReadTable(kHeadTable, onHead, [=, this] {
    m_reader.ReadTable(kUsedMinionTable, onMinions, [=, this] {
      m_reader.ReadTable(kJobTable, toMap(m_loadedJobs), [=, this] {
        m_reader.ReadTable(kProgressTable, toMap(m_loadedProgress), onRead);
      });
    });
  });
}

void PoolOwner::FinishLoading()
{
  const WorkMeter::Scope scope(m_context.m_work, WorkPart::PoolLoad);
  const TimePoint now = LeaseClockNow();
  const WallTime wallNow = WallNow();
  std::size_t count = 0;
  for (const auto& [id, value] : m_loadedJobs) {
    auto record = job::DecodeJobRecord(value);
    if (!record) {
      Log(LogCategory::Placement,
          LogLevel::Error,
          "job-unreadable",
          "job",
          id,
          "error",
          record.error().Text());
      continue;
    }
    if (!IsLoadedHere(record.value(), m_loadedProgress[id])) {
      continue;
    }
    const auto loaded =
      m_scheduler.LoadJob(std::move(record.value()), m_loadedProgress[id], now, wallNow);
    if (!loaded) {
      Log(LogCategory::Placement,
          LogLevel::Error,
          "progress-unreadable",
          "job",
          id,
          "error",
          loaded.error().Text());
      continue;
    }
    ++count;
  }
  m_loadedJobs.clear();
  m_loadedProgress.clear();
  m_begunMoves.clear();
  m_isLoaded = true;
  m_loadedAt = now;
  Log(LogCategory::Membership,
      LogLevel::Info,
      "pool-loaded",
      "pool",
      Pool(),
      "token",
      m_claim.m_version,
      "epoch",
      m_claim.m_epoch,
      "jobs",
      count);
  for (const job::MinionEntry& entry : m_deferredMinionEntries) {
    OnMinionEntry(entry);
  }
  m_deferredMinionEntries.clear();
  for (const job::MachineIncarnation& incarnation : m_deferredIncarnations) {
    OnMachineIncarnation(incarnation);
  }
  m_deferredIncarnations.clear();
  for (auto& [id, minion] : m_scheduler.Minions()) {
    StartSession(id);
  }
  OnInboxRows(m_deferredInboxRows);
  m_deferredInboxRows.clear();
  m_periodicTimer = m_context.m_timers.Every(kDecisionPeriod, 0, [this] { DecideNow(); });
  m_recoveryLogTimer = m_context.m_timers.Every(kRecoveryLogPeriod, 0, [this] { LogRecovery(); });
  m_logTimer = m_context.m_timers.Every(kWaitingLogPeriod, 0, [this] {
    LogWaiting();
    LogAllowances();
    LogRunTimes();
    LogAccountShares();
  });
  DecideNow();
}

} // namespace mustardtray::node
