#pragma once

/// An in-process platform for tests and benches: PlatformAccess over a PlatformTable, with switches
/// for faults. Single-threaded.

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

/// What all nodes see in common. Several FakePlatforms, each with its own faults, may share one.
struct FakePlatformState
{
  PlatformTable m_table;
  std::vector<VmListing> m_vms;
  std::map<std::string, ActionState> m_actionStates; ///< By operation id.
  std::vector<VmActionRequest> m_actions;            ///< Carried out, in order, each id once.
  std::size_t m_transactions = 0;                    ///< Calls that reached the table.
  std::size_t m_rowsWritten = 0;
};

enum class FakeDelay
{
  None,     ///< Calls take effect and call back at once.
  Answers,  ///< Calls take effect at once; Pump() calls back.
  Requests, ///< Pump() lets calls take effect and calls back.
};

/// One node's access to the shared state.
class FakePlatform
{
public:
  explicit FakePlatform(FakePlatformState& aState)
    : m_state(aState)
  {
  }

  // Switches: set at any time.
  bool m_down = false;        ///< Every call fails as Unavailable, without effect.
  int m_loseNextAnswers = 0;  ///< Transactions that take effect and end as Unknown.
  int m_loseNextRequests = 0; ///< Transactions that take no effect and end as Unknown.
  FakeDelay m_delay = FakeDelay::None;
  /// First state of each VM action; tests finish a running one through m_actionStates.
  ActionState m_firstActionState = ActionState::Done;

  /// Reads, scans and VM lists answer as of now until SetStale(false); writes stay current.
  void SetStale(bool aStale)
  {
    m_asOf = aStale ? m_state.m_table.Revision() : PlatformTable::kLatest;
    m_staleVms = m_state.m_vms;
    m_state.m_table.KeepHistoryFrom(m_asOf);
  }

  /// Runs up to aCount delayed calls, in order; returns how many ran. Calls made meanwhile wait for
  /// the next Pump().
  std::size_t Pump(std::size_t aCount = SIZE_MAX)
  {
    const std::size_t count = std::min(aCount, m_pending.size());
    for (std::size_t i = 0; i < count; ++i) {
      const auto next = std::move(m_pending.front());
      m_pending.pop_front();
      next();
    }
    return count;
  }
  std::size_t Pending() const { return m_pending.size(); }
  /// Drops delayed calls without calling back, as when the node dies.
  void DropPending() { m_pending.clear(); }

  void Transact(Transaction aTransaction, Callback<Commit> aCallback)
  {
    Perform<Commit>(std::move(aCallback), [this, transaction = std::move(aTransaction)] {
      return DoTransact(transaction);
    });
  }

  void Read(std::vector<std::string> aKeys, Callback<std::vector<Row>> aCallback)
  {
    Perform<std::vector<Row>>(std::move(aCallback),
                              [this, keys = std::move(aKeys)]() -> Result<std::vector<Row>> {
                                return m_state.m_table.Read(keys, m_asOf);
                              });
  }

  void Scan(std::string aPrefix, std::uint64_t aSince, Callback<ScanPage> aCallback)
  {
    Perform<ScanPage>(std::move(aCallback),
                      [this, prefix = std::move(aPrefix), aSince]() -> Result<ScanPage> {
                        return m_state.m_table.Scan(prefix, aSince, m_asOf);
                      });
  }

  void ListVms(Callback<std::vector<VmListing>> aCallback)
  {
    Perform<std::vector<VmListing>>(
      std::move(aCallback), [this]() -> Result<std::vector<VmListing>> {
        return m_asOf == PlatformTable::kLatest ? m_state.m_vms : m_staleVms;
      });
  }

  void RunVmAction(VmActionRequest aRequest, Callback<ActionState> aCallback)
  {
    Perform<ActionState>(std::move(aCallback),
                         [this, request = std::move(aRequest)] { return DoAction(request); });
  }

private:
  template<typename T>
  void Perform(Callback<T> aCallback, std::function<Result<T>()> aEffect)
  {
    if (m_delay == FakeDelay::Requests) {
      m_pending.push_back([this, callback = std::move(aCallback), effect = std::move(aEffect)] {
        callback(Reach<T>(effect));
      });
      return;
    }
    Result<T> result = Reach<T>(aEffect);
    if (m_delay == FakeDelay::Answers) {
      m_pending.push_back(
        [callback = std::move(aCallback), result = std::move(result)] { callback(result); });
      return;
    }
    aCallback(std::move(result));
  }

  template<typename T>
  Result<T> Reach(const std::function<Result<T>()>& aEffect)
  {
    if (m_down) {
      return Error{ ErrorKind::Unavailable, "reach platform", "fake platform", "is down" };
    }
    return aEffect();
  }

  Result<Commit> DoTransact(const Transaction& aTransaction)
  {
    const Error lost{ ErrorKind::Unknown, "transact", "fake platform", "answer lost" };
    if (m_loseNextRequests > 0) {
      --m_loseNextRequests;
      return lost;
    }
    const Commit commit = m_state.m_table.Transact(aTransaction);
    ++m_state.m_transactions;
    m_state.m_rowsWritten += commit.m_isCommitted ? aTransaction.m_writes.size() : 0;
    if (m_loseNextAnswers > 0) {
      --m_loseNextAnswers;
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
  std::uint64_t m_asOf = PlatformTable::kLatest;
  std::vector<VmListing> m_staleVms;
  std::deque<std::function<void()>> m_pending;
};

static_assert(PlatformAccess<FakePlatform>);

} // namespace mustardtray
