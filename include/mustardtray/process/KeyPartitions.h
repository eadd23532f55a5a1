#pragma once

/// Decides which partitions of the idempotency keys this node claims, takes over and hands over.
/// Ownership has no lease: it ends when the owner hands the partition over, or when the owner is
/// confirmed as gone. An owner therefore keeps working through an outage of the table, but a frozen
/// owner blocks its partitions.

#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "mustardtray/process/GoneNodeDetector.h"
#include "mustardtray/process/KeyOwnership.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

struct KeyPartitionsOptions
{
  KeyTimeBounds m_bounds;
  Millis m_claimDelay{ 3'000 };      ///< Time without a change of members before a claim.
  Millis m_rebalanceDelay{ 30'000 }; ///< The same before a handover that balances the counts.
  std::size_t m_maxConcurrentHandovers = 4; ///< Partitions stopped at the same time to balance.
};

/// Used on the control thread only. The caller passes in rows, members and stopped partitions, and
/// carries out one transaction at a time. After each transaction it scans the rows again before it
/// calls NextTransaction().
class KeyPartitions
{
public:
  KeyPartitions(NodeIncarnation aSelf, KeyPartitionsOptions aOptions = {});

  /// Takes a row under kKeyRowPrefix. Rows older than the newest known version are ignored.
  void OnRow(const Row& aRow);
  /// A scan of all rows that started after the last transaction ended is complete.
  void OnScanned();
  /// Sets the daemons that may own partitions: alive and not leaving, including this daemon.
  void OnMembers(const std::vector<NodeIncarnation>& aMembers, TimePoint aNow);
  /// The traffic thread starts no more keys of the partition and has none running.
  void OnStopped(const StoppedPartition& aStopped);
  /// Starts to hand over all partitions; IsReleased() tells when this is done.
  void BeginShutdown();

  /// The next transaction, if one is due. aNowWall must be read after aGone got its last input.
  std::optional<Transaction> NextTransaction(TimePoint aNow,
                                             WallTime aNowWall,
                                             const GoneNodeDetector& aGone);
  /// The transaction ended, with any result. The next scan shows whether it was committed.
  void OnTransactionEnd();

  /// A snapshot for the traffic thread; null when nothing has changed since the last one.
  std::shared_ptr<const KeyOwnership> TakeSnapshot();
  /// Whether this node owns no partition after BeginShutdown(), as of a scan since the last
  /// transaction.
  bool IsReleased() const;
  std::size_t OwnedCount() const;
  const KeyPartitionRecord& Record(std::size_t aPartition) const;

private:
  struct Partition
  {
    std::uint64_t m_version = 0; ///< Version of the newest known row; 0 when there is none.
    KeyPartitionRecord m_record;
    bool m_isStopping = false;               ///< Never reset within an epoch.
    std::optional<WallTime> m_nextMintFloor; ///< Set when the traffic thread has stopped.
  };
  /// Number of partitions that each member owns according to the rows.
  using PartitionCounts = std::map<std::string, std::size_t>;

  bool IsOwned(const Partition& aPartition) const;
  bool IsClaimable(const Partition& aPartition,
                   TimePoint aNow,
                   const GoneNodeDetector& aGone) const;
  PartitionCounts CountPartitions() const;
  void AddClaims(Transaction& aTransaction,
                 TimePoint aNow,
                 WallTime aNowWall,
                 const GoneNodeDetector& aGone) const;
  void AddHandovers(Transaction& aTransaction) const;
  void StopExcessPartitions(TimePoint aNow);
  void StopPartition(Partition& aPartition);
  std::string ChooseClaimant(std::size_t aPartition, const PartitionCounts& aCounts) const;
  NodeIncarnation ChooseReceiver(const PartitionCounts& aCounts) const;
  void AddWrite(Transaction& aTransaction,
                std::size_t aPartition,
                const NodeIncarnation& aOwner,
                WallTime aFloor) const;

  NodeIncarnation m_self;
  KeyPartitionsOptions m_options;
  std::vector<Partition> m_partitions;
  std::vector<NodeIncarnation> m_members;
  TimePoint m_membersUnchangedSince{};
  bool m_isScanned = false;
  bool m_isWriting = false;
  bool m_isShuttingDown = false;
  bool m_hasChanged = true;
  std::uint64_t m_sequence = 0;
};

} // namespace mustardtray
