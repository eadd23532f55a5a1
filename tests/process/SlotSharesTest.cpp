#include "mustardtray/process/SlotShares.h"

#include <algorithm>
#include <array>
#include <memory>
#include <random>

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace std::chrono_literals;

namespace {

constexpr int kSlots = 8;
constexpr int kConnections = 64;
constexpr Micros kMaxRun = 3s;
constexpr std::uint64_t kFaultyRuns = 250;
constexpr std::uint64_t kCorrectRuns = 60;
constexpr TimePoint kStart{ 1'000s };
constexpr std::array<const char*, 3> kMinions{ "m0", "m1", "m2" };

/// A rule of the protocol that the simulated members violate.
enum class Fault
{
  None,
  AcknowledgeBeforeFit,
  ReportOfOldGeneration,
  NoWaitAfterLoss,
  NoWaitForOthers,
  ShrinkLate,
  IgnoreIncarnation,
  UnresponsiveIsGone,
  LeaveWithWork,
};

/// A request that runs on a minion. It continues after its sender has stopped.
struct Run
{
  std::size_t m_minion = 0;
  TimePoint m_end;
};

struct Node
{
  EntryMember m_self;
  std::unique_ptr<SlotShares> m_shares; ///< Null while the process is down.
  std::vector<Run> m_runs;              ///< Runs that this process knows of.
  std::array<int, 3> m_applied{};       ///< Shares that the traffic thread applies.
  std::uint64_t m_appliedGeneration = 0;
  TimePoint m_pausedUntil;
  TimePoint m_isolatedUntil; ///< Cut off from the table and the peers.
  bool m_isLeaving = false;
};

struct Message
{
  TimePoint m_due;
  std::size_t m_to = 0;
  ShareHeartbeat m_heartbeat;
};

struct PendingWrite
{
  TimePoint m_due;
  Transaction m_transaction;
};

/// Simulates a zone of entry VMs with message loss, delays, network partitions, pauses, crashes and
/// restarts.
class Zone
{
public:
  Zone(std::uint64_t aSeed, Fault aFault)
    : m_random(aSeed)
    , m_fault(aFault)
  {
    for (int i = 0; i < 3; ++i) {
      AddNode();
    }
  }

  /// Returns false as soon as a minion runs more requests than it has slots.
  bool RunSteps(int aSteps, bool aWithFaults)
  {
    for (int i = 0; i < aSteps; ++i) {
      m_now += Micros(RandomBelow(20'000));
      Deliver();
      Commit();
      if (aWithFaults && RandomBelow(100) < 2) {
        InjectFault();
      }
      Node& node = m_nodes[RandomBelow(m_nodes.size())];
      if (node.m_shares && node.m_pausedUntil <= m_now) {
        StepNode(node);
      }
      if (!IsWithinSlots()) {
        return false;
      }
    }
    return true;
  }

  /// Ends all faults: stopped VMs are listed as gone, and two new VMs join.
  void EndFaults()
  {
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      m_nodes[i].m_pausedUntil = m_now;
      m_nodes[i].m_isolatedUntil = m_now;
      if (!m_nodes[i].m_shares) {
        m_vms[i].m_state = VmState::Gone;
      }
    }
    AddNode();
    AddNode();
  }

  /// Sum of all members' shares of a minion's slots or connections.
  int SumOfShares(std::size_t aMinion, int aTotal) const
  {
    int sum = 0;
    for (const Node& node : m_nodes) {
      if (node.m_shares) {
        sum += node.m_shares->Share(m_now, kMinions[aMinion], aTotal, kMaxRun);
      }
    }
    return sum;
  }

private:
  std::size_t RandomBelow(std::size_t aBelow) { return m_random() % aBelow; }

  void AddNode()
  {
    // A VM that replaces another VM has a new name.
    Node node;
    node.m_self = { "n" + std::to_string(m_nodes.size()), "1" };
    node.m_shares = std::make_unique<SlotShares>(node.m_self, kMaxRun);
    m_nodes.push_back(std::move(node));
    m_vms.push_back({});
    m_vms.back().m_name = m_nodes.back().m_self.m_node;
  }

  bool IsIsolated(const Node& aNode) const { return aNode.m_isolatedUntil > m_now; }

  void Stop(Node& aNode)
  {
    m_orphanedRuns.insert(m_orphanedRuns.end(), aNode.m_runs.begin(), aNode.m_runs.end());
    aNode.m_runs.clear();
    aNode.m_shares.reset();
  }

  void InjectFault()
  {
    const std::size_t index = RandomBelow(m_nodes.size());
    Node& node = m_nodes[index];
    if (!node.m_shares) {
      m_vms[index].m_state = VmState::Gone;
      return;
    }
    switch (RandomBelow(6)) {
      case 0:
        node.m_pausedUntil = m_now + Micros(RandomBelow(8'000'000));
        break;
      case 1:
        node.m_isolatedUntil = m_now + Micros(RandomBelow(8'000'000));
        break;
      case 2:
        Stop(node);
        break;
      case 3:
        Stop(node);
        node.m_self.m_incarnation += "+";
        node.m_shares = std::make_unique<SlotShares>(node.m_self, kMaxRun);
        node.m_applied = {};
        node.m_appliedGeneration = 0;
        node.m_isLeaving = false;
        break;
      case 4:
        node.m_isLeaving = true;
        node.m_shares->BeginLeave();
        Apply(node);
        break;
      default:
        if (m_nodes.size() < 12) {
          AddNode();
        }
    }
  }

  void StepNode(Node& aNode)
  {
    std::erase_if(aNode.m_runs, [&](const Run& aRun) { return aRun.m_end <= m_now; });
    switch (RandomBelow(5)) {
      case 0:
        ReadRow(aNode);
        break;
      case 1:
        SendHeartbeats(aNode);
        break;
      case 2:
        Propose(aNode);
        break;
      case 3:
        Apply(aNode);
        break;
      default:
        Report(aNode);
    }
    StartRuns(aNode);
  }

  void ReadRow(Node& aNode)
  {
    if (IsIsolated(aNode) || m_row.m_version == 0) {
      return;
    }
    const ZoneRow row = ParseZoneRow(m_row.m_value).value();
    if (!aNode.m_shares->OnRow(m_now, row)) {
      return;
    }
    if (m_fault != Fault::ShrinkLate) {
      Apply(aNode);
    }
    if (m_fault == Fault::NoWaitForOthers) {
      for (const EntryMember& member : row.m_members) {
        aNode.m_shares->OnHeartbeat({ member, row.m_generation, 0 });
      }
    }
  }

  void Apply(Node& aNode)
  {
    const Micros maxRun = m_fault == Fault::NoWaitAfterLoss ? Micros(0) : kMaxRun;
    for (std::size_t i = 0; i < kMinions.size(); ++i) {
      aNode.m_applied[i] = aNode.m_shares->Share(m_now, kMinions[i], kSlots, maxRun);
    }
    aNode.m_appliedGeneration = aNode.m_shares->NewestRow().m_generation;
  }

  int InFlight(const Node& aNode, std::size_t aMinion) const
  {
    return static_cast<int>(
      std::count_if(aNode.m_runs.begin(), aNode.m_runs.end(), [&](const Run& aRun) {
        return aRun.m_minion == aMinion && aRun.m_end > m_now;
      }));
  }

  void Report(Node& aNode)
  {
    bool fits = true;
    for (std::size_t i = 0; i < kMinions.size(); ++i) {
      fits = fits && InFlight(aNode, i) <= aNode.m_applied[i];
    }
    fits = fits || m_fault == Fault::AcknowledgeBeforeFit;
    std::uint64_t generation = aNode.m_appliedGeneration;
    if (m_fault == Fault::ShrinkLate || m_fault == Fault::ReportOfOldGeneration) {
      generation = aNode.m_shares->NewestRow().m_generation;
    }
    if (m_fault == Fault::ReportOfOldGeneration) {
      fits = true;
    }
    aNode.m_shares->OnInFlightReport(generation, fits);
  }

  void SendHeartbeats(const Node& aNode)
  {
    for (std::size_t to = 0; to < m_nodes.size(); ++to) {
      if (!IsIsolated(aNode) && RandomBelow(10) > 0) {
        m_messages.push_back(
          { m_now + Micros(RandomBelow(1'000'000)), to, aNode.m_shares->Heartbeat(m_now) });
      }
    }
  }

  void Propose(Node& aNode)
  {
    if (IsIsolated(aNode)) {
      return;
    }
    ZoneView view{ "z", std::nullopt, m_vms, {} };
    if (m_row.m_version > 0) {
      view.m_row = m_row;
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      if (m_fault == Fault::UnresponsiveIsGone && m_nodes[i].m_pausedUntil > m_now + 1s) {
        view.m_vms[i].m_state = VmState::Gone;
      }
    }
    const bool hasWork = !aNode.m_runs.empty() && m_fault != Fault::LeaveWithWork;
    if (aNode.m_isLeaving && hasWork) {
      return;
    }
    const auto proposed =
      aNode.m_isLeaving ? ProposeLeave(aNode.m_self, view) : ProposeMembers(aNode.m_self, view);
    if (proposed.value()) {
      m_writes.push_back({ m_now + Micros(RandomBelow(500'000)), *proposed.value() });
    }
  }

  void StartRuns(Node& aNode)
  {
    for (std::size_t i = 0; i < kMinions.size(); ++i) {
      for (int running = InFlight(aNode, i); running < aNode.m_applied[i]; ++running) {
        aNode.m_runs.push_back({ i, m_now + Micros(RandomBelow(kMaxRun.count())) });
      }
    }
  }

  /// The member that the receiver knows on the sender's VM, with any incarnation.
  static EntryMember MemberOf(const Node& aReceiver, const EntryMember& aSender)
  {
    for (const EntryMember& member : aReceiver.m_shares->NewestRow().m_members) {
      if (member.m_node == aSender.m_node) {
        return member;
      }
    }
    return aSender;
  }

  void Deliver()
  {
    for (Message& message : m_messages) {
      Node& node = m_nodes[message.m_to];
      if (message.m_due > m_now || !node.m_shares || IsIsolated(node) ||
          node.m_pausedUntil > m_now) {
        continue;
      }
      if (m_fault == Fault::IgnoreIncarnation) {
        message.m_heartbeat.m_member = MemberOf(node, message.m_heartbeat.m_member);
      }
      node.m_shares->OnHeartbeat(message.m_heartbeat);
    }
    std::erase_if(m_messages, [&](const Message& aMessage) { return aMessage.m_due <= m_now; });
  }

  void Commit()
  {
    for (const PendingWrite& write : m_writes) {
      if (write.m_due <= m_now && write.m_transaction.m_checks[0].m_version == m_row.m_version) {
        m_row.m_value = *write.m_transaction.m_writes[0].m_value;
        ++m_row.m_version;
      }
    }
    std::erase_if(m_writes, [&](const PendingWrite& aWrite) { return aWrite.m_due <= m_now; });
  }

  bool IsWithinSlots()
  {
    std::erase_if(m_orphanedRuns, [&](const Run& aRun) { return aRun.m_end <= m_now; });
    for (std::size_t i = 0; i < kMinions.size(); ++i) {
      auto running = std::count_if(m_orphanedRuns.begin(),
                                   m_orphanedRuns.end(),
                                   [&](const Run& aRun) { return aRun.m_minion == i; });
      for (const Node& node : m_nodes) {
        running += InFlight(node, i);
      }
      if (running > kSlots || SumOfSharesExceeds(i)) {
        return false;
      }
    }
    return true;
  }

  bool SumOfSharesExceeds(std::size_t aMinion) const
  {
    return m_fault == Fault::None && (SumOfShares(aMinion, kSlots) > kSlots ||
                                      SumOfShares(aMinion, kConnections) > kConnections);
  }

  std::mt19937_64 m_random;
  Fault m_fault;
  TimePoint m_now = kStart;
  std::vector<Node> m_nodes;
  std::vector<VmListing> m_vms;
  std::vector<Run> m_orphanedRuns;
  std::vector<Message> m_messages;
  std::vector<PendingWrite> m_writes;
  Row m_row{ "zone/z", 0, {} };
};

bool IsWithinSlotsInAllRuns(Fault aFault)
{
  for (std::uint64_t seed = 1; seed <= kFaultyRuns; ++seed) {
    Zone zone(seed, aFault);
    if (!zone.RunSteps(3'000, true)) {
      return false;
    }
  }
  return true;
}

ZoneRow RowOf(std::uint64_t aGeneration, std::vector<EntryMember> aMembers)
{
  return { aGeneration, 0, std::move(aMembers) };
}

} // namespace

TEST_CASE("EvenShare distributes the whole total and spreads the remainders over the members")
{
  std::array<int, 3> sums{};
  for (int minion = 0; minion < 300; ++minion) {
    int sum = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      const int share = EvenShare(kSlots, i, 3, "vm-" + std::to_string(minion));
      sums[i] += share;
      sum += share;
    }
    CHECK(sum == kSlots);
  }
  for (const int sum : sums) {
    CHECK(sum >= 760);
    CHECK(sum <= 840);
  }
}

TEST_CASE(
  "SlotShares never exceed a minion in any interleaving, and use all slots after the faults")
{
  for (std::uint64_t seed = 1; seed <= kCorrectRuns; ++seed) {
    Zone zone(seed, Fault::None);
    REQUIRE(zone.RunSteps(3'000, true));
    zone.EndFaults();
    REQUIRE(zone.RunSteps(6'000, false));
    for (std::size_t i = 0; i < kMinions.size(); ++i) {
      CHECK(zone.SumOfShares(i, kSlots) == kSlots);
      CHECK(zone.SumOfShares(i, kConnections) == kConnections);
    }
  }
}

TEST_CASE("SlotShares exceed a minion when any rule of the protocol is violated")
{
  CHECK(!IsWithinSlotsInAllRuns(Fault::AcknowledgeBeforeFit));
  CHECK(!IsWithinSlotsInAllRuns(Fault::ReportOfOldGeneration));
  CHECK(!IsWithinSlotsInAllRuns(Fault::NoWaitAfterLoss));
  CHECK(!IsWithinSlotsInAllRuns(Fault::NoWaitForOthers));
  CHECK(!IsWithinSlotsInAllRuns(Fault::ShrinkLate));
  CHECK(!IsWithinSlotsInAllRuns(Fault::IgnoreIncarnation));
  CHECK(!IsWithinSlotsInAllRuns(Fault::UnresponsiveIsGone));
  CHECK(!IsWithinSlotsInAllRuns(Fault::LeaveWithWork));
}

TEST_CASE("SlotShares do not grow before every member has acknowledged the newest generation")
{
  const EntryMember a{ "a", "1" };
  const EntryMember b{ "b", "1" };
  SlotShares shares(a, kMaxRun);
  shares.OnRow(kStart, RowOf(1, { a, b }));
  CHECK(shares.Share(kStart, "m", kSlots, kMaxRun) == 0);
  shares.OnHeartbeat({ { "b", "2" }, 1, 0 }); // Another incarnation than the member's.
  CHECK(shares.Share(kStart, "m", kSlots, kMaxRun) == 0);
  shares.OnHeartbeat(
    { b, 2, 0 }); // Another generation: b may use more than its share of generation 1.
  CHECK(shares.Share(kStart, "m", kSlots, kMaxRun) == 0);
  shares = SlotShares(a, kMaxRun);
  shares.OnRow(kStart, RowOf(1, { a, b }));
  shares.OnHeartbeat({ b, 1, 0 });
  CHECK(shares.Share(kStart, "m", kSlots, kMaxRun) == 4);
  CHECK(!shares.OnRow(kStart, RowOf(0, { a })));
  shares.OnRow(kStart, RowOf(2, { a, b, { "c", "1" }, { "d", "1" } }));
  CHECK(shares.Share(kStart, "m", kSlots, kMaxRun) == 2);
  shares.OnInFlightReport(1, true); // A report on shares that no longer apply.
  CHECK(shares.Heartbeat(kStart).m_acknowledgedGeneration == 0);
  shares.OnInFlightReport(2, false);
  CHECK(shares.Heartbeat(kStart).m_acknowledgedGeneration == 0);
  shares.OnInFlightReport(2, true);
  CHECK(shares.Heartbeat(kStart).m_acknowledgedGeneration == 2);
  CHECK(!shares.OnRow(kStart, RowOf(1, { a, b })));
  shares.OnRow(kStart, RowOf(3, { a, b }));
  CHECK(shares.Share(kStart + 60s, "m", kSlots, kMaxRun) == 2);
  shares.OnHeartbeat({ b, 2, 0 }); // Not the newest generation.
  CHECK(shares.Share(kStart + 60s, "m", kSlots, kMaxRun) == 2);
  shares.OnHeartbeat({ b, 3, 0 });
  CHECK(shares.Share(kStart + 60s, "m", kSlots, kMaxRun) == 4);
}

TEST_CASE("SlotShares in use stay the same after a loss, and grow only after the longest run")
{
  const EntryMember a{ "a", "1" };
  SlotShares shares(a, kMaxRun);
  shares.OnRow(kStart, ZoneRow{ 5, 4, { a, { "b", "1" } } });
  shares.OnHeartbeat({ { "b", "1" }, 5, 4 });
  REQUIRE(shares.Share(kStart, "m", kSlots, kMaxRun) == 4);
  const TimePoint lossSeen = kStart + 1s;
  shares.OnRow(lossSeen, ZoneRow{ 6, 6, { a } });
  CHECK(shares.Share(lossSeen + kMaxRun, "m", kSlots, kMaxRun) == 4);
  shares.OnRow(lossSeen + 2s,
               ZoneRow{ 7, 6, { a } }); // The wait starts when the loss is first seen.
  CHECK(shares.Heartbeat(lossSeen + kMaxRun).m_settledLossGeneration == 4);
  CHECK(shares.Share(lossSeen + kMaxRun + 1s, "m", kSlots, kMaxRun) == 8);
  CHECK(shares.Heartbeat(lossSeen + kMaxRun + 1s).m_settledLossGeneration == 6);
}

TEST_CASE(
  "ProposeMembers joins, replaces an earlier incarnation and removes only confirmed gone VMs")
{
  const EntryMember self{ "a", "2" };
  ZoneView view{ "z", std::nullopt, {}, {} };
  const auto first = ProposeMembers(self, view).value();
  REQUIRE(first);
  CHECK(first->m_checks[0].m_version == 0);
  CHECK(ParseZoneRow(*first->m_writes[0].m_value).value().m_lossGeneration == 0);

  view.m_row = Row{ "zone/z", 7, ToJson(RowOf(3, { { "a", "1" }, { "b", "1" } })) };
  const auto replaced = ProposeMembers(self, view).value();
  REQUIRE(replaced);
  CHECK(replaced->m_checks[0].m_version == 7);
  const ZoneRow row = ParseZoneRow(*replaced->m_writes[0].m_value).value();
  CHECK(row.m_generation == 4);
  CHECK(row.m_lossGeneration == 4);
  CHECK(row.m_members == std::vector<EntryMember>{ self, { "b", "1" } });

  view.m_row = Row{ "zone/z", 8, ToJson(RowOf(4, { self, { "b", "1" } })) };
  CHECK(!ProposeMembers(self, view).value()); // A VM that is missing in the list is not gone.
  VmListing listing;
  listing.m_name = "b";
  listing.m_state = VmState::Gone;
  view.m_vms = { listing };
  CHECK(ProposeMembers(self, view).value());
  view.m_recentlyHeardNodes = { "b" };
  CHECK(!ProposeMembers(self, view).value());
  view.m_recentlyHeardNodes.clear();
  listing.m_state = VmState::Leaving;
  view.m_vms.push_back(listing); // Listed as gone and leaving is not confirmed as gone.
  CHECK(!ProposeMembers(self, view).value());

  view.m_row->m_value = Json::array();
  CHECK(ProposeMembers(self, view).error().m_kind == ErrorKind::Invalid);
}
