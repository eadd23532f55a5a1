#pragma once

/// State of the idempotency keys in the partitions that this node owns: which keys are running,
/// which have completed, and their responses. Used on the traffic thread only; the control thread
/// supplies the ownership of partitions as immutable snapshots.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "mustardtray/connection/HttpMessage.h"
#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/KeyOwnership.h"
#include "mustardtray/process/Time.h"
#include "mustardtray/request/IdempotencyKey.h"

namespace mustardtray {

enum class KeyDecision
{
  Run,      ///< Run the request and report its outcome to the table.
  Join,     ///< The key is running; the waiter receives the same response.
  Answer,   ///< The key has completed; send the stored response.
  Unknown,  ///< This attempt did not run; an earlier one may have run.
  NotRun,   ///< The key has not run; the caller may send it again.
  Mismatch, ///< The key was used before with a different request.
};

template<>
struct EnumNames<KeyDecision>
{
  static constexpr std::array kTable{
    std::pair{ KeyDecision::Run, std::string_view("run") },
    std::pair{ KeyDecision::Join, std::string_view("join") },
    std::pair{ KeyDecision::Answer, std::string_view("answer") },
    std::pair{ KeyDecision::Unknown, std::string_view("unknown") },
    std::pair{ KeyDecision::NotRun, std::string_view("not-run") },
    std::pair{ KeyDecision::Mismatch, std::string_view("mismatch") },
  };
};

enum class KeyReason
{
  None,
  NotOwner,                ///< This node does not own the partition or is handing it over.
  EpochMismatch,           ///< The sender knows a different epoch of the partition.
  MintedBeforeOwnerChange, ///< Minted before the last change of the partition's owner.
  KeyTooOld,               ///< Minted before keys that were removed by age or to save memory.
  MintedInFuture,          ///< Minted too far ahead of this node's clock.
  KeyTableFull,            ///< The memory budget has no space for another key.
  TooManyWaiters,          ///< Too many repeated requests wait for this key.
  LostAnswer,              ///< The request was sent, but no complete response arrived.
  AnswerNotKept,           ///< The key has completed; its response is not stored.
};

template<>
struct EnumNames<KeyReason>
{
  static constexpr std::array kTable{
    std::pair{ KeyReason::None, std::string_view("none") },
    std::pair{ KeyReason::NotOwner, std::string_view("not-owner") },
    std::pair{ KeyReason::EpochMismatch, std::string_view("other-epoch") },
    std::pair{ KeyReason::MintedBeforeOwnerChange, std::string_view("minted-before-owner-change") },
    std::pair{ KeyReason::KeyTooOld, std::string_view("key-too-old") },
    std::pair{ KeyReason::MintedInFuture, std::string_view("minted-in-future") },
    std::pair{ KeyReason::KeyTableFull, std::string_view("key-table-full") },
    std::pair{ KeyReason::TooManyWaiters, std::string_view("too-many-waiters") },
    std::pair{ KeyReason::LostAnswer, std::string_view("lost-answer") },
    std::pair{ KeyReason::AnswerNotKept, std::string_view("answer-not-kept") },
  };
};

struct KeyClaim
{
  KeyDecision m_decision = KeyDecision::Unknown;
  KeyReason m_reason = KeyReason::None;
  std::shared_ptr<const HttpResponse> m_response; ///< Set for KeyDecision::Answer.
};

struct KeyTableOptions
{
  KeyTimeBounds m_bounds;
  Millis m_retention{ 600'000 };     ///< Maximum age of a key's state.
  Millis m_minRetention{ 30'000 };   ///< Minimum age before a key is removed to save memory.
  std::size_t m_maxBytes = 8u << 20; ///< Memory budget of the table.
  std::size_t m_maxResponseBytes = 1u << 20; ///< Larger responses are not stored.
  std::size_t m_maxWaiters = 16;             ///< Repeated requests that may wait for one key.
};

/// Identifies a request that waits for the response of a running key. The user of the table chooses
/// the values.
using KeyWaiter = std::uint64_t;

class KeyTable
{
public:
  explicit KeyTable(KeyTableOptions aOptions = {});

  /// Applies a snapshot of partition ownership. A snapshot that is not newer than the current one
  /// is ignored.
  void Apply(const std::shared_ptr<const KeyOwnership>& aOwnership);

  /// Decides what to do with one attempt to run aKey. aFingerprint identifies the request, see
  /// RequestFingerprint(). aEpoch is the partition's epoch as known to the node that forwarded the
  /// request. After KeyDecision::Join, aWaiter is returned by the function that records the outcome
  /// of the run.
  KeyClaim Claim(WallTime aNow,
                 const IdempotencyKey& aKey,
                 std::uint64_t aFingerprint,
                 KeyWaiter aWaiter,
                 std::optional<std::uint64_t> aEpoch = std::nullopt);

  /// Records the complete response of a run. Returns the waiters that receive it.
  std::vector<KeyWaiter> OnResponse(WallTime aNow,
                                    const IdempotencyKey& aKey,
                                    const std::shared_ptr<const HttpResponse>& aResponse);
  /// Records that the request may have run, so that the key never runs again. Returns the waiters
  /// to inform.
  std::vector<KeyWaiter> OnUnknown(const IdempotencyKey& aKey);
  /// Records that the request did not run, so that the key may run again. Returns the waiters to
  /// refuse.
  std::vector<KeyWaiter> OnNotRun(const IdempotencyKey& aKey);
  /// Removes a waiter that no longer waits for the key.
  void RemoveWaiter(const IdempotencyKey& aKey, KeyWaiter aWaiter);

  /// Removes keys that are older than the retention time. To be called about once a second.
  void Expire(WallTime aNow);

  /// Returns the partitions that became ready to be handed over since the last call: they are
  /// stopping and none of their keys is running.
  std::vector<StoppedPartition> TakeStoppedPartitions();

  std::size_t KeyCount() const { return m_entries.size(); }
  std::size_t MemoryBytes() const { return m_bytes; }

private:
  enum class State
  {
    Running,
    Completed,
    ResponseLost,
  };
  struct Entry
  {
    State m_state = State::Running;
    std::uint64_t m_fingerprint = 0;
    std::shared_ptr<const HttpResponse> m_response; ///< Null if it is not stored.
    std::size_t m_responseBytes = 0;
    std::vector<KeyWaiter> m_waiters;
  };
  struct Partition
  {
    std::size_t m_running = 0;
    WallTime m_newestMint{};
    std::uint64_t m_newestEpoch = 0;   ///< Newest epoch received from a forwarding node.
    std::uint64_t m_reportedEpoch = 0; ///< Epoch for which the stop was reported.
  };
  using Entries = std::map<IdempotencyKey, Entry>;

  KeyClaim ClaimKnown(Entry& aEntry, std::uint64_t aFingerprint, KeyWaiter aWaiter) const;
  KeyReason CheckOwnership(std::size_t aPartition, std::optional<std::uint64_t> aEpoch);
  KeyReason CheckMintTime(const IdempotencyKey& aKey, std::size_t aPartition) const;
  KeyReason CheckCanStart(WallTime aNow, const IdempotencyKey& aKey);
  void StartRun(const IdempotencyKey& aKey, std::uint64_t aFingerprint, std::size_t aPartition);
  Entries::iterator EndRun(const IdempotencyKey& aKey);
  /// Frees memory if aBytes do not fit into the budget. Returns true if they fit afterwards.
  bool EvictToFit(WallTime aNow, std::size_t aBytes);
  void EvictOldestResponses(std::size_t aToBytes);
  void RemoveOldestKeys(WallTime aMintedBefore, std::size_t aToBytes);
  void EvictResponse(Entry& aEntry);
  Entries::iterator RemoveKey(Entries::iterator aEntry);

  KeyTableOptions m_options;
  std::shared_ptr<const KeyOwnership> m_ownership;
  std::vector<Partition> m_partitions;
  Entries m_entries; ///< Sorted by mint time.
  std::size_t m_bytes = 0;
  WallTime m_removedBefore{};      ///< Keys minted earlier may have run and been removed.
  WallTime m_lastFailedEviction{}; ///< Time of the last eviction that freed too little memory.
};

} // namespace mustardtray
