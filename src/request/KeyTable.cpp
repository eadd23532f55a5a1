#include "mustardtray/request/KeyTable.h"

#include <algorithm>
#include <cstdlib>

namespace mustardtray {

namespace {

/// Estimated memory of a key without its response: the map node, the waiters and allocator
/// overhead.
constexpr std::size_t kEntryBytes = 256;

/// An eviction tries to leave 1/kEvictionDivisor of the memory budget free, so that memory is freed
/// in bulk.
constexpr std::size_t kEvictionDivisor = 8;

/// Delay after an eviction that freed too little memory. Requests for memory fail until then.
constexpr Millis kEvictionRetryDelay{ 100 };

std::size_t SizeOf(const HttpResponse& aResponse)
{
  std::size_t bytes = sizeof(HttpResponse) + aResponse.m_body.size();
  for (const HttpHeader& header : aResponse.m_headers) {
    bytes += sizeof(HttpHeader) + header.m_name.size() + header.m_value.size();
  }
  return bytes;
}

std::size_t PartitionOf(const IdempotencyKey& aKey)
{
  return PartitionOfHash(aKey.Hash());
}

KeyClaim ClaimWithoutRun(KeyDecision aDecision, KeyReason aReason)
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
  // The recorded state of a key stays valid regardless of the partition's owner, so it is checked
  // first.
  const auto known = m_entries.find(aKey);
  if (known != m_entries.end()) {
    return ClaimKnown(known->second, aFingerprint, aWaiter);
  }
  const std::size_t partition = PartitionOf(aKey);
  if (const KeyReason reason = CheckOwnership(partition, aEpoch); reason != KeyReason::None) {
    return ClaimWithoutRun(KeyDecision::Unknown, reason);
  }
  if (const KeyReason reason = CheckMintTime(aKey, partition); reason != KeyReason::None) {
    return ClaimWithoutRun(KeyDecision::Unknown, reason);
  }
  // From here on, the key is known not to have run: the mint floor excludes keys of earlier owners,
  // and this node has not removed a key with the same or a later mint time.
  if (const KeyReason reason = CheckCanStart(aNow, aKey); reason != KeyReason::None) {
    return ClaimWithoutRun(KeyDecision::NotRun, reason);
  }
  StartRun(aKey, aFingerprint, partition);
  return KeyClaim{ KeyDecision::Run, KeyReason::None, nullptr };
}

KeyClaim KeyTable::ClaimKnown(Entry& aEntry, std::uint64_t aFingerprint, KeyWaiter aWaiter) const
{
  if (aEntry.m_fingerprint != aFingerprint) {
    return ClaimWithoutRun(KeyDecision::Mismatch, KeyReason::None);
  }
  switch (aEntry.m_state) {
    case State::Running:
      if (aEntry.m_waiters.size() >= m_options.m_maxWaiters) {
        return ClaimWithoutRun(KeyDecision::Unknown, KeyReason::TooManyWaiters);
      }
      aEntry.m_waiters.push_back(aWaiter);
      return KeyClaim{ KeyDecision::Join, KeyReason::None, nullptr };
    case State::Completed:
      if (!aEntry.m_response) {
        return ClaimWithoutRun(KeyDecision::Unknown, KeyReason::AnswerNotKept);
      }
      return KeyClaim{ KeyDecision::Answer, KeyReason::None, aEntry.m_response };
    case State::ResponseLost:
      break;
  }
  return ClaimWithoutRun(KeyDecision::Unknown, KeyReason::LostAnswer);
}

KeyReason KeyTable::CheckOwnership(std::size_t aPartition, std::optional<std::uint64_t> aEpoch)
{
  const KeyPartitionView& view = m_ownership->m_partitions[aPartition];
  Partition& partition = m_partitions[aPartition];
  partition.m_newestEpoch = std::max(partition.m_newestEpoch, aEpoch.value_or(0));
  // An epoch newer than this node's means that the partition has a new owner.
  const bool isSuperseded = partition.m_newestEpoch > view.m_record.m_epoch;
  if (view.m_role != KeyPartitionRole::Accepting || isSuperseded) {
    return KeyReason::NotOwner;
  }
  const bool sameEpoch = aEpoch.value_or(view.m_record.m_epoch) == view.m_record.m_epoch;
  return sameEpoch ? KeyReason::None : KeyReason::EpochMismatch;
}

KeyReason KeyTable::CheckMintTime(const IdempotencyKey& aKey, std::size_t aPartition) const
{
  const WallTime minted = aKey.MintTime();
  if (minted < m_ownership->m_partitions[aPartition].m_record.m_mintFloor) {
    return KeyReason::MintedBeforeOwnerChange;
  }
  return minted < m_removedBefore ? KeyReason::KeyTooOld : KeyReason::None;
}

KeyReason KeyTable::CheckCanStart(WallTime aNow, const IdempotencyKey& aKey)
{
  if (aKey.MintTime() > aNow + m_options.m_bounds.m_futureAllowance) {
    return KeyReason::MintedInFuture;
  }
  return EvictToFit(aNow, kEntryBytes) ? KeyReason::None : KeyReason::KeyTableFull;
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

std::vector<KeyWaiter> KeyTable::OnResponse(WallTime aNow,
                                            const IdempotencyKey& aKey,
                                            const std::shared_ptr<const HttpResponse>& aResponse)
{
  const auto entry = EndRun(aKey);
  if (entry == m_entries.end()) {
    return {};
  }
  std::vector<KeyWaiter> waiters = std::move(entry->second.m_waiters);
  const std::size_t bytes = SizeOf(*aResponse);
  // Memory is freed while the key is still in the Running state, so that the key itself is not
  // removed.
  const bool isKept = bytes <= m_options.m_maxResponseBytes && EvictToFit(aNow, bytes);
  entry->second.m_state = State::Completed;
  if (isKept) {
    entry->second.m_response = aResponse;
    entry->second.m_responseBytes = bytes;
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
  entry->second.m_state = State::ResponseLost;
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

void KeyTable::RemoveWaiter(const IdempotencyKey& aKey, KeyWaiter aWaiter)
{
  const auto entry = m_entries.find(aKey);
  if (entry != m_entries.end()) {
    std::erase(entry->second.m_waiters, aWaiter);
  }
}

void KeyTable::Expire(WallTime aNow)
{
  const WallTime oldest = aNow - m_options.m_retention;
  m_removedBefore = std::max(m_removedBefore, oldest);
  RemoveOldestKeys(oldest, 0);
}

bool KeyTable::EvictToFit(WallTime aNow, std::size_t aBytes)
{
  if (m_bytes + aBytes <= m_options.m_maxBytes) {
    return true;
  }
  if (Millis(std::abs((aNow - m_lastFailedEviction).count())) < kEvictionRetryDelay) {
    return false;
  }
  const std::size_t wanted = std::max(aBytes, m_options.m_maxBytes / kEvictionDivisor);
  const std::size_t target = m_options.m_maxBytes - std::min(wanted, m_options.m_maxBytes);
  EvictOldestResponses(target);
  RemoveOldestKeys(aNow - m_options.m_minRetention, target);
  const bool hasRoom = m_bytes + aBytes <= m_options.m_maxBytes;
  if (!hasRoom) {
    m_lastFailedEviction = aNow;
  }
  return hasRoom;
}

void KeyTable::EvictOldestResponses(std::size_t aToBytes)
{
  for (auto entry = m_entries.begin(); entry != m_entries.end() && m_bytes > aToBytes; ++entry) {
    EvictResponse(entry->second);
  }
}

void KeyTable::EvictResponse(Entry& aEntry)
{
  m_bytes -= aEntry.m_responseBytes;
  aEntry.m_responseBytes = 0;
  aEntry.m_response.reset();
}

void KeyTable::RemoveOldestKeys(WallTime aMintedBefore, std::size_t aToBytes)
{
  auto entry = m_entries.begin();
  while (entry != m_entries.end() && m_bytes > aToBytes &&
         entry->first.MintTime() < aMintedBefore) {
    entry = entry->second.m_state == State::Running ? std::next(entry) : RemoveKey(entry);
  }
}

KeyTable::Entries::iterator KeyTable::RemoveKey(Entries::iterator aEntry)
{
  m_removedBefore = std::max(m_removedBefore, aEntry->first.MintTime() + Millis(1));
  EvictResponse(aEntry->second);
  m_bytes -= kEntryBytes;
  return m_entries.erase(aEntry);
}

std::vector<StoppedPartition> KeyTable::TakeStoppedPartitions()
{
  std::vector<StoppedPartition> stopped;
  for (std::size_t i = 0; i < kKeyPartitions; ++i) {
    const KeyPartitionView& view = m_ownership->m_partitions[i];
    Partition& partition = m_partitions[i];
    const bool isReported = partition.m_reportedEpoch == view.m_record.m_epoch;
    if (view.m_role != KeyPartitionRole::Stopping || partition.m_running > 0 || isReported) {
      continue;
    }
    partition.m_reportedEpoch = view.m_record.m_epoch;
    stopped.push_back({ i, view.m_record.m_epoch, partition.m_newestMint });
  }
  return stopped;
}

} // namespace mustardtray
