#pragma once

/// In-process platform for tests and benchmarks: implements PlatformAccess on a PlatformTable, with
/// fault injection. Not thread-safe.

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mustardtray/process/Platform.h"
#include "standin/PlatformTable.h"

namespace mustardtray {

/// State shared by all nodes. Several FakePlatforms, each with its own faults, may use one state.
struct FakePlatformState
{
  PlatformTable m_table;
  std::vector<VmListing> m_vms;
  std::map<std::string, ActionState> m_actionStates; ///< By operation id.
  std::vector<VmActionRequest> m_actions; ///< Executed, in order; each operation id occurs once.
  std::size_t m_transactions = 0;         ///< Transactions that reached the table.
  std::size_t m_rowsWritten = 0;
};

enum class FakeDelay
{
  None,      ///< Calls take effect and call back immediately.
  Responses, ///< Calls take effect immediately; RunPending() calls back.
  Requests,  ///< RunPending() applies the calls and calls back.
};

/// Access of one node to the shared state.
class FakePlatform
{
public:
  explicit FakePlatform(FakePlatformState& aState)
    : m_state(aState)
  {
  }

  // The following fault settings may be changed at any time.
  bool m_isDown = false;     ///< Every call fails with Unavailable and has no effect.
  int m_responsesToLose = 0; ///< Number of transactions that take effect and fail with Unknown.
  int m_requestsToLose = 0;  ///< Number of transactions that have no effect and fail with Unknown.
  FakeDelay m_delay = FakeDelay::None;
  /// Initial state of each VM action; tests end a running action through m_actionStates.
  ActionState m_firstActionState = ActionState::Done;

  /// Freezes the results of reads, scans and VM lists at the current state until
  /// SetStaleReads(false); writes still apply to the latest state.
  void SetStaleReads(bool aStale)
  {
    m_readRevision = aStale ? m_state.m_table.Revision() : PlatformTable::kLatest;
    m_staleVms = m_state.m_vms;
    m_state.m_table.KeepHistoryFrom(m_readRevision);
  }

  /// Runs up to aCount delayed calls in order and returns the number of calls run. Calls that are
  /// made in the meantime wait for the next RunPending().
  std::size_t RunPending(std::size_t aCount = SIZE_MAX)
  {
    const std::size_t count = std::min(aCount, m_pendingCalls.size());
    for (std::size_t i = 0; i < count; ++i) {
      const auto next = std::move(m_pendingCalls.front());
      m_pendingCalls.pop_front();
      next();
    }
    return count;
  }
  std::size_t PendingCount() const { return m_pendingCalls.size(); }
  /// Drops delayed calls without calling back, which simulates a crash of the node.
  void DropPending() { m_pendingCalls.clear(); }

  void Transact(Transaction aTransaction, Callback<Commit> aCallback)
  {
    ExecuteCall<Commit>(std::move(aCallback), [this, transaction = std::move(aTransaction)] {
      return DoTransact(transaction);
    });
  }

  void Read(std::vector<std::string> aKeys, Callback<std::vector<Row>> aCallback)
  {
    ExecuteCall<std::vector<Row>>(std::move(aCallback),
                                  [this, keys = std::move(aKeys)]() -> Result<std::vector<Row>> {
                                    return m_state.m_table.Read(keys, m_readRevision);
                                  });
  }

  void Scan(std::string aPrefix, std::uint64_t aSince, Callback<ScanPage> aCallback)
  {
    ExecuteCall<ScanPage>(std::move(aCallback),
                          [this, prefix = std::move(aPrefix), aSince]() -> Result<ScanPage> {
                            return m_state.m_table.Scan(prefix, aSince, m_readRevision);
                          });
  }

  void ListVms(Callback<std::vector<VmListing>> aCallback)
  {
    ExecuteCall<std::vector<VmListing>>(
      std::move(aCallback), [this]() -> Result<std::vector<VmListing>> {
        return m_readRevision == PlatformTable::kLatest ? m_state.m_vms : m_staleVms;
      });
  }

  void RunVmAction(VmActionRequest aRequest, Callback<ActionState> aCallback)
  {
    ExecuteCall<ActionState>(std::move(aCallback),
                             [this, request = std::move(aRequest)] { return DoAction(request); });
  }

private:
  template<typename T>
  void ExecuteCall(Callback<T> aCallback, std::function<Result<T>()> aEffect)
  {
    if (m_delay == FakeDelay::Requests) {
      m_pendingCalls.push_back(
        [this, callback = std::move(aCallback), effect = std::move(aEffect)] {
          callback(ExecuteUnlessDown<T>(effect));
        });
      return;
    }
    Result<T> result = ExecuteUnlessDown<T>(aEffect);
    if (m_delay == FakeDelay::Responses) {
      m_pendingCalls.push_back(
        [callback = std::move(aCallback), result = std::move(result)] { callback(result); });
      return;
    }
    aCallback(std::move(result));
  }

  template<typename T>
  Result<T> ExecuteUnlessDown(const std::function<Result<T>()>& aEffect)
  {
    if (m_isDown) {
      return Error{
        ErrorKind::Unavailable, "reach platform", "fake platform", "the platform is down"
      };
    }
    return aEffect();
  }

  Result<Commit> DoTransact(const Transaction& aTransaction)
  {
    const Error lost{ ErrorKind::Unknown, "transact", "fake platform", "the response was lost" };
    if (m_requestsToLose > 0) {
      --m_requestsToLose;
      return lost;
    }
    const Commit commit = m_state.m_table.Transact(aTransaction);
    ++m_state.m_transactions;
    m_state.m_rowsWritten += commit.m_isCommitted ? aTransaction.m_writes.size() : 0;
    if (m_responsesToLose > 0) {
      --m_responsesToLose;
      return lost;
    }
    return commit;
  }

  Result<ActionState> DoAction(const VmActionRequest& aRequest)
  {
    const auto [found, isNew] =
      m_state.m_actionStates.try_emplace(aRequest.m_operationId, m_firstActionState);
    if (isNew) {
      m_state.m_actions.push_back(aRequest);
    }
    return found->second;
  }

  FakePlatformState& m_state;
  std::uint64_t m_readRevision = PlatformTable::kLatest;
  std::vector<VmListing> m_staleVms;
  std::deque<std::function<void()>> m_pendingCalls;
};

static_assert(PlatformAccess<FakePlatform>);

} // namespace mustardtray
