#pragma once

/// Accepts changes of the configuration into the platform's table: the shell around
/// ApplyOperation. Runs on the control thread and must outlive its operations.

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

/// Clocks and timers of the process, or of a test.
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

  /// Answers once, within about ten seconds and the platform's own timeouts.
  void Apply(ApplyRequest aRequest, Done aDone)
  {
    auto running = std::make_shared<Running>(
      Running{ ApplyOperation(std::move(aRequest), m_clock.m_now()), std::move(aDone), {} });
    ListVms(running);
  }

  /// The latest aCount changes, newest first, as the table holds them.
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

  /// Version that holds the operation; nothing when the table has no such operation.
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
  struct Running
  {
    ApplyOperation m_operation;
    Done m_done;
    std::vector<VmListing> m_vms;
  };
  using RunningPointer = std::shared_ptr<Running>;

  void ListVms(const RunningPointer& aRunning)
  {
    m_platform.ListVms([this, aRunning](Result<std::vector<VmListing>> aVms) {
      if (aVms.has_error()) {
        const auto step = aRunning->m_operation.OnReadError(aVms.error(), m_clock.m_now());
        Follow(aRunning, step, [this, aRunning] { ListVms(aRunning); });
        return;
      }
      aRunning->m_vms = std::move(aVms).value();
      Scan(aRunning);
    });
  }

  void Scan(const RunningPointer& aRunning)
  {
    const std::uint64_t since = m_revision;
    m_platform.Scan(
      std::string(kConfigPrefix), since, [this, aRunning, since](const Result<ScanPage>& aPage) {
        Result<void> taken =
          aPage.has_error() ? Result<void>(aPage.error()) : TakeScan(aPage.value(), since);
        if (taken.has_error()) {
          ReadAgain(aRunning, aRunning->m_operation.OnReadError(taken.error(), m_clock.m_now()));
          return;
        }
        Read(aRunning);
      });
  }

  Result<void> TakeScan(const ScanPage& aPage, std::uint64_t aSince)
  {
    const Result<ConfigDelta> delta = DeltaOfScan(aPage, aSince == 0, m_replica.Head());
    if (delta.has_error()) {
      return delta.error();
    }
    if (m_replica.Apply(delta.value()) == ReplicaUpdate::Mismatch) {
      m_revision = 0;
      return Error{ ErrorKind::Unavailable, "scan configuration", "", "an incomplete answer" };
    }
    m_revision = std::max(m_revision, aPage.m_revision);
    for (const Row& row : aPage.m_rows) {
      if (row.m_key == kConfigHeadKey) {
        m_headRowVersion = std::max(m_headRowVersion, row.m_version);
      }
    }
    return boost::outcome_v2::success();
  }

  void Read(const RunningPointer& aRunning)
  {
    m_platform.Read(aRunning->m_operation.KeysToRead(m_replica),
                    [this, aRunning](Result<std::vector<Row>> aRows) {
                      ApplyOperation& operation = aRunning->m_operation;
                      if (aRows.has_error()) {
                        ReadAgain(aRunning, operation.OnReadError(aRows.error(), m_clock.m_now()));
                        return;
                      }
                      ApplyFacts facts{ m_replica,
                                        m_headRowVersion,
                                        std::move(aRows).value(),
                                        aRunning->m_vms,
                                        m_clock.m_wallNow() };
                      ApplyStep step = operation.OnFacts(facts, m_clock.m_now());
                      if (step.m_transaction) {
                        Commit(aRunning, std::move(*step.m_transaction));
                        return;
                      }
                      ReadAgain(aRunning, step);
                    });
  }

  void Commit(const RunningPointer& aRunning, Transaction aTransaction)
  {
    m_platform.Transact(
      std::move(aTransaction), [this, aRunning](const Result<mustardtray::Commit>& aCommit) {
        ReadAgain(aRunning, aRunning->m_operation.OnCommit(aCommit, m_clock.m_now()));
      });
  }

  void ReadAgain(const RunningPointer& aRunning, const ApplyStep& aStep)
  {
    Follow(aRunning, aStep, [this, aRunning] { Scan(aRunning); });
  }

  void Follow(const RunningPointer& aRunning, const ApplyStep& aStep, std::function<void()> aAgain)
  {
    if (!aStep.m_outcome) {
      m_clock.m_after(aStep.m_delay, std::move(aAgain));
      return;
    }
    const ApplyOutcome& outcome = *aStep.m_outcome;
    Log(LogCategory::Configuration,
        LogLevel::Info,
        "change-judged",
        "operation",
        outcome.m_operationId,
        "operator",
        aRunning->m_operation.Request().m_operator,
        "status",
        ToName(outcome.m_status),
        "version",
        outcome.m_version,
        "message",
        outcome.m_message);
    aRunning->m_done(outcome);
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
  std::uint64_t m_revision = 0;       ///< Of the latest scan taken.
  std::uint64_t m_headRowVersion = 0; ///< Of the head in m_replica.
};

} // namespace mustardtray
