#pragma once

/// The state of the idempotency keys whose partitions this node owns: which run, which ran and with
/// which answer. Lives on the traffic thread; ownership comes as immutable snapshots from the
/// control thread.

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
  Run,      ///< Run the request now and report how it ended.
  Join,     ///< The key is running; the waiter gets the same answer.
  Answer,   ///< The key ran; answer with the kept response.
  Unknown,  ///< This attempt did not run; whether the key ran before is not known.
  NotRun,   ///< The key did not run; the same key may be sent again.
  Mismatch, ///< The key belongs to a different request.
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
  NotOwner,       ///< This node does not own the partition, or is handing it over.
  OtherEpoch,     ///< The sender knows another epoch of the partition.
  BeforeFloor,    ///< Minted before the partition last changed its owner.
  TooOld,         ///< Older than the time for which states of keys are kept.
  FromFuture,     ///< Minted too far ahead of this node's clock.
  TableFull,      ///< No memory for another key.
  TooManyWaiters, ///< Too many resends wait for the same key.
  LostAnswer,     ///< The key was sent to a minion and no whole answer came.
  AnswerNotKept,  ///< The key ran; its answer is no longer kept.
};

template<>
struct EnumNames<KeyReason>
{
  static constexpr std::array kTable{
    std::pair{ KeyReason::None, std::string_view("none") },
    std::pair{ KeyReason::NotOwner, std::string_view("not-owner") },
    std::pair{ KeyReason::OtherEpoch, std::string_view("other-epoch") },
    std::pair{ KeyReason::BeforeFloor, std::string_view("minted-before-owner-change") },
    std::pair{ KeyReason::TooOld, std::string_view("key-too-old") },
    std::pair{ KeyReason::FromFuture, std::string_view("minted-in-future") },
    std::pair{ KeyReason::TableFull, std::string_view("key-table-full") },
    std::pair{ KeyReason::TooManyWaiters, std::string_view("too-many-waiters") },
    std::pair{ KeyReason::LostAnswer, std::string_view("lost-answer") },
    std::pair{ KeyReason::AnswerNotKept, std::string_view("answer-not-kept") },
  };
};

struct KeyClaim
{
  KeyDecision m_decision = KeyDecision::Unknown;
  KeyReason m_reason = KeyReason::None;
  std::shared_ptr<const HttpResponse> m_answer; ///< Set for Answer.
};

struct KeyTableOptions
{
  KeyTimeBounds m_bounds;
  Millis m_keptFor{ 600'000 };    ///< Age up to which a key's state is kept.
  Millis m_keptAtLeast{ 30'000 }; ///< Age below which no state is dropped to save memory.
  std::size_t m_maxBytes = 8u << 20;
  std::size_t m_maxAnswerBytes = 1u << 20; ///< Longer answers are not kept for resends.
  std::size_t m_maxWaiters = 16;           ///< Resends that may wait for one key.
};

/// Names a caller that waits for a key's answer; chosen by the user of the table.
using KeyWaiter = std::uint64_t;

class KeyTable
{
public:
  explicit KeyTable(KeyTableOptions aOptions = {});

  /// Takes over a snapshot of ownership; one that is older than the last is ignored.
  void Apply(const std::shared_ptr<const KeyOwnership>& aOwnership);

  /// Decides on one attempt. aFingerprint is the request's, aEpoch the epoch that a forwarding
  /// node knows. A waiter that is told to join is returned when the key's run ends.
  KeyClaim Claim(WallTime aNow,
                 const IdempotencyKey& aKey,
                 std::uint64_t aFingerprint,
                 KeyWaiter aWaiter,
                 std::optional<std::uint64_t> aEpoch = std::nullopt);

  /// The run ended with a whole answer. Returns the waiters to give it to.
  std::vector<KeyWaiter> OnAnswer(WallTime aNow,
                                  const IdempotencyKey& aKey,
                                  const std::shared_ptr<const HttpResponse>& aAnswer);
  /// The run may or may not have happened: the key never runs again. Returns the waiters to tell.
  std::vector<KeyWaiter> OnUnknown(const IdempotencyKey& aKey);
  /// The run surely did not happen: the key is free to run. Returns the waiters to refuse.
  std::vector<KeyWaiter> OnNotRun(const IdempotencyKey& aKey);
  /// A waiter gave up.
  void Leave(const IdempotencyKey& aKey, KeyWaiter aWaiter);

  /// Forgets keys past their age. Call about once a second.
  void Expire(WallTime aNow);

  /// Partitions that may be handed over since the last call: stopped, nothing running.
  std::vector<StoppedPartition> TakeStopped();

  std::size_t Keys() const { return m_entries.size(); }
  std::size_t Bytes() const { return m_bytes; }

private:
  enum class State
  {
    Running,
    Answered,
    LostAnswer,
  };
  struct Entry
  {
    State m_state = State::Running;
    std::uint64_t m_fingerprint = 0;
    std::shared_ptr<const HttpResponse> m_answer; ///< Null once it is no longer kept.
    std::size_t m_answerBytes = 0;
    std::vector<KeyWaiter> m_waiters;
  };
  struct Partition
  {
    std::size_t m_running = 0;
    WallTime m_newestMint{};
    std::uint64_t m_newestEpoch = 0;  ///< Newest epoch that a forwarding node has shown.
    std::uint64_t m_stoppedEpoch = 0; ///< Epoch whose stop was reported.
  };
  using Entries = std::map<IdempotencyKey, Entry>;

  KeyClaim ClaimKnown(Entry& aEntry, std::uint64_t aFingerprint, KeyWaiter aWaiter) const;
  KeyReason WhyNotOwned(std::size_t aPartition, std::optional<std::uint64_t> aEpoch);
  KeyReason WhyUnknown(const IdempotencyKey& aKey, std::size_t aPartition) const;
  KeyReason WhyNotNow(WallTime aNow, const IdempotencyKey& aKey);
  void StartRun(const IdempotencyKey& aKey, std::uint64_t aFingerprint, std::size_t aPartition);
  Entries::iterator EndRun(const IdempotencyKey& aKey);
  bool MakeRoom(WallTime aNow, std::size_t aBytes);
  void DropOldestAnswers(std::size_t aToBytes);
  void ForgetOldest(WallTime aMintedBefore, std::size_t aToBytes);
  void DropAnswer(Entry& aEntry);
  Entries::iterator Forget(Entries::iterator aEntry);

  KeyTableOptions m_options;
  std::shared_ptr<const KeyOwnership> m_ownership;
  std::vector<Partition> m_partitions;
  Entries m_entries; ///< In order of mint time.
  std::size_t m_bytes = 0;
  WallTime m_forgottenBefore{}; ///< Keys minted before it may have run and been forgotten.
  WallTime m_fullAt{};          ///< When no room was last found.
};

} // namespace mustardtray
