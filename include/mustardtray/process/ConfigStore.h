#pragma once

/// Writes accepted changes of the configuration to the platform's table: performs the I/O that
/// ApplyOperation decides on. Used on the control thread only. Must outlive its operations.

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mustardtray/process/ApplyOperation.h"
#include "mustardtray/process/Log.h"
#include "mustardtray/process/Platform.h"

namespace mustardtray {

/// Clocks and timers, which tests replace.
struct ConfigStoreClock
{
  std::function<TimePoint()> m_now;
  std::function<WallTime()> m_wallNow;
  std::function<void(Millis, std::function<void()>)> m_after;
};

template<PlatformAccess P>
class ConfigStore
{
public:
  using Done = std::function<void(ApplyOutcome)>;

  ConfigStore(P& aPlatform, ConfigStoreClock aClock)
    : m_platform(aPlatform)
    , m_clock(std::move(aClock))
  {
  }

  /// Calls aDone exactly once, after at most about 10 s plus the timeouts of the platform calls.
  void Apply(ApplyRequest aRequest, Done aDone)
  {
    auto pending = std::make_shared<PendingApply>(
      PendingApply{ ApplyOperation(std::move(aRequest), m_clock.m_now()), std::move(aDone), {} });
    ListVms(pending);
  }

  /// Reads the history rows of the latest aCount changes, newest first.
  void History(std::size_t aCount, Callback<std::vector<Json>> aCallback)
  {
    m_platform.Read({ std::string(kConfigHeadKey) },
                    [this, aCount, aCallback](const Result<std::vector<Row>>& aRows) {
                      if (aRows.has_error()) {
                        aCallback(aRows.error());
                        return;
                      }
                      ReadHistory(aRows.value(), aCount, aCallback);
                    });
  }

  /// Finds the version that the operation created; empty when the table has no such operation.
  void FindOperation(const std::string& aId, Callback<std::optional<std::uint64_t>> aCallback)
  {
    m_platform.Read(
      { ConfigOperationKey(aId) }, [aCallback](const Result<std::vector<Row>>& aRows) {
        if (aRows.has_error()) {
          aCallback(aRows.error());
          return;
        }
        std::optional<std::uint64_t> version;
        if (!aRows.value().empty()) {
          version = aRows.value().front().m_value.value("version", std::uint64_t{ 0 });
        }
        aCallback(version);
      });
  }

private:
  struct PendingApply
  {
    ApplyOperation m_operation;
    Done m_done;
    std::vector<VmListing> m_vms;
  };
  using PendingApplyPointer = std::shared_ptr<PendingApply>;

  void ListVms(const PendingApplyPointer& aPending)
  {
    m_platform.ListVms([this, aPending](Result<std::vector<VmListing>> aVms) {
      if (aVms.has_error()) {
        const auto step = aPending->m_operation.OnReadError(aVms.error(), m_clock.m_now());
        RunStep(aPending, step, [this, aPending] { ListVms(aPending); });
        return;
      }
      aPending->m_vms = std::move(aVms).value();
      Scan(aPending);
    });
  }

  void Scan(const PendingApplyPointer& aPending)
  {
    const std::uint64_t since = m_revision;
    m_platform.Scan(
      std::string(kConfigPrefix), since, [this, aPending, since](const Result<ScanPage>& aPage) {
        Result<void> applied =
          aPage.has_error() ? Result<void>(aPage.error()) : ApplyScan(aPage.value(), since);
        if (applied.has_error()) {
          RunStepOrRescan(aPending,
                          aPending->m_operation.OnReadError(applied.error(), m_clock.m_now()));
          return;
        }
        Read(aPending);
      });
  }

  Result<void> ApplyScan(const ScanPage& aPage, std::uint64_t aSince)
  {
    const Result<ConfigDelta> delta = DeltaOfScan(aPage, aSince == 0, m_replica.Head());
    if (delta.has_error()) {
      return delta.error();
    }
    if (m_replica.Apply(delta.value()) == ReplicaUpdate::Mismatch) {
      m_revision = 0;
      return Error{ ErrorKind::Unavailable, "scan configuration", "", "the scan is incomplete" };
    }
    m_revision = std::max(m_revision, aPage.m_revision);
    for (const Row& row : aPage.m_rows) {
      if (row.m_key == kConfigHeadKey) {
        m_headRowVersion = std::max(m_headRowVersion, row.m_version);
      }
    }
    return boost::outcome_v2::success();
  }

  void Read(const PendingApplyPointer& aPending)
  {
    m_platform.Read(aPending->m_operation.KeysToRead(m_replica),
                    [this, aPending](Result<std::vector<Row>> aRows) {
                      ApplyOperation& operation = aPending->m_operation;
                      if (aRows.has_error()) {
                        RunStepOrRescan(aPending,
                                        operation.OnReadError(aRows.error(), m_clock.m_now()));
                        return;
                      }
                      ApplyInput input{ m_replica,
                                        m_headRowVersion,
                                        std::move(aRows).value(),
                                        aPending->m_vms,
                                        m_clock.m_wallNow() };
                      ApplyStep step = operation.OnInput(input, m_clock.m_now());
                      if (step.m_transaction) {
                        Commit(aPending, std::move(*step.m_transaction));
                        return;
                      }
                      RunStepOrRescan(aPending, step);
                    });
  }

  void Commit(const PendingApplyPointer& aPending, Transaction aTransaction)
  {
    m_platform.Transact(
      std::move(aTransaction), [this, aPending](const Result<mustardtray::Commit>& aCommit) {
        RunStepOrRescan(aPending, aPending->m_operation.OnCommit(aCommit, m_clock.m_now()));
      });
  }

  void RunStepOrRescan(const PendingApplyPointer& aPending, const ApplyStep& aStep)
  {
    RunStep(aPending, aStep, [this, aPending] { Scan(aPending); });
  }

  void RunStep(const PendingApplyPointer& aPending,
               const ApplyStep& aStep,
               std::function<void()> aRetry)
  {
    if (!aStep.m_outcome) {
      m_clock.m_after(aStep.m_delay, std::move(aRetry));
      return;
    }
    const ApplyOutcome& outcome = *aStep.m_outcome;
    Log(LogCategory::Configuration,
        LogLevel::Info,
        "change-finished",
        "operation",
        outcome.m_operationId,
        "operator",
        aPending->m_operation.Request().m_operator,
        "status",
        ToName(outcome.m_status),
        "version",
        outcome.m_version,
        "message",
        outcome.m_message);
    aPending->m_done(outcome);
  }

  void ReadHistory(const std::vector<Row>& aHeadRows,
                   std::size_t aCount,
                   Callback<std::vector<Json>> aCallback)
  {
    std::uint64_t version = 0;
    if (!aHeadRows.empty()) {
      version = aHeadRows.front().m_value.value("version", std::uint64_t{ 0 });
    }
    std::vector<std::string> keys;
    for (; version > 0 && keys.size() < std::min<std::size_t>(aCount, kConfigHistoryLength);
         --version) {
      keys.push_back(ConfigHistoryKey(version));
    }
    m_platform.Read(std::move(keys), [aCallback](const Result<std::vector<Row>>& aRows) {
      if (aRows.has_error()) {
        aCallback(aRows.error());
        return;
      }
      std::vector<Json> entries;
      for (const Row& row : aRows.value()) {
        entries.push_back(row.m_value);
      }
      aCallback(std::move(entries));
    });
  }

  P& m_platform;
  ConfigStoreClock m_clock;
  ConfigReplica m_replica;
  std::uint64_t m_revision = 0;       ///< Table revision of the latest applied scan.
  std::uint64_t m_headRowVersion = 0; ///< Row version of the head in m_replica.
};

} // namespace mustardtray
