#include "node/Membership.h"

#include <map>
#include <set>

#include <doctest/doctest.h>

#include "tests/node/NodeFixture.h"
#include "tests/soak/RowStoreStandin.h"

using namespace mustardtray;
using namespace mustardtray::node;

namespace {

constexpr const char* kPool = "pool";

job::NodeRow MakeNodeRow(bool aIsEvicted)
{
  job::NodeRow row;
  row.m_incarnation = "other-1";
  row.m_address = "127.0.0.1:1";
  row.m_isEvicted = aIsEvicted;
  return row;
}

/// A node beside the rows of another one, "other", which owns the pool.
struct MembershipFixture
{
  MembershipFixture()
    : m_store(m_io, m_timers)
    , m_node(m_io, m_timers, MakeSettings(m_store.Port()))
  {
    m_node.m_context.m_deployment.m_pools.push_back({ kPool, true, false });
    m_node.m_context.m_shards.Set(kPool, 1);
  }

  static platform::NodeSettings MakeSettings(std::uint16_t aPort)
  {
    platform::NodeSettings settings;
    settings.m_nodeName = "self";
    settings.m_store = { "127.0.0.1", aPort };
    return settings;
  }

  void Commit(const char* aTable, const std::string& aPartition, const std::string& aValue)
  {
    platform::Transaction transaction;
    transaction.m_writes.push_back({ { aTable, aPartition, kSingleRowKey }, aValue });
    m_node.m_store.Commit(
      transaction, Millis(1'000), [](Result<platform::TransactionResult> aResult) {
        REQUIRE(aResult.has_value());
      });
  }

  void WriteOtherOwner()
  {
    Commit(kNodeTable, "other", job::EncodeNodeRow(MakeNodeRow(false)));
    m_io.run_for(Millis(100));
    job::OwnerRow owner;
    owner.m_node = "other";
    owner.m_incarnation = "other-1";
    Commit(kOwnerTable, kPool, job::EncodeOwnerRow(owner));
    m_io.run_for(Millis(100));
    // A renewal, so that the row is newer than the claim.
    Commit(kNodeTable, "other", job::EncodeNodeRow(MakeNodeRow(false)));
    m_io.run_for(Millis(100));
  }

  void StartMembership()
  {
    m_membership =
      std::make_unique<Membership>(m_node.m_context,
                                   "127.0.0.1:1",
                                   MembershipCallbacks{ [this](const job::OwnerRow& aClaim) {
                                                         m_claimed.insert(aClaim.m_pool);
                                                         m_claims[aClaim.m_pool] = aClaim;
                                                       },
                                                        [](const std::string&) {},
                                                        [] {} });
  }

  /// Runs until the pool is claimed, but at most for aTime.
  void RunUntilClaimed(Millis aTime)
  {
    const TimePoint end = MonotonicNow() + aTime;
    while (MonotonicNow() < end && !m_claimed.contains(kPool)) {
      m_io.run_for(Millis(20));
    }
  }

  /// Whether the store has the pool as released by its owner.
  bool IsReleased()
  {
    bool isReleased = false;
    m_node.m_store.Read(
      { kOwnerTable, kPool, "" }, "", Millis(1'000), [&](Result<platform::RowPage> aPage) {
        REQUIRE(aPage.has_value());
        REQUIRE(aPage.value().m_rows.size() == 1);
        const auto row = job::DecodeOwnerRow(kPool, aPage.value().m_rows[0].m_value);
        REQUIRE(row.has_value());
        isReleased = row.value().m_isReleased;
      });
    m_io.run_for(Millis(200));
    return isReleased;
  }

  asio::io_context m_io;
  TimerService m_timers{ m_io };
  soak::RowStoreStandin m_store;
  NodeFixture m_node;
  std::set<std::string> m_claimed;
  std::map<std::string, job::OwnerRow> m_claims;
  std::unique_ptr<Membership> m_membership;
};

} // namespace

TEST_CASE("a node claims the pools of an evicted node although it missed the eviction")
{
  // The store discards its history, so the change that marks the other node is never followed.
  MembershipFixture fixture;
  fixture.StartMembership();
  fixture.m_io.run_for(Millis(500));
  fixture.WriteOtherOwner();
  fixture.m_io.run_for(Millis(1'000));
  fixture.m_store.PutWithoutHistory(
    kNodeTable, "other", kSingleRowKey, job::EncodeNodeRow(MakeNodeRow(true)));
  fixture.RunUntilClaimed(Millis(12'000));
  CHECK(fixture.m_claimed.contains(kPool));
}

TEST_CASE("a node that starts claims the pool of an owner that was lost before")
{
  MembershipFixture fixture;
  fixture.WriteOtherOwner();
  fixture.StartMembership();
  fixture.RunUntilClaimed(Millis(12'000));
  CHECK(fixture.m_claimed.contains(kPool));
}

TEST_CASE("a pool whose release the store refused is released later")
{
  // Other nodes do not claim a pool of a node that still renews its row.
  MembershipFixture fixture;
  fixture.StartMembership();
  fixture.RunUntilClaimed(Millis(12'000));
  REQUIRE(fixture.m_claimed.contains(kPool));
  fixture.m_membership->StartLeaving();
  fixture.m_io.run_for(Millis(100));
  fixture.m_store.SetFault(soak::StoreFault::Busy);
  bool hasEnded = false;
  fixture.m_membership->ReleasePool(fixture.m_claims.at(kPool),
                                    [&](const std::string&) { hasEnded = true; });
  fixture.m_io.run_for(Millis(300));
  CHECK(hasEnded);
  fixture.m_store.SetFault(soak::StoreFault::None);
  fixture.m_io.run_for(Millis(1'500));
  CHECK(fixture.IsReleased());
}

TEST_CASE("a repeated release leaves the row of a successor")
{
  MembershipFixture fixture;
  fixture.StartMembership();
  fixture.RunUntilClaimed(Millis(12'000));
  REQUIRE(fixture.m_claimed.contains(kPool));
  const job::OwnerRow claim = fixture.m_claims.at(kPool);
  fixture.m_membership->StartLeaving();
  fixture.m_io.run_for(Millis(100));
  fixture.m_store.SetFault(soak::StoreFault::Busy);
  fixture.m_membership->ReleasePool(claim, [](const std::string&) {});
  fixture.m_io.run_for(Millis(50));
  job::OwnerRow successor = claim;
  successor.m_node = "other";
  successor.m_incarnation = "other-1";
  fixture.m_store.PutWithoutHistory(
    kOwnerTable, kPool, kSingleRowKey, job::EncodeOwnerRow(successor));
  fixture.m_store.SetFault(soak::StoreFault::None);
  fixture.m_io.run_for(Millis(1'500));
  CHECK_FALSE(fixture.IsReleased());
}

TEST_CASE("a claim that is written after its node began to leave is released")
{
  // The claim was sent before, and its response is late or lost.
  MembershipFixture fixture;
  fixture.StartMembership();
  fixture.m_io.run_for(Millis(500));
  fixture.m_membership->StartLeaving();
  fixture.m_io.run_for(Millis(100));
  job::OwnerRow claim;
  claim.m_node = "self";
  claim.m_incarnation = "self-1";
  fixture.Commit(kOwnerTable, kPool, job::EncodeOwnerRow(claim));
  fixture.m_io.run_for(Millis(1'500));
  CHECK(fixture.IsReleased());
  CHECK(fixture.m_claimed.empty());
}

TEST_CASE("a node claims the pool of an owner whose new registration it missed")
{
  // The owner restarted, claimed the pool and was lost while the store discarded its history.
  MembershipFixture fixture;
  fixture.StartMembership();
  fixture.m_io.run_for(Millis(500));
  job::NodeRow former = MakeNodeRow(false);
  former.m_incarnation = "other-0";
  fixture.Commit(kNodeTable, "other", job::EncodeNodeRow(former));
  fixture.m_io.run_for(Millis(1'000));
  fixture.m_store.PutWithoutHistory(
    kNodeTable, "other", kSingleRowKey, job::EncodeNodeRow(MakeNodeRow(false)));
  job::OwnerRow owner;
  owner.m_node = "other";
  owner.m_incarnation = "other-1";
  fixture.Commit(kOwnerTable, kPool, job::EncodeOwnerRow(owner));
  fixture.RunUntilClaimed(Millis(12'000));
  CHECK(fixture.m_claimed.contains(kPool));
}

TEST_CASE("a node claims a pool whose late claim names a former process of its owner")
{
  // The store wrote the claim after the owner had restarted, and then the owner was lost.
  MembershipFixture fixture;
  fixture.StartMembership();
  fixture.m_io.run_for(Millis(500));
  fixture.Commit(kNodeTable, "other", job::EncodeNodeRow(MakeNodeRow(false)));
  fixture.m_io.run_for(Millis(500));
  job::OwnerRow owner;
  owner.m_node = "other";
  owner.m_incarnation = "other-0";
  fixture.Commit(kOwnerTable, kPool, job::EncodeOwnerRow(owner));
  fixture.RunUntilClaimed(Millis(12'000));
  CHECK(fixture.m_claimed.contains(kPool));
}

TEST_CASE("a node that has just started claims a pool that was released to it")
{
  // All other nodes are leaving, so the pool has no owner until this one claims it.
  constexpr Millis kMaxTime{ 1'000 };
  MembershipFixture fixture;
  fixture.WriteOtherOwner();
  fixture.StartMembership();
  job::OwnerRow owner;
  owner.m_node = "other";
  owner.m_incarnation = "other-1";
  owner.m_isReleased = true;
  owner.m_successor = "self";
  fixture.Commit(kOwnerTable, kPool, job::EncodeOwnerRow(owner));
  fixture.RunUntilClaimed(kMaxTime);
  CHECK(fixture.m_claimed.contains(kPool));
}

/// Guards against accepted jobs without an owner: a configuration drops their pool before any node
/// has claimed it.
TEST_CASE("a pool that the configuration has dropped is claimed if it has no owner yet")
{
  MembershipFixture fixture;
  fixture.m_node.m_context.m_deployment.m_pools.clear();
  fixture.StartMembership();
  fixture.RunUntilClaimed(Millis(5'000));
  CHECK(fixture.m_claimed.contains(kPool));
}
