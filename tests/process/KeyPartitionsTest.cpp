#include "mustardtray/process/KeyPartitions.h"

#include <map>
#include <set>

#include <doctest/doctest.h>

using namespace mustardtray;

namespace {

constexpr TimePoint kStart(Micros(std::chrono::hours(1)));
constexpr WallTime kWallStart(Millis(1'800'000'000'000));
constexpr Millis kTenMinutes{ 600'000 };

VmListing MakeListing(const std::string& aName, VmState aState)
{
  VmListing listing;
  listing.m_name = aName;
  listing.m_state = aState;
  return listing;
}

/// A table with checked transactions.
struct Table
{
  std::map<std::string, Row> m_rows;

  bool Transact(const Transaction& aTransaction)
  {
    for (const RowCheck& check : aTransaction.m_checks) {
      if (m_rows[check.m_key].m_version != check.m_version) {
        return false;
      }
    }
    for (const RowWrite& write : aTransaction.m_writes) {
      Row& row = m_rows[write.m_key];
      row = { write.m_key, row.m_version + 1, *write.m_value };
    }
    return true;
  }

  void Scan(KeyPartitions& aNode) const
  {
    for (const auto& [key, row] : m_rows) {
      if (row.m_version > 0) {
        aNode.OnRow(row);
      }
    }
    aNode.OnScanned();
  }
};

/// Nodes that share a table and know the same members. Each stopped partition is reported at once.
struct Fleet
{
  Table m_table;
  std::map<std::string, KeyPartitions> m_nodes;
  std::map<std::string, GoneNodeDetector> m_watches;
  std::vector<NodeIncarnation> m_members;
  TimePoint m_now = kStart;
  WallTime m_newestMint = kWallStart; ///< Reported with each stopped partition.
  int m_commits = 0;

  void Join(const std::string& aName, std::uint64_t aIncarnation = 1)
  {
    const NodeIncarnation id{ aName, aIncarnation };
    m_members.push_back(id);
    m_nodes.emplace(aName, KeyPartitions(id));
    m_watches.emplace(aName, GoneNodeDetector(aName));
    for (auto& [name, watch] : m_watches) {
      for (const NodeIncarnation& member : m_members) {
        watch.OnIncarnationSeen(member, m_now - kTenMinutes);
      }
    }
  }

  void Step(const std::string& aName)
  {
    KeyPartitions& node = m_nodes.at(aName);
    node.OnMembers(m_members, m_now);
    m_table.Scan(node);
    if (const auto snapshot = node.TakeSnapshot()) {
      for (std::size_t i = 0; i < kKeyPartitions; ++i) {
        const KeyPartitionView& view = snapshot->m_partitions[i];
        if (view.m_role == KeyPartitionRole::Stopping) {
          node.OnStopped({ i, view.m_record.m_epoch, m_newestMint });
        }
      }
    }
    const auto transaction = node.NextTransaction(m_now, kWallStart, m_watches.at(aName));
    if (transaction) {
      m_commits += m_table.Transact(*transaction) ? 1 : 0;
      node.OnTransactionEnd();
      m_table.Scan(node);
    }
  }

  void Run(int aSeconds)
  {
    for (int i = 0; i < aSeconds; ++i) {
      m_now += std::chrono::seconds(1);
      for (const NodeIncarnation& member : m_members) {
        Step(member.m_node);
      }
    }
  }

  std::multiset<std::size_t> OwnedCounts() const
  {
    std::multiset<std::size_t> counts;
    for (const NodeIncarnation& member : m_members) {
      counts.insert(m_nodes.at(member.m_node).OwnedCount());
    }
    return counts;
  }
};

} // namespace

TEST_CASE("KeyPartitionRecord is unchanged after conversion to a row and back")
{
  const KeyPartitionRecord record{ { "entry-3", 9 }, 4, kWallStart };
  const auto parsed = ParseKeyPartitionRecord(ToJson(record));
  REQUIRE(parsed);
  CHECK(parsed.value().m_owner == record.m_owner);
  CHECK(parsed.value().m_epoch == 4);
  CHECK(parsed.value().m_mintFloor == kWallStart);
  CHECK(!ParseKeyPartitionRecord(Json{ { "owner", 3 } }));
  CHECK(PartitionOfRowKey(KeyPartitionRowKey(63)) == 63);
  CHECK(PartitionOfRowKey("key-partition/64") == kKeyPartitions);
  CHECK(PartitionOfRowKey("key-partition/1") == kKeyPartitions);
  CHECK(PartitionOfRowKey("vm/01") == kKeyPartitions);
}

TEST_CASE("Members claim even shares of the partitions with one write each")
{
  Fleet fleet;
  for (int i = 0; i < 7; ++i) {
    fleet.Join("entry-" + std::to_string(i));
  }
  fleet.Run(5);
  CHECK(fleet.m_commits == 7);
  CHECK(*fleet.OwnedCounts().begin() >= 4);
  CHECK(*fleet.OwnedCounts().rbegin() <= 10);
  fleet.Run(60);
  CHECK(fleet.OwnedCounts() == std::multiset<std::size_t>{ 9, 9, 9, 9, 9, 9, 10 });
  const int commits = fleet.m_commits;
  fleet.Run(60);
  CHECK(fleet.m_commits == commits);
}

TEST_CASE("A joining member receives its share by handover")
{
  Fleet fleet;
  fleet.Join("entry-0");
  fleet.Run(5);
  CHECK(fleet.OwnedCounts() == std::multiset<std::size_t>{ 64 });
  fleet.Join("entry-1");
  fleet.Run(60);
  CHECK(fleet.OwnedCounts() == std::multiset<std::size_t>{ 32, 32 });
}

TEST_CASE("A node that shuts down hands over all partitions with the mint floor of its newest key")
{
  Fleet fleet;
  fleet.Join("entry-0");
  fleet.Join("entry-1");
  fleet.Run(5);
  fleet.m_nodes.at("entry-0").BeginShutdown();
  fleet.m_members.erase(fleet.m_members.begin());
  fleet.m_newestMint = kWallStart + kTenMinutes;
  fleet.Step("entry-0");
  CHECK(!fleet.m_nodes.at("entry-0").IsReleased());
  fleet.Step("entry-0");
  fleet.Step("entry-1");
  CHECK(fleet.m_nodes.at("entry-0").IsReleased());
  CHECK(fleet.OwnedCounts() == std::multiset<std::size_t>{ 64 });
  const auto isHandedOver = [&](std::size_t aPartition) {
    const KeyPartitionRecord& record = fleet.m_nodes.at("entry-1").Record(aPartition);
    return record.m_epoch == 2 && record.m_mintFloor == fleet.m_newestMint + Millis(1);
  };
  std::size_t handedOver = 0;
  for (std::size_t i = 0; i < kKeyPartitions; ++i) {
    handedOver += isHandedOver(i) ? 1 : 0;
  }
  CHECK(handedOver == 32);
}

TEST_CASE("A restarted node takes over its partitions with a new mint floor")
{
  Fleet fleet;
  fleet.Join("entry-0");
  fleet.Run(5);
  fleet.m_nodes.clear();
  fleet.m_watches.clear();
  fleet.m_members.clear();
  fleet.Join("entry-0", 2);
  fleet.Run(1);
  CHECK(fleet.OwnedCounts() == std::multiset<std::size_t>{ 0 });
  fleet.Run(5);
  CHECK(fleet.OwnedCounts() == std::multiset<std::size_t>{ 64 });
  const KeyPartitionRecord& record = fleet.m_nodes.at("entry-0").Record(0);
  CHECK(record.m_epoch == 2);
  CHECK(record.m_mintFloor == KeyTimeBounds{}.FloorAt(kWallStart));
}

TEST_CASE("An unresponsive node keeps its partitions until the platform lists it as gone")
{
  Fleet fleet;
  fleet.Join("entry-0");
  fleet.Join("entry-1");
  fleet.Run(5);
  fleet.m_members.pop_back();
  fleet.Run(600);
  CHECK(fleet.OwnedCounts() != std::multiset<std::size_t>{ 64 });
  fleet.m_watches.at("entry-0").OnVmList(
    { MakeListing("entry-0", VmState::Live), MakeListing("entry-1", VmState::Gone) }, fleet.m_now);
  fleet.Run(5);
  CHECK(fleet.OwnedCounts() == std::multiset<std::size_t>{ 64 });
}

TEST_CASE("A stale read does not restore a partition that was handed over")
{
  Fleet fleet;
  fleet.Join("entry-0");
  fleet.Run(5);
  const Table old = fleet.m_table;
  KeyPartitions& node = fleet.m_nodes.at("entry-0");
  fleet.Join("entry-1");
  fleet.Run(60);
  CHECK(node.OwnedCount() == 32);
  old.Scan(node);
  CHECK(node.OwnedCount() == 32);
}
