#pragma once

/// Divides the slots and connections of each minion among the entry VMs of its zone, so that
/// together they never use more than the minion has. The zone's row in the platform's table lists
/// the members; each change of the list is a new generation.
///
/// A member that learns of a generation shrinks at once to the smallest of its shares since the
/// last generation that it uses in full. It acknowledges the generation in its heartbeats when its
/// work in flight fits into its shares. It uses a generation in full when every other member has
/// acknowledged exactly this generation and the longest run time has passed since the last loss of
/// a member, so that the work of lost members must have ended.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mustardtray/process/Error.h"
#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

/// One run of the daemon on an entry VM.
struct EntryMember
{
  std::string m_node;
  std::string m_incarnation; ///< New with each start.

  bool operator==(const EntryMember&) const = default;
};

/// The entry VMs that share the minions of a zone.
struct ZoneRow
{
  std::uint64_t m_generation = 0;
  /// The last generation that removed a member whose work may still run on the minions.
  std::uint64_t m_lossGeneration = 0;
  std::vector<EntryMember> m_members; ///< Sorted by node.
};

/// Key of a zone's row.
std::string ZoneRowKey(const std::string& aZone);
Json ToJson(const ZoneRow& aRow);
/// Errors: Invalid with the JSON pointer of the first fault.
Result<ZoneRow> ParseZoneRow(const Json& aValue);

/// Part of aTotal that the member at aIndex of aMembers gets. A hash of the minion's name selects
/// the members that get the remainder, so that the remainders of all minions spread evenly.
int EvenShare(int aTotal, std::size_t aIndex, std::size_t aMembers, const std::string& aMinion);

/// Part of a heartbeat that concerns the slot shares of the sender's zone.
struct ShareHeartbeat
{
  EntryMember m_member;
  std::uint64_t m_acknowledgedGeneration =
    0; ///< Latest generation whose shares the member's work fits.
  /// The last loss generation since which the longest run time has passed.
  std::uint64_t m_settledLossGeneration = 0;
};

/// The slot shares of one zone from the point of view of one member.
class SlotShares
{
public:
  /// aLongestRun is the longest time that any minion of the zone may work on one request.
  SlotShares(EntryMember aSelf, Micros aLongestRun);

  void SetLongestRun(Micros aLongestRun) { m_longestRun = aLongestRun; }

  /// Takes the zone's row. Older generations are ignored. Returns true when the shares may change.
  bool OnRow(TimePoint aNow, const ZoneRow& aRow);
  /// Takes the heartbeat of a member of this zone. Returns true when the shares may change.
  bool OnHeartbeat(const ShareHeartbeat& aHeartbeat);
  /// Acknowledges aGeneration if, at every minion, the work in flight (including timed-out attempts
  /// that may still run) and the open connections are within the shares of that generation, which
  /// are in force. A report about an older generation is ignored.
  void OnInFlightReport(std::uint64_t aGeneration, bool aIsWithinShares);

  /// Sets all shares to zero. Must be called before ProposeLeave(): the write may take effect even
  /// when its response is lost.
  void BeginLeave() { m_isLeaving = true; }

  ShareHeartbeat Heartbeat(TimePoint aNow) const;
  /// This member's part of aTotal slots or connections of a minion whose service works at most
  /// aMaxRun on a request. After a loss the share grows as time passes, without any event, so call
  /// this about once a second.
  int Share(TimePoint aNow, const std::string& aMinion, int aTotal, Micros aMaxRun) const;

  const EntryMember& Self() const { return m_self; }
  /// The newest known row; its generation is 0 before the first row.
  ZoneRow NewestRow() const;

private:
  struct Generation
  {
    ZoneRow m_row;
    TimePoint m_lossFirstSeenAt;           ///< When this node first saw the row's loss generation.
    bool m_isAcknowledgedByOthers = false; ///< By all other members.
  };

  bool IsAcknowledgedByOthers(const ZoneRow& aRow) const;
  bool IsLossSettled(TimePoint aNow, const Generation& aGeneration, Micros aMaxRun) const;
  int FullShare(const ZoneRow& aRow, const std::string& aMinion, int aTotal) const;
  bool UpdateAcknowledgement();
  void DropOldGenerations(TimePoint aNow);

  EntryMember m_self;
  Micros m_longestRun;
  std::deque<Generation> m_generations; ///< NewestRow last; older ones until the newest is in use.
  std::map<std::string, ShareHeartbeat> m_heartbeats; ///< Last heartbeat of each node.
  std::uint64_t m_acknowledgedGeneration = 0;
  std::uint64_t m_newestLossGeneration = 0; ///< NewestRow known loss generation.
  TimePoint m_lossFirstSeenAt;              ///< When m_newestLossGeneration was first seen.
  std::uint64_t m_lossSettledByOthers = 0;
  bool m_isLeaving = false;
};

/// Input for the proposal of a new generation.
struct ZoneView
{
  std::string m_zone;
  std::optional<Row> m_row;     ///< The zone's row as read; empty when it does not exist.
  std::vector<VmListing> m_vms; ///< The platform's VM list.
  std::set<std::string> m_recentlyHeardNodes; ///< Nodes that sent a heartbeat lately.
};

/// The transaction that makes aSelf a member in place of its earlier incarnation and removes
/// members that are confirmed as gone: the VM list shows them as gone and in no other state, and no
/// heartbeat came from them lately. A VM that replaces a gone VM needs another name, because the
/// list lags. Empty when the row needs no change. Errors: Invalid when the row cannot be parsed.
Result<std::optional<Transaction>> ProposeMembers(const EntryMember& aSelf, const ZoneView& aView);
/// The transaction that removes aSelf and any earlier incarnation on its VM. Call it after
/// SlotShares::BeginLeave() and only without work in flight, because the other members may take
/// over the shares at once. Empty when no incarnation is a member. Errors: Invalid when the row
/// cannot be parsed.
Result<std::optional<Transaction>> ProposeLeave(const EntryMember& aSelf, const ZoneView& aView);

} // namespace mustardtray
