#include "mustardtray/process/SlotShares.h"

#include <algorithm>
#include <limits>

#include <xxhash.h>

namespace mustardtray {

namespace {

constexpr std::int64_t kMaxGeneration = std::numeric_limits<std::int64_t>::max();

std::uint64_t ReadUnsigned(JsonReader& aReader, std::string_view aKey)
{
  return static_cast<std::uint64_t>(aReader.RequiredInteger(aKey, 0, kMaxGeneration));
}

void SortByNode(std::vector<EntryMember>& aMembers)
{
  std::sort(aMembers.begin(), aMembers.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.m_node < aRight.m_node;
  });
}

bool IsConfirmedGone(const std::string& aNode, const ZoneView& aView)
{
  if (aView.m_recentlyHeardNodes.contains(aNode)) {
    return false;
  }
  bool isGone = false;
  for (const VmListing& vm : aView.m_vms) {
    if (vm.m_name != aNode) {
      continue;
    }
    if (vm.m_state != VmState::Gone) {
      return false;
    }
    isGone = true;
  }
  return isGone;
}

Result<ZoneRow> ParseCurrentRow(const ZoneView& aView)
{
  if (!aView.m_row) {
    return ZoneRow{};
  }
  return ParseZoneRow(aView.m_row->m_value);
}

Transaction MakeRowTransaction(const ZoneView& aView, const ZoneRow& aRow)
{
  const std::string key = ZoneRowKey(aView.m_zone);
  const std::uint64_t version = aView.m_row ? aView.m_row->m_version : 0;
  return Transaction{ { { key, version } }, { { key, ToJson(aRow) } } };
}

} // namespace

std::string ZoneRowKey(const std::string& aZone)
{
  return "zone/" + aZone;
}

Json ToJson(const ZoneRow& aRow)
{
  Json members = Json::array();
  for (const EntryMember& member : aRow.m_members) {
    members.push_back({ { "node", member.m_node }, { "incarnation", member.m_incarnation } });
  }
  return Json{ { "generation", aRow.m_generation },
               { "loss_generation", aRow.m_lossGeneration },
               { "members", std::move(members) } };
}

Result<ZoneRow> ParseZoneRow(const Json& aValue)
{
  FieldErrors errors;
  ZoneRow row;
  JsonReader reader(aValue, "", errors);
  row.m_generation = ReadUnsigned(reader, "generation");
  row.m_lossGeneration = ReadUnsigned(reader, "loss_generation");
  reader.Each("members", [&](JsonReader& aMember) {
    std::string node = aMember.RequiredString("node");
    row.m_members.push_back({ std::move(node), aMember.RequiredString("incarnation") });
  });
  if (!errors.empty()) {
    return Error{ ErrorKind::Invalid, "parse zone row", "", errors.front().Text() };
  }
  SortByNode(row.m_members);
  return row;
}

int EvenShare(int aTotal, std::size_t aIndex, std::size_t aMembers, const std::string& aMinion)
{
  const auto total = static_cast<std::size_t>(std::max(aTotal, 0));
  const std::size_t remainder = total % aMembers;
  const std::size_t first = XXH64(aMinion.data(), aMinion.size(), 0) % aMembers;
  const std::size_t offset = (aIndex + aMembers - first) % aMembers;
  return static_cast<int>(total / aMembers + (offset < remainder ? 1 : 0));
}

SlotShares::SlotShares(EntryMember aSelf, Micros aLongestRun)
  : m_self(std::move(aSelf))
  , m_longestRun(aLongestRun)
{
}

ZoneRow SlotShares::NewestRow() const
{
  return m_generations.empty() ? ZoneRow{} : m_generations.back().m_row;
}

bool SlotShares::OnRow(TimePoint aNow, const ZoneRow& aRow)
{
  if (aRow.m_generation <= NewestRow().m_generation) {
    return false;
  }
  if (aRow.m_lossGeneration > m_newestLossGeneration) {
    m_newestLossGeneration = aRow.m_lossGeneration;
    m_lossFirstSeenAt = aNow;
  }
  DropOldGenerations(aNow);
  m_generations.push_back({ aRow, m_lossFirstSeenAt, false });
  UpdateAcknowledgement();
  return true;
}

bool SlotShares::OnHeartbeat(const ShareHeartbeat& aHeartbeat)
{
  const std::uint64_t settledBefore = m_lossSettledByOthers;
  m_lossSettledByOthers = std::max(m_lossSettledByOthers, aHeartbeat.m_settledLossGeneration);
  ShareHeartbeat& last = m_heartbeats[aHeartbeat.m_member.m_node];
  const bool isLate = last.m_member == aHeartbeat.m_member &&
                      last.m_acknowledgedGeneration >= aHeartbeat.m_acknowledgedGeneration;
  if (!isLate) {
    last = aHeartbeat;
  }
  return UpdateAcknowledgement() || m_lossSettledByOthers != settledBefore;
}

bool SlotShares::UpdateAcknowledgement()
{
  // A generation that all members have acknowledged stays acknowledged: no member grows again
  // before this node acknowledges a newer generation.
  if (m_generations.empty() || m_generations.back().m_isAcknowledgedByOthers) {
    return false;
  }
  Generation& newest = m_generations.back();
  newest.m_isAcknowledgedByOthers = IsAcknowledgedByOthers(newest.m_row);
  return newest.m_isAcknowledgedByOthers;
}

bool SlotShares::IsAcknowledgedByOthers(const ZoneRow& aRow) const
{
  return std::all_of(aRow.m_members.begin(), aRow.m_members.end(), [&](const EntryMember& aMember) {
    if (aMember == m_self) {
      return true;
    }
    const auto found = m_heartbeats.find(aMember.m_node);
    return found != m_heartbeats.end() && found->second.m_member == aMember &&
           found->second.m_acknowledgedGeneration == aRow.m_generation;
  });
}

bool SlotShares::IsLossSettled(TimePoint aNow, const Generation& aGeneration, Micros aMaxRun) const
{
  return aGeneration.m_row.m_lossGeneration <= m_lossSettledByOthers ||
         aNow - aGeneration.m_lossFirstSeenAt > aMaxRun;
}

void SlotShares::OnInFlightReport(std::uint64_t aGeneration, bool aIsWithinShares)
{
  if (aIsWithinShares && aGeneration == NewestRow().m_generation) {
    m_acknowledgedGeneration = aGeneration;
  }
}

ShareHeartbeat SlotShares::Heartbeat(TimePoint aNow) const
{
  const bool isSettled = aNow - m_lossFirstSeenAt > m_longestRun;
  const std::uint64_t settled = isSettled ? m_newestLossGeneration : 0;
  return { m_self, m_acknowledgedGeneration, std::max(settled, m_lossSettledByOthers) };
}

int SlotShares::FullShare(const ZoneRow& aRow, const std::string& aMinion, int aTotal) const
{
  const auto& members = aRow.m_members;
  const auto self = std::find(members.begin(), members.end(), m_self);
  if (self == members.end()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(self - members.begin());
  return EvenShare(aTotal, index, members.size(), aMinion);
}

int SlotShares::Share(TimePoint aNow, const std::string& aMinion, int aTotal, Micros aMaxRun) const
{
  if (m_isLeaving) {
    return 0;
  }
  int share = aTotal;
  for (auto it = m_generations.rbegin(); it != m_generations.rend(); ++it) {
    share = std::min(share, FullShare(it->m_row, aMinion, aTotal));
    if (it->m_isAcknowledgedByOthers && IsLossSettled(aNow, *it, aMaxRun)) {
      return share;
    }
  }
  return 0;
}

void SlotShares::DropOldGenerations(TimePoint aNow)
{
  const auto isInUse = [&](const Generation& aGeneration) {
    return aGeneration.m_isAcknowledgedByOthers && IsLossSettled(aNow, aGeneration, m_longestRun);
  };
  const auto newestInUse = std::find_if(m_generations.rbegin(), m_generations.rend(), isInUse);
  if (newestInUse != m_generations.rend()) {
    m_generations.erase(m_generations.begin(), newestInUse.base() - 1);
  }
}

Result<std::optional<Transaction>> ProposeMembers(const EntryMember& aSelf, const ZoneView& aView)
{
  const Result<ZoneRow> current = ParseCurrentRow(aView);
  if (!current) {
    return current.error();
  }
  ZoneRow next = current.value();
  bool hasLoss = false;
  std::erase_if(next.m_members, [&](const EntryMember& aMember) {
    const bool isReplaced = aMember.m_node == aSelf.m_node && aMember != aSelf;
    const bool isGone = aMember.m_node != aSelf.m_node && IsConfirmedGone(aMember.m_node, aView);
    hasLoss |= isReplaced || isGone;
    return isReplaced || isGone;
  });
  const bool isMember =
    std::find(next.m_members.begin(), next.m_members.end(), aSelf) != next.m_members.end();
  if (isMember && !hasLoss) {
    return std::optional<Transaction>{};
  }
  if (!isMember) {
    next.m_members.push_back(aSelf);
    SortByNode(next.m_members);
  }
  ++next.m_generation;
  if (hasLoss) {
    next.m_lossGeneration = next.m_generation;
  }
  return std::optional(MakeRowTransaction(aView, next));
}

Result<std::optional<Transaction>> ProposeLeave(const EntryMember& aSelf, const ZoneView& aView)
{
  const Result<ZoneRow> current = ParseCurrentRow(aView);
  if (!current) {
    return current.error();
  }
  ZoneRow next = current.value();
  // Work of an earlier incarnation on this VM may still run on the minions.
  const bool wasMember = std::erase(next.m_members, aSelf) > 0;
  const auto isEarlier = [&](const auto& aMember) { return aMember.m_node == aSelf.m_node; };
  const bool hasLoss = std::erase_if(next.m_members, isEarlier) > 0;
  if (!wasMember && !hasLoss) {
    return std::optional<Transaction>{};
  }
  ++next.m_generation;
  if (hasLoss) {
    next.m_lossGeneration = next.m_generation;
  }
  return std::optional(MakeRowTransaction(aView, next));
}

} // namespace mustardtray
