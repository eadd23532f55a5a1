#include "mustardtray/process/KeyPartitions.h"

#include <algorithm>

#include <xxhash.h>

namespace mustardtray {

namespace {

/// Rendezvous hashing: the member with the highest score is the preferred owner of the partition.
std::uint64_t RendezvousScore(const std::string& aNode, std::size_t aPartition)
{
  return XXH3_64bits_withSeed(aNode.data(), aNode.size(), aPartition);
}

} // namespace

KeyPartitions::KeyPartitions(NodeIncarnation aSelf, KeyPartitionsOptions aOptions)
  : m_self(std::move(aSelf))
  , m_options(aOptions)
  , m_partitions(kKeyPartitions)
{
}

void KeyPartitions::OnRow(const Row& aRow)
{
  const std::size_t index = PartitionOfRowKey(aRow.m_key);
  if (index == kKeyPartitions) {
    return;
  }
  Partition& partition = m_partitions[index];
  if (aRow.m_version <= partition.m_version) {
    return;
  }
  const auto record = ParseKeyPartitionRecord(aRow.m_value);
  if (!record) {
    return;
  }
  if (record.value().m_epoch != partition.m_record.m_epoch) {
    partition.m_isStopping = false;
    partition.m_nextMintFloor.reset();
  }
  partition.m_version = aRow.m_version;
  partition.m_record = record.value();
  m_hasChanged = true;
}

void KeyPartitions::OnScanned()
{
  m_isScanned = true;
}

void KeyPartitions::OnMembers(const std::vector<NodeIncarnation>& aMembers, TimePoint aNow)
{
  if (aMembers != m_members) {
    m_members = aMembers;
    m_membersUnchangedSince = aNow;
  }
}

void KeyPartitions::OnStopped(const StoppedPartition& aStopped)
{
  Partition& partition = m_partitions[aStopped.m_partition];
  if (!partition.m_isStopping || partition.m_record.m_epoch != aStopped.m_epoch) {
    return;
  }
  // The newest mint time that this node started is known, so the floor of the next owner does not
  // depend on bounds of clock errors.
  partition.m_nextMintFloor =
    std::max(partition.m_record.m_mintFloor, aStopped.m_newestMint + Millis(1));
}

void KeyPartitions::BeginShutdown()
{
  m_isShuttingDown = true;
}

std::optional<Transaction> KeyPartitions::NextTransaction(TimePoint aNow,
                                                          WallTime aNowWall,
                                                          const GoneNodeDetector& aGone)
{
  StopExcessPartitions(aNow);
  if (m_isWriting || !m_isScanned) {
    return std::nullopt;
  }
  Transaction transaction;
  AddHandovers(transaction);
  if (!m_isShuttingDown && aNow >= m_membersUnchangedSince + m_options.m_claimDelay) {
    AddClaims(transaction, aNow, aNowWall, aGone);
  }
  if (transaction.m_writes.empty()) {
    return std::nullopt;
  }
  m_isWriting = true;
  return transaction;
}

void KeyPartitions::OnTransactionEnd()
{
  m_isWriting = false;
  m_isScanned = false;
}

std::shared_ptr<const KeyOwnership> KeyPartitions::TakeSnapshot()
{
  if (!m_hasChanged) {
    return nullptr;
  }
  m_hasChanged = false;
  auto ownership = std::make_shared<KeyOwnership>();
  ownership->m_sequence = ++m_sequence;
  for (std::size_t i = 0; i < kKeyPartitions; ++i) {
    const Partition& partition = m_partitions[i];
    KeyPartitionView& view = ownership->m_partitions[i];
    view.m_record = partition.m_record;
    if (IsOwned(partition)) {
      view.m_role =
        partition.m_isStopping ? KeyPartitionRole::Stopping : KeyPartitionRole::Accepting;
    }
  }
  return ownership;
}

bool KeyPartitions::IsReleased() const
{
  return m_isShuttingDown && m_isScanned && OwnedCount() == 0;
}

std::size_t KeyPartitions::OwnedCount() const
{
  return static_cast<std::size_t>(
    std::count_if(m_partitions.begin(), m_partitions.end(), [this](const Partition& aPartition) {
      return IsOwned(aPartition);
    }));
}

const KeyPartitionRecord& KeyPartitions::Record(std::size_t aPartition) const
{
  return m_partitions[aPartition].m_record;
}

bool KeyPartitions::IsOwned(const Partition& aPartition) const
{
  return aPartition.m_version > 0 && aPartition.m_record.m_owner == m_self;
}

bool KeyPartitions::IsClaimable(const Partition& aPartition,
                                TimePoint aNow,
                                const GoneNodeDetector& aGone) const
{
  const NodeIncarnation& owner = aPartition.m_record.m_owner;
  return aPartition.m_version == 0 || owner.m_node.empty() || aGone.IsGone(owner, aNow);
}

KeyPartitions::PartitionCounts KeyPartitions::CountPartitions() const
{
  PartitionCounts counts;
  for (const NodeIncarnation& member : m_members) {
    counts[member.m_node] = 0;
  }
  for (const Partition& partition : m_partitions) {
    const NodeIncarnation& owner = partition.m_record.m_owner;
    if (std::find(m_members.begin(), m_members.end(), owner) != m_members.end()) {
      ++counts[owner.m_node];
    }
  }
  return counts;
}

void KeyPartitions::AddClaims(Transaction& aTransaction,
                              TimePoint aNow,
                              WallTime aNowWall,
                              const GoneNodeDetector& aGone) const
{
  PartitionCounts counts = CountPartitions();
  for (std::size_t i = 0; i < kKeyPartitions; ++i) {
    const Partition& partition = m_partitions[i];
    if (!IsClaimable(partition, aNow, aGone)) {
      continue;
    }
    // Each member computes the claims of all members, so that they rarely compete for a row.
    const std::string claimant = ChooseClaimant(i, counts);
    ++counts[claimant];
    if (claimant != m_self.m_node) {
      continue;
    }
    const bool isReleased = partition.m_version > 0 && partition.m_record.m_owner.m_node.empty();
    const WallTime floor =
      isReleased ? partition.m_record.m_mintFloor
                 : std::max(partition.m_record.m_mintFloor, m_options.m_bounds.FloorAt(aNowWall));
    AddWrite(aTransaction, i, m_self, floor);
  }
}

std::string KeyPartitions::ChooseClaimant(std::size_t aPartition,
                                          const PartitionCounts& aCounts) const
{
  const std::size_t members = std::max<std::size_t>(m_members.size(), 1);
  const std::size_t fairShare = (kKeyPartitions + members - 1) / members;
  std::string best;
  std::uint64_t bestScore = 0;
  for (const auto& [node, count] : aCounts) {
    const std::uint64_t score = RendezvousScore(node, aPartition);
    if (count < fairShare && (best.empty() || score > bestScore)) {
      best = node;
      bestScore = score;
    }
  }
  return best;
}

void KeyPartitions::AddHandovers(Transaction& aTransaction) const
{
  PartitionCounts counts = CountPartitions();
  for (std::size_t i = 0; i < kKeyPartitions; ++i) {
    const Partition& partition = m_partitions[i];
    if (!IsOwned(partition) || !partition.m_nextMintFloor) {
      continue;
    }
    const NodeIncarnation receiver = ChooseReceiver(counts);
    ++counts[receiver.m_node];
    AddWrite(aTransaction, i, receiver, *partition.m_nextMintFloor);
  }
}

NodeIncarnation KeyPartitions::ChooseReceiver(const PartitionCounts& aCounts) const
{
  const NodeIncarnation* best = nullptr;
  for (const NodeIncarnation& member : m_members) {
    if (member.m_node == m_self.m_node) {
      continue;
    }
    if (!best || aCounts.at(member.m_node) < aCounts.at(best->m_node)) {
      best = &member;
    }
  }
  return best ? *best : NodeIncarnation{};
}

void KeyPartitions::StopExcessPartitions(TimePoint aNow)
{
  if (m_isShuttingDown) {
    for (Partition& partition : m_partitions) {
      StopPartition(partition);
    }
    return;
  }
  if (m_members.size() < 2 || aNow < m_membersUnchangedSince + m_options.m_rebalanceDelay) {
    return;
  }
  const PartitionCounts counts = CountPartitions();
  const std::size_t evenShare = kKeyPartitions / m_members.size();
  const bool isAnyMemberBelowShare = std::any_of(
    counts.begin(), counts.end(), [&](const auto& aEntry) { return aEntry.second < evenShare; });
  std::size_t stopping = static_cast<std::size_t>(
    std::count_if(m_partitions.begin(), m_partitions.end(), [](const Partition& aPartition) {
      return aPartition.m_isStopping;
    }));
  std::size_t kept = OwnedCount() - stopping;
  for (Partition& partition : m_partitions) {
    if (!isAnyMemberBelowShare || kept <= evenShare ||
        stopping >= m_options.m_maxConcurrentHandovers) {
      return;
    }
    if (IsOwned(partition) && !partition.m_isStopping) {
      StopPartition(partition);
      ++stopping;
      --kept;
    }
  }
}

void KeyPartitions::StopPartition(Partition& aPartition)
{
  if (IsOwned(aPartition) && !aPartition.m_isStopping) {
    aPartition.m_isStopping = true;
    m_hasChanged = true;
  }
}

void KeyPartitions::AddWrite(Transaction& aTransaction,
                             std::size_t aPartition,
                             const NodeIncarnation& aOwner,
                             WallTime aFloor) const
{
  const Partition& partition = m_partitions[aPartition];
  const std::string rowKey = KeyPartitionRowKey(aPartition);
  const KeyPartitionRecord record{ aOwner, partition.m_record.m_epoch + 1, aFloor };
  aTransaction.m_checks.push_back({ rowKey, partition.m_version });
  aTransaction.m_writes.push_back({ rowKey, ToJson(record) });
}

} // namespace mustardtray
