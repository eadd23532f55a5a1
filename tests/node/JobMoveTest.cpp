#include "tests/node/ShardFixture.h"

using namespace mustardtray;
using namespace mustardtray::node;

namespace {

/// Long enough for an owner to move a job soon after its takeover.
constexpr Millis kMoveTime{ 8'000 };

/// A pool of two shards. The only minion with the label "b" is in the second one.
struct JobMoveFixture : ShardFixture
{
  JobMoveFixture()
  {
    m_node.m_context.m_shards.Set("pool", 2);
    SendQueueTo("pool", "queue", 1);
    Own("pool#0");
    Own("pool#1");
    AddMinion("pool#0", "minion-0", "a");
    AddMinion("pool#1", "minion-1", "b");
  }

  /// Returns the ID of a job that belongs to the shard.
  std::string JobOf(const std::string& aShard)
  {
    std::string id;
    do {
      id = fmt::format("{:016x}", ++m_jobs);
    } while (m_node.m_context.m_shards.Of("pool", id) != aShard);
    return id;
  }

  std::uint64_t m_jobs = 0;
};

} // namespace

/// Guards against accepted jobs that wait for ever because no minion of their shard has the label
/// that they require, while a minion of another shard has it and is idle.
TEST_CASE("a job whose shard has no minion with its label moves to a shard that has one")
{
  JobMoveFixture fixture;
  const std::string job = fixture.JobOf("pool#0");
  REQUIRE(fixture.Submit(job, "b") == 200);
  REQUIRE(fixture.RunUntil([&] { return fixture.Has("pool#1", job); }, kMoveTime));
  REQUIRE(fixture.RunUntil([&] { return !fixture.Has("pool#0", job); }));
  CHECK(fixture.Call("GET", job).m_status == 200);
  CHECK(fixture.Submit(job, "b") == 200);
  fixture.m_io.run_for(Millis(100));
  CHECK_FALSE(fixture.Has("pool#0", job));
  REQUIRE(
    fixture.RunUntil([&] { return fixture.m_store.Value(kJobTable, "pool#0", job).empty(); }));
  // Both owners take over again.
  fixture.Own("pool#0");
  fixture.Own("pool#1");
  CHECK(fixture.Has("pool#1", job));
  CHECK(fixture.Call("DELETE", job).m_status == 200);
  CHECK(fixture.Call("GET", job).m_body == R"({"state":"cancelled"})");
}

TEST_CASE("a job that no shard can run stays, and one whose own shard can is not moved")
{
  JobMoveFixture fixture;
  const std::string fitting = fixture.JobOf("pool#0");
  const std::string unfit = fixture.JobOf("pool#0");
  REQUIRE(fixture.Submit(unfit, "c") == 200);
  REQUIRE(fixture.Submit(fitting, "a") == 200);
  fixture.m_io.run_for(Millis(6'000));
  CHECK(fixture.Has("pool#0", unfit));
  CHECK(fixture.Has("pool#0", fitting));
  CHECK(fixture.m_shardCalls[kPeerRoomPath] > 0);
  CHECK(fixture.m_shardCalls[kPeerAdoptPath] == 0);
}

TEST_CASE("a move that was stored goes on after a takeover, and to the same shard")
{
  JobMoveFixture fixture;
  const std::string job = fixture.JobOf("pool#0");
  REQUIRE(fixture.Submit(job, "b") == 200);
  fixture.m_lostPath = kPeerAdoptPath;
  REQUIRE(fixture.RunUntil(
    [&] { return !fixture.m_store.Value(kForwardTable, "pool#0", job).empty(); }, kMoveTime));
  CHECK_FALSE(fixture.Has("pool#1", job));
  fixture.Own("pool#0");
  CHECK_FALSE(fixture.Has("pool#0", job));
  CHECK(fixture.Call("GET", job).m_body == R"({"state":"queued"})");
  fixture.m_lostPath.clear();
  REQUIRE(fixture.RunUntil([&] { return fixture.Has("pool#1", job); }));
}
