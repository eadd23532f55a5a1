#pragma once

/// Decides which partitions of the idempotency keys this node claims, takes over and hands over.
/// Ownership has no lease: it ends by the owner's own hand-over, or when the owner is surely gone.
/// So an owner goes on through an outage of the table, and a frozen one blocks its partitions.

#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "mustardtray/process/GoneWatch.h"
#include "mustardtray/process/KeyOwnership.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

struct KeyPartitionsOptions
{
  KeyTimeBounds m_bounds;
  Millis m_claimSettle{ 3'000 };      ///< Members stay the same this long before a claim.
  Millis m_rebalanceSettle{ 30'000 }; ///< ... and this long before a hand-over to balance.
  std::size_t m_maxHandOvers = 4;     ///< Partitions stopped at once to balance.
};

/// Lives on the control thread. Feed it rows, members and stops; carry out one transaction at a
/// time; after each, scan the rows again before asking for the next.
class KeyPartitions
{
public:
  KeyPartitions(NodeIncarnation aSelf, KeyPartitionsOptions aOptions = {});

  /// A row under kKeyRowPrefix was read. Rows older than the newest one seen are ignored.
  void OnRow(const Row& aRow);
  /// A scan of all rows, started after the last transaction ended, is complete.
  void OnScanned();
  /// The daemons that may own partitions now, this one among them: heard from and not leaving.
  void OnMembers(const std::vector<NodeIncarnation>& aMembers, TimePoint aNow);
  /// The traffic thread starts no key of the partition any more and has none running.
  void OnStopped(const StoppedPartition& aStopped);
  /// Hands over everything; see IsReleased().
  void BeginShutdown();

  /// The next write, if any is due. aNowWall is read after aGone's evidence came in.
  std::optional<Transaction> NextTransaction(TimePoint aNow,
                                             WallTime aNowWall,
                                             const GoneWatch& aGone);
  /// The transaction ended, in whatever way; what it did is learnt from the next scan.
  void OnTransactionEnd();

  /// Snapshot for the traffic thread when something has changed since the last one.
  std::shared_ptr<const KeyOwnership> TakeSnapshot();
  /// After BeginShutdown(), by a scan since the last transaction: no partition names this node.
  bool IsReleased() const;
  std::size_t OwnedCount() const;
  const KeyPartitionRecord& Record(std::size_t aPartition) const;

private:
  struct Partition
  {
    std::uint64_t m_version = 0; ///< Of the newest row seen; 0 before there is one.
    KeyPartitionRecord m_record;
    bool m_isStopping = false;           ///< Final for this epoch.
    std::optional<WallTime> m_nextFloor; ///< Set once the traffic thread has stopped.
  };
  /// Partitions per member, counted from the rows.
  using Load = std::map<std::string, std::size_t>;

  bool IsMine(const Partition& aPartition) const;
  bool IsClaimable(const Partition& aPartition, TimePoint aNow, const GoneWatch& aGone) const;
  Load CountLoad() const;
  void AddClaims(Transaction& aTransaction,
                 TimePoint aNow,
                 WallTime aNowWall,
                 const GoneWatch& aGone) const;
  void AddHandOvers(Transaction& aTransaction) const;
  void StopForBalance(TimePoint aNow);
  void Stop(Partition& aPartition);
  std::string PickClaimant(std::size_t aPartition, const Load& aLoad) const;
  NodeIncarnation PickReceiver(const Load& aLoad) const;
  void AddWrite(Transaction& aTransaction,
                std::size_t aPartition,
                const NodeIncarnation& aOwner,
                WallTime aFloor) const;

  NodeIncarnation m_self;
  KeyPartitionsOptions m_options;
  std::vector<Partition> m_partitions;
  std::vector<NodeIncarnation> m_members;
  TimePoint m_membersSince{};
  bool m_isScanned = false;
  bool m_isWriting = false;
  bool m_isShutdown = false;
  bool m_isChanged = true;
  std::uint64_t m_sequence = 0;
};

} // namespace mustardtray
