#pragma once

/// Divides the slots and connections of each minion among the entry VMs of its zone, so that they
/// never exceed them together. The zone's row in the platform's table lists the members; each
/// change of the list is a new generation.
///
/// A member that learns a generation shrinks at once to the smallest of its shares since the last
/// generation that it uses in full. It acknowledges the generation, in its heartbeats, when its
/// work in flight fits. It uses a generation in full when every other member has acknowledged
/// exactly this one, and when the work of members that were lost must have ended.

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
  /// The last generation that removed a member which may have left work at the minions.
  std::uint64_t m_lossGeneration = 0;
  std::vector<EntryMember> m_members; ///< Sorted by node.
};

/// Key of a zone's row.
std::string ZoneRowKey(const std::string& aZone);
Json ToJson(const ZoneRow& aRow);
/// Errors: Invalid with the pointer of the first fault.
Result<ZoneRow> ParseZoneRow(const Json& aValue);

/// Part of aTotal that the member at aIndex of aMembers gets. The remainder goes to members by a
/// hash of the minion's name, so that it spreads over the members.
int EvenShare(int aTotal, std::size_t aIndex, std::size_t aMembers, const std::string& aMinion);

/// What each member tells the others of its zone, as part of its heartbeat.
struct ShareHeartbeat
{
  EntryMember m_member;
  std::uint64_t m_acknowledged = 0; ///< Generation that the member's work fits into.
  /// The last loss generation after which the longest run time has passed.
  std::uint64_t m_settledLoss = 0;
};

/// A member's view of its zone.
class SlotShares
{
public:
  /// aLongestRun is the longest time that any minion of the zone works on one request.
  SlotShares(EntryMember aSelf, Micros aLongestRun);

  void SetLongestRun(Micros aLongestRun) { m_longestRun = aLongestRun; }

  /// Learns a row of the table. Older generations are ignored. True when the shares may change.
  bool OnRow(TimePoint aNow, const ZoneRow& aRow);
  /// Of members of this zone only. True when the shares may change.
  bool OnHeartbeat(const ShareHeartbeat& aHeartbeat);
  /// Tells whether, at every minion, the work in flight (timed-out attempts that may still run
  /// included) and the open connections are within the shares of that generation, which are in
  /// force. A report about an older generation counts for nothing.
  void OnInFlight(std::uint64_t aGeneration, bool aIsWithinShares);

  /// From now on all shares are zero. To be called before ProposeLeave(), whose answer may be lost
  /// after its write.
  void BeginLeave() { m_isLeaving = true; }

  ShareHeartbeat Heartbeat(TimePoint aNow) const;
  /// This member's part of aTotal slots or connections of a minion whose service works at most
  /// aMaxRun on a request. May grow by time alone after a loss; ask again about once a second.
  int Share(TimePoint aNow, const std::string& aMinion, int aTotal, Micros aMaxRun) const;

  const EntryMember& Self() const { return m_self; }
  /// The newest known row; generation 0 before the first.
  ZoneRow Newest() const;

private:
  struct Generation
  {
    ZoneRow m_row;
    TimePoint m_lossSeenAt;        ///< When the row's loss was first seen.
    bool m_isAcknowledged = false; ///< By all other members.
  };

  bool IsAcknowledgedByOthers(const ZoneRow& aRow) const;
  bool IsLossSettled(TimePoint aNow, const Generation& aGeneration, Micros aMaxRun) const;
  int FullShare(const ZoneRow& aRow, const std::string& aMinion, int aTotal) const;
  bool NoteAcknowledgements();
  void DropOldGenerations(TimePoint aNow);

  EntryMember m_self;
  Micros m_longestRun;
  std::deque<Generation> m_generations; ///< Newest last; older ones until the newest is in use.
  std::map<std::string, ShareHeartbeat> m_heartbeats; ///< Last of each node.
  std::uint64_t m_acknowledged = 0;
  std::uint64_t m_lossSeen = 0; ///< Newest loss generation seen ...
  TimePoint m_lossSeenAt;       ///< ... and when it was first seen.
  std::uint64_t m_settledByOthers = 0;
  bool m_isLeaving = false;
};

/// What a member knows about the others when it proposes a new generation.
struct ZoneView
{
  std::string m_zone;
  std::optional<Row> m_row;     ///< As read from the table; nothing when it does not exist.
  std::vector<VmListing> m_vms; ///< The platform's list.
  std::set<std::string> m_recentlyHeard; ///< Nodes whose heartbeats still arrive.
};

/// The transaction that makes aSelf a member in place of its earlier incarnation, and removes
/// members that are surely gone: listed as gone, not listed otherwise, and not heard. A VM that
/// replaces a gone one has to have another name, because the list lags. Nothing when
/// the row is right. Errors: Invalid when the row cannot be read.
Result<std::optional<Transaction>> ProposeMembers(const EntryMember& aSelf, const ZoneView& aView);
/// The transaction by which aSelf leaves, with any earlier incarnation on its VM. Only for a member
/// without work in flight, whose shares the others may take over at once, after
/// SlotShares::BeginLeave(). Nothing when no incarnation is a member.
Result<std::optional<Transaction>> ProposeLeave(const EntryMember& aSelf, const ZoneView& aView);

} // namespace mustardtray
