#include "mustardtray/request/KeyTable.h"

#include <algorithm>
#include <cstdlib>

namespace mustardtray {

namespace {

/// Memory of one key besides its answer: the map's node, the waiters and the allocator's share.
constexpr std::size_t kEntryBytes = 256;

/// Room is made in bulk: down to this part of the memory budget.
constexpr std::size_t kRoomParts = 8;

/// After room was looked for in vain, new keys are refused this long before the next search.
constexpr Millis kFullPause{ 100 };

std::size_t SizeOf(const HttpResponse& aAnswer)
{
  std::size_t bytes = sizeof(HttpResponse) + aAnswer.m_body.size();
  for (const HttpHeader& header : aAnswer.m_headers) {
    bytes += sizeof(HttpHeader) + header.m_name.size() + header.m_value.size();
  }
  return bytes;
}

std::size_t PartitionOf(const IdempotencyKey& aKey)
{
  return PartitionOfHash(aKey.Hash());
}

KeyClaim Refuse(KeyDecision aDecision, KeyReason aReason)
{
  return KeyClaim{ aDecision, aReason, nullptr };
}

} // namespace

KeyTable::KeyTable(KeyTableOptions aOptions)
  : m_options(aOptions)
  , m_ownership(std::make_shared<KeyOwnership>())
  , m_partitions(kKeyPartitions)
{
}

void KeyTable::Apply(const std::shared_ptr<const KeyOwnership>& aOwnership)
{
  if (aOwnership->m_sequence > m_ownership->m_sequence) {
    m_ownership = aOwnership;
  }
}

KeyClaim KeyTable::Claim(WallTime aNow,
                         const IdempotencyKey& aKey,
                         std::uint64_t aFingerprint,
                         KeyWaiter aWaiter,
                         std::optional<std::uint64_t> aEpoch)
{
  // What is known of a key stays true whoever owns its partition, so it goes before all else.
  const auto known = m_entries.find(aKey);
  if (known != m_entries.end()) {
    return ClaimKnown(known->second, aFingerprint, aWaiter);
  }
  const std::size_t partition = PartitionOf(aKey);
  if (const KeyReason reason = WhyNotOwned(partition, aEpoch); reason != KeyReason::None) {
    return Refuse(KeyDecision::Unknown, reason);
  }
  if (const KeyReason reason = WhyUnknown(aKey, partition); reason != KeyReason::None) {
    return Refuse(KeyDecision::Unknown, reason);
  }
  // From here on the key has never run: earlier owners are excluded by the floor, and this one
  // has forgotten nothing as young as this key.
  if (const KeyReason reason = WhyNotNow(aNow, aKey); reason != KeyReason::None) {
    return Refuse(KeyDecision::NotRun, reason);
  }
  StartRun(aKey, aFingerprint, partition);
  return KeyClaim{ KeyDecision::Run, KeyReason::None, nullptr };
}

KeyClaim KeyTable::ClaimKnown(Entry& aEntry, std::uint64_t aFingerprint, KeyWaiter aWaiter) const
{
  if (aEntry.m_fingerprint != aFingerprint) {
    return Refuse(KeyDecision::Mismatch, KeyReason::None);
  }
  switch (aEntry.m_state) {
    case State::Running:
      if (aEntry.m_waiters.size() >= m_options.m_maxWaiters) {
        return Refuse(KeyDecision::Unknown, KeyReason::TooManyWaiters);
      }
      aEntry.m_waiters.push_back(aWaiter);
      return KeyClaim{ KeyDecision::Join, KeyReason::None, nullptr };
    case State::Answered:
      if (!aEntry.m_answer) {
        return Refuse(KeyDecision::Unknown, KeyReason::AnswerNotKept);
      }
      return KeyClaim{ KeyDecision::Answer, KeyReason::None, aEntry.m_answer };
    case State::LostAnswer:
      break;
  }
  return Refuse(KeyDecision::Unknown, KeyReason::LostAnswer);
}

KeyReason KeyTable::WhyNotOwned(std::size_t aPartition, std::optional<std::uint64_t> aEpoch)
{
  const KeyPartitionView& view = m_ownership->m_partitions[aPartition];
  Partition& partition = m_partitions[aPartition];
  partition.m_newestEpoch = std::max(partition.m_newestEpoch, aEpoch.value_or(0));
  // A newer epoch than this node's means that another owner was elected in the meantime.
  const bool isSuperseded = partition.m_newestEpoch > view.m_record.m_epoch;
  if (view.m_role != KeyPartitionRole::Accepting || isSuperseded) {
    return KeyReason::NotOwner;
  }
  const bool sameEpoch = aEpoch.value_or(view.m_record.m_epoch) == view.m_record.m_epoch;
  return sameEpoch ? KeyReason::None : KeyReason::OtherEpoch;
}

KeyReason KeyTable::WhyUnknown(const IdempotencyKey& aKey, std::size_t aPartition) const
{
  const WallTime minted = aKey.MintTime();
  if (minted < m_ownership->m_partitions[aPartition].m_record.m_mintFloor) {
    return KeyReason::BeforeFloor;
  }
  return minted < m_forgottenBefore ? KeyReason::TooOld : KeyReason::None;
}

KeyReason KeyTable::WhyNotNow(WallTime aNow, const IdempotencyKey& aKey)
{
  if (aKey.MintTime() > aNow + m_options.m_bounds.m_futureAllowance) {
    return KeyReason::FromFuture;
  }
  return MakeRoom(aNow, kEntryBytes) ? KeyReason::None : KeyReason::TableFull;
}

void KeyTable::StartRun(const IdempotencyKey& aKey,
                        std::uint64_t aFingerprint,
                        std::size_t aPartition)
{
  Entry entry;
  entry.m_fingerprint = aFingerprint;
  m_entries.emplace(aKey, std::move(entry));
  m_bytes += kEntryBytes;
  Partition& partition = m_partitions[aPartition];
  ++partition.m_running;
  partition.m_newestMint = std::max(partition.m_newestMint, aKey.MintTime());
}

KeyTable::Entries::iterator KeyTable::EndRun(const IdempotencyKey& aKey)
{
  const auto entry = m_entries.find(aKey);
  if (entry == m_entries.end() || entry->second.m_state != State::Running) {
    return m_entries.end();
  }
  --m_partitions[PartitionOf(aKey)].m_running;
  return entry;
}

std::vector<KeyWaiter> KeyTable::OnAnswer(WallTime aNow,
                                          const IdempotencyKey& aKey,
                                          const std::shared_ptr<const HttpResponse>& aAnswer)
{
  const auto entry = EndRun(aKey);
  if (entry == m_entries.end()) {
    return {};
  }
  std::vector<KeyWaiter> waiters = std::move(entry->second.m_waiters);
  const std::size_t bytes = SizeOf(*aAnswer);
  // Room is made while the key still counts as running, so that it is not forgotten itself.
  const bool isKept = bytes <= m_options.m_maxAnswerBytes && MakeRoom(aNow, bytes);
  entry->second.m_state = State::Answered;
  if (isKept) {
    entry->second.m_answer = aAnswer;
    entry->second.m_answerBytes = bytes;
    m_bytes += bytes;
  }
  return waiters;
}

std::vector<KeyWaiter> KeyTable::OnUnknown(const IdempotencyKey& aKey)
{
  const auto entry = EndRun(aKey);
  if (entry == m_entries.end()) {
    return {};
  }
  entry->second.m_state = State::LostAnswer;
  return std::move(entry->second.m_waiters);
}

std::vector<KeyWaiter> KeyTable::OnNotRun(const IdempotencyKey& aKey)
{
  const auto entry = EndRun(aKey);
  if (entry == m_entries.end()) {
    return {};
  }
  std::vector<KeyWaiter> waiters = std::move(entry->second.m_waiters);
  m_bytes -= kEntryBytes;
  m_entries.erase(entry);
  return waiters;
}

void KeyTable::Leave(const IdempotencyKey& aKey, KeyWaiter aWaiter)
{
  const auto entry = m_entries.find(aKey);
  if (entry != m_entries.end()) {
    std::erase(entry->second.m_waiters, aWaiter);
  }
}

void KeyTable::Expire(WallTime aNow)
{
  const WallTime oldest = aNow - m_options.m_keptFor;
  m_forgottenBefore = std::max(m_forgottenBefore, oldest);
  ForgetOldest(oldest, 0);
}

bool KeyTable::MakeRoom(WallTime aNow, std::size_t aBytes)
{
  if (m_bytes + aBytes <= m_options.m_maxBytes) {
    return true;
  }
  if (Millis(std::abs((aNow - m_fullAt).count())) < kFullPause) {
    return false;
  }
  const std::size_t wanted = std::max(aBytes, m_options.m_maxBytes / kRoomParts);
  const std::size_t target = m_options.m_maxBytes - std::min(wanted, m_options.m_maxBytes);
  DropOldestAnswers(target);
  ForgetOldest(aNow - m_options.m_keptAtLeast, target);
  const bool hasRoom = m_bytes + aBytes <= m_options.m_maxBytes;
  if (!hasRoom) {
    m_fullAt = aNow;
  }
  return hasRoom;
}

void KeyTable::DropOldestAnswers(std::size_t aToBytes)
{
  for (auto entry = m_entries.begin(); entry != m_entries.end() && m_bytes > aToBytes; ++entry) {
    DropAnswer(entry->second);
  }
}

void KeyTable::DropAnswer(Entry& aEntry)
{
  m_bytes -= aEntry.m_answerBytes;
  aEntry.m_answerBytes = 0;
  aEntry.m_answer.reset();
}

void KeyTable::ForgetOldest(WallTime aMintedBefore, std::size_t aToBytes)
{
  auto entry = m_entries.begin();
  while (entry != m_entries.end() && m_bytes > aToBytes &&
         entry->first.MintTime() < aMintedBefore) {
    entry = entry->second.m_state == State::Running ? std::next(entry) : Forget(entry);
  }
}

KeyTable::Entries::iterator KeyTable::Forget(Entries::iterator aEntry)
{
  m_forgottenBefore = std::max(m_forgottenBefore, aEntry->first.MintTime() + Millis(1));
  DropAnswer(aEntry->second);
  m_bytes -= kEntryBytes;
  return m_entries.erase(aEntry);
}

std::vector<StoppedPartition> KeyTable::TakeStopped()
{
  std::vector<StoppedPartition> stopped;
  for (std::size_t i = 0; i < kKeyPartitions; ++i) {
    const KeyPartitionView& view = m_ownership->m_partitions[i];
    Partition& partition = m_partitions[i];
    const bool isReported = partition.m_stoppedEpoch == view.m_record.m_epoch;
    if (view.m_role != KeyPartitionRole::Stopping || partition.m_running > 0 || isReported) {
      continue;
    }
    partition.m_stoppedEpoch = view.m_record.m_epoch;
    stopped.push_back({ i, view.m_record.m_epoch, partition.m_newestMint });
  }
  return stopped;
}

} // namespace mustardtray
