/// Simulates seeded random interleavings of ownership changes, restarts, hand-overs, stale reads,
/// delayed or lost writes and repeated requests with the real KeyPartitions, GoneNodeDetector and
/// KeyTable. Guards against a key that runs twice because two nodes consider themselves its owner.

#include "mustardtray/process/KeyPartitions.h"
#include "mustardtray/request/KeyTable.h"

#include <deque>
#include <map>
#include <random>

#include <doctest/doctest.h>

using namespace mustardtray;

namespace {

/// Safeguards that a run can disable, to show that the simulation detects their absence.
struct Safeguards
{
  bool m_useMintFloor = true; ///< Nodes read the mint floors of the rows.
  bool m_checkWrites = true;  ///< The shared table checks the versions of rows on commit.
};

constexpr std::size_t kNodes = 3;
constexpr WallTime kWallClockStart(Millis(1'800'000'000'000));
constexpr KeyTimeBounds kBounds{ Millis(500), Millis(2'000) };
constexpr Millis kListLag{ 3'000 };

struct Node
{
  Node(const NodeIncarnation& aId, TimePoint aNow)
    : m_id(aId)
    , m_partitions(aId, { kBounds, Millis(500), Millis(1'000), 8 })
    , m_gone(aId.m_node, { kListLag, Millis(500) })
    , m_startedAt(aNow)
  {
    KeyTableOptions options;
    options.m_bounds = kBounds;
    options.m_retention = Millis(20'000);
    m_table = KeyTable(options);
  }

  NodeIncarnation m_id;
  KeyPartitions m_partitions;
  GoneNodeDetector m_gone;
  KeyTable m_table;
  TimePoint m_startedAt;
  /// Not applied to the key table yet.
  std::deque<std::shared_ptr<const KeyOwnership>> m_snapshots;
  std::vector<IdempotencyKey> m_claimed; ///< Claimed, not sent yet.
  std::vector<IdempotencyKey> m_sent;    ///< Sent, without an outcome so far.
};

class Simulation
{
public:
  Simulation(std::uint64_t aSeed, Safeguards aSafeguards)
    : m_random(aSeed)
    , m_safeguards(aSafeguards)
  {
    for (std::size_t i = 0; i < kNodes; ++i) {
      StartNode(i);
    }
  }

  /// Returns the number of keys that ran more than once.
  int Run(int aSteps)
  {
    for (int i = 0; i < aSteps; ++i) {
      Step();
    }
    int keysRunTwice = 0;
    for (const auto& [key, runs] : m_runs) {
      keysRunTwice += runs > 1 ? 1 : 0;
    }
    return keysRunTwice;
  }

  std::size_t KeysRun() const { return m_runs.size(); }
  int Takeovers() const { return m_takeovers; }

private:
  std::size_t RandomBelow(std::size_t aCount) { return m_random() % aCount; }

  void StartNode(std::size_t aIndex)
  {
    const NodeIncarnation id{ "entry-" + std::to_string(aIndex), ++m_incarnations[aIndex] };
    m_nodes[aIndex] = std::make_unique<Node>(id, m_now);
  }

  /// The wall clocks of two nodes differ by up to twice the maximum clock error.
  WallTime WallClockOf(std::size_t aIndex) const
  {
    const Millis error = kBounds.m_clockError * (static_cast<int>(aIndex) - 1);
    return kWallClockStart + std::chrono::duration_cast<Millis>(m_now.time_since_epoch()) + error;
  }

  void Step()
  {
    m_now += Micros(RandomBelow(60'000));
    const std::size_t index = RandomBelow(kNodes);
    if (!m_nodes[index]) {
      if (RandomBelow(60) == 0) {
        StartNode(index);
      }
      return;
    }
    Node& node = *m_nodes[index];
    switch (RandomBelow(16)) {
      case 0:
        return RunControlPlane(index, node);
      case 1:
        return RandomBelow(3) == 0 ? ReadRows(node) : ClaimRecentKey(index, node);
      case 2:
        return DeliverWrite();
      case 3:
        return DeliverSnapshot(node);
      case 4:
        return StopNode(index);
      case 5:
        return ClaimNewKey(index, node);
      case 6:
      case 11:
      case 12:
      case 13:
        return ClaimRecentKey(index, node);
      case 7:
      case 8:
        return SendRequest(node);
      case 9:
        return FinishRequest(index, node);
      case 10:
        return node.m_table.Expire(WallClockOf(index));
      default:
        return ReportStoppedPartitions(node);
    }
  }

  void StopNode(std::size_t aIndex)
  {
    if (RandomBelow(12) == 0) {
      m_nodes[aIndex].reset();
    }
  }

  std::vector<NodeIncarnation> Members() const
  {
    std::vector<NodeIncarnation> members;
    for (const auto& node : m_nodes) {
      if (node) {
        members.push_back(node->m_id);
      }
    }
    return members;
  }

  void RunControlPlane(std::size_t aIndex, Node& aNode)
  {
    std::vector<VmListing> list;
    for (const NodeIncarnation& member : Members()) {
      aNode.m_gone.OnIncarnationSeen(member, m_now);
      list.emplace_back().m_name = member.m_node;
    }
    aNode.m_gone.OnVmList(list, m_now);
    aNode.m_partitions.OnMembers(Members(), m_now);
    auto transaction = aNode.m_partitions.NextTransaction(m_now, WallClockOf(aIndex), aNode.m_gone);
    if (transaction) {
      m_writes.push_back(std::move(*transaction));
      aNode.m_partitions.OnTransactionEnd();
    }
    if (auto snapshot = aNode.m_partitions.TakeSnapshot()) {
      aNode.m_snapshots.push_back(std::move(snapshot));
    }
  }

  /// Reads the current rows or, with a probability of 1/4, rows up to four commits old.
  void ReadRows(Node& aNode)
  {
    if (m_history.empty()) {
      return aNode.m_partitions.OnScanned();
    }
    const std::size_t age =
      RandomBelow(4) == 0 ? RandomBelow(std::min<std::size_t>(m_history.size(), 5)) : 0;
    for (Row row : m_history[m_history.size() - 1 - age]) {
      if (!m_safeguards.m_useMintFloor) {
        row.m_value["mint_floor_ms"] = 0;
      }
      aNode.m_partitions.OnRow(row);
    }
    aNode.m_partitions.OnScanned();
  }

  /// Writes are delayed and reordered, and one in five is lost.
  void DeliverWrite()
  {
    if (m_writes.empty()) {
      return;
    }
    const auto write = m_writes.begin() + static_cast<std::ptrdiff_t>(RandomBelow(m_writes.size()));
    if (RandomBelow(5) > 0) {
      Commit(*write);
    }
    m_writes.erase(write);
  }

  void Commit(const Transaction& aTransaction)
  {
    for (const RowCheck& check : aTransaction.m_checks) {
      if (m_safeguards.m_checkWrites && m_rows[check.m_key].m_version != check.m_version) {
        return;
      }
    }
    for (const RowWrite& write : aTransaction.m_writes) {
      Row& row = m_rows[write.m_key];
      m_takeovers += row.m_version > 0 ? 1 : 0;
      row = { write.m_key, row.m_version + 1, *write.m_value };
    }
    std::vector<Row> rows;
    for (const auto& [key, row] : m_rows) {
      if (row.m_version > 0) {
        rows.push_back(row);
      }
    }
    m_history.push_back(std::move(rows));
  }

  static void DeliverSnapshot(Node& aNode)
  {
    if (!aNode.m_snapshots.empty()) {
      aNode.m_table.Apply(aNode.m_snapshots.front());
      aNode.m_snapshots.pop_front();
    }
  }

  static void ReportStoppedPartitions(Node& aNode)
  {
    for (const StoppedPartition& stopped : aNode.m_table.TakeStoppedPartitions()) {
      aNode.m_partitions.OnStopped(stopped);
    }
  }

  void ClaimNewKey(std::size_t aIndex, Node& aNode)
  {
    const Millis ahead(static_cast<int>(RandomBelow(4'500)) - 2'000);
    m_keys.push_back(MintIdempotencyKey(WallClockOf(1) + ahead, m_random(), m_random()));
    Claim(aIndex, aNode, m_keys.back());
  }

  void ClaimRecentKey(std::size_t aIndex, Node& aNode)
  {
    if (!m_keys.empty()) {
      const std::size_t age = RandomBelow(std::min<std::size_t>(m_keys.size(), 10));
      Claim(aIndex, aNode, m_keys[m_keys.size() - 1 - age]);
    }
  }

  void Claim(std::size_t aIndex, Node& aNode, const IdempotencyKey& aKey)
  {
    const KeyClaim claim = aNode.m_table.Claim(WallClockOf(aIndex), aKey, 7, 1);
    if (claim.m_decision == KeyDecision::Run) {
      aNode.m_claimed.push_back(aKey);
    }
  }

  void SendRequest(Node& aNode)
  {
    if (aNode.m_claimed.empty()) {
      return;
    }
    const IdempotencyKey key = aNode.m_claimed.back();
    aNode.m_claimed.pop_back();
    if (RandomBelow(8) == 0) {
      aNode.m_table.OnNotRun(key);
      return;
    }
    ++m_runs[key];
    aNode.m_sent.push_back(key);
  }

  void FinishRequest(std::size_t aIndex, Node& aNode)
  {
    if (aNode.m_sent.empty()) {
      return;
    }
    const IdempotencyKey key = aNode.m_sent.back();
    aNode.m_sent.pop_back();
    if (RandomBelow(4) == 0) {
      aNode.m_table.OnUnknown(key);
      return;
    }
    aNode.m_table.OnResponse(WallClockOf(aIndex), key, std::make_shared<HttpResponse>());
  }

  std::mt19937_64 m_random;
  Safeguards m_safeguards;
  TimePoint m_now{ std::chrono::hours(1) };
  std::map<std::size_t, std::uint64_t> m_incarnations;
  std::array<std::unique_ptr<Node>, kNodes> m_nodes;
  std::map<std::string, Row> m_rows;
  std::vector<std::vector<Row>> m_history; ///< All rows after each commit.
  std::vector<Transaction> m_writes;       ///< Not delivered to the shared table yet.
  std::vector<IdempotencyKey> m_keys;
  std::map<IdempotencyKey, int> m_runs;
  int m_takeovers = 0;
};

struct Totals
{
  int m_keysRunTwice = 0;
  std::size_t m_runs = 0;
  int m_takeovers = 0;
};

Totals RunSeeds(Safeguards aSafeguards)
{
  Totals totals;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Simulation simulation(seed, aSafeguards);
    totals.m_keysRunTwice += simulation.Run(8'000);
    totals.m_runs += simulation.KeysRun();
    totals.m_takeovers += simulation.Takeovers();
  }
  return totals;
}

} // namespace

TEST_CASE("Key ownership runs no key twice under random interleavings")
{
  const Totals totals = RunSeeds({});
  CHECK(totals.m_keysRunTwice == 0);
  CHECK(totals.m_runs > 1'000);
  CHECK(totals.m_takeovers > 100);
  MESSAGE("keys run: " << totals.m_runs << ", changes of owner: " << totals.m_takeovers);
}

TEST_CASE("Key ownership runs keys twice if mint floors are ignored")
{
  CHECK(RunSeeds({ false, true }).m_keysRunTwice > 0);
}

TEST_CASE("Key ownership runs keys twice if row versions are not checked")
{
  CHECK(RunSeeds({ true, false }).m_keysRunTwice > 0);
}
