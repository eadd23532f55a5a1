#include "tests/node/ShardFixture.h"

using namespace mustardtray;
using namespace mustardtray::node;

namespace {

constexpr const char* kJob = "0123456789abcdef";
constexpr const char* kNewJob = "fedcba9876543210";

/// A queue whose jobs pool-a runs, until a configuration sends it to pool-b.
struct QueueMoveFixture : ShardFixture
{
  QueueMoveFixture()
  {
    m_node.m_context.m_shards.Set("pool-a", 1);
    m_node.m_context.m_shards.Set("pool-b", 1);
    SendQueueTo("pool-a", "first", 1);
    Own("pool-a");
    Own("pool-b");
    AddMinion("pool-a", "minion-a", "a");
    AddMinion("pool-b", "minion-b", "a");
  }

  /// Submits a job that no minion can run, so that it waits.
  int Submit(const std::string& aJob) { return ShardFixture::Submit(aJob, "b"); }
};

} // namespace

/// Guards against jobs that nobody finds any more, and that a repeated request starts again, once a
/// configuration sends their queue to another pool.
TEST_CASE("jobs are found and not accepted again after their queue has moved to another pool")
{
  for (const char* route : { "first", "second" }) {
    CAPTURE(route);
    QueueMoveFixture fixture;
    REQUIRE(fixture.Submit(kJob) == 200);
    fixture.SendQueueTo("pool-b", route, 2);
    CHECK(fixture.Call("GET", kJob).m_status == 200);
    CHECK(fixture.Submit(kJob) == 200);
    fixture.m_io.run_for(Millis(300));
    CHECK_FALSE(fixture.Has("pool-b", kJob));
    CHECK(fixture.Has("pool-a", kJob));
    CHECK(fixture.Call("GET", "").m_body == R"({"waiting":1})");
    // The owners take over again, and the queue goes back.
    fixture.Own("pool-a");
    fixture.Own("pool-b");
    CHECK(fixture.Call("GET", kJob).m_status == 200);
    fixture.SendQueueTo("pool-a", "first", 3);
    CHECK(fixture.Submit(kJob) == 200);
    CHECK(fixture.Call("DELETE", kJob).m_status == 200);
    CHECK(fixture.Call("GET", kJob).m_body == R"({"state":"cancelled"})");
  }
}

TEST_CASE("new jobs of a queue that has moved run in its new pool and are found there")
{
  QueueMoveFixture fixture;
  REQUIRE(fixture.Submit(kJob) == 200);
  fixture.SendQueueTo("pool-b", "second", 2);
  REQUIRE(fixture.Submit(kNewJob) == 200);
  REQUIRE(fixture.RunUntil([&] { return fixture.Has("pool-b", kNewJob); }));
  CHECK(fixture.Call("GET", kNewJob).m_status == 200);
  CHECK(fixture.Submit(kNewJob) == 200);
  CHECK(fixture.Call("GET", "").m_body == R"({"waiting":2})");
  // A node with the older version.
  fixture.SendQueueTo("pool-a", "first", 1);
  CHECK(fixture.Call("GET", kNewJob).m_status == 200);
  CHECK(fixture.Submit(kNewJob) == 200);
  CHECK_FALSE(fixture.Has("pool-a", kNewJob));
  CHECK(fixture.Call("GET", "").m_body == R"({"waiting":2})");
  fixture.RunUntil([&] { return fixture.m_store.Value(kJobTable, "pool-a", kNewJob).empty(); });
  CHECK(fixture.m_store.Value(kJobTable, "pool-a", kNewJob).empty());
  // Its home has no owner: the store shows where it is.
  fixture.m_owners.erase("pool-a");
  CHECK(fixture.Call("GET", kNewJob).m_status == 200);
  CHECK(fixture.Call("DELETE", kNewJob).m_status == 200);
  CHECK(fixture.Call("GET", kNewJob).m_body == R"({"state":"cancelled"})");
}

TEST_CASE("new jobs for a pool whose shards are not known yet are refused, and others are found")
{
  QueueMoveFixture fixture;
  REQUIRE(fixture.Submit(kJob) == 200);
  fixture.SendQueueTo("pool-c", "first", 2);
  CHECK(fixture.Submit(kNewJob) == 503);
  CHECK(fixture.Call("GET", kJob).m_status == 200);
  CHECK(fixture.Call("GET", "").m_body == R"({"waiting":1})");
}

TEST_CASE("a job that is being handed to its new pool is known, and a takeover repeats the move")
{
  QueueMoveFixture fixture;
  fixture.SendQueueTo("pool-a", "first", 1);
  REQUIRE(fixture.Submit(kJob) == 200);
  fixture.SendQueueTo("pool-b", "first", 2);
  fixture.m_isShardCallLost = true;
  REQUIRE(fixture.Submit(kNewJob) == 200);
  CHECK(fixture.Call("GET", kNewJob).m_body == R"({"state":"queued"})");
  CHECK(fixture.Submit(kNewJob) == 200);
  CHECK(fixture.Call("GET", "").m_body == R"({"waiting":2})");
  fixture.Own("pool-a");
  CHECK(fixture.Call("GET", kNewJob).m_body == R"({"state":"queued"})");
  CHECK(fixture.Call("DELETE", kNewJob).m_status == 200);
  fixture.m_isShardCallLost = false;
  REQUIRE(fixture.RunUntil([&] { return fixture.Has("pool-b", kNewJob); }));
  const std::string cancel = std::string(kCancelPrefix) + kNewJob;
  fixture.RunUntil([&] { return fixture.m_owners["pool-a"]->FindForward(kNewJob) != nullptr; });
  // The owners read their inboxes when they load.
  fixture.Own("pool-a");
  fixture.RunUntil([&] {
    return !fixture.m_store.Value(kInboxTable, "pool-b", cancel).empty() ||
           fixture.m_store.Value(kInboxTable, "pool-a", cancel).empty();
  });
  fixture.Own("pool-b");
  CHECK(fixture.RunUntil(
    [&] { return fixture.Call("GET", kNewJob).m_body == R"({"state":"cancelled"})"; }));
}

TEST_CASE("a repeated handover of a job neither starts it again nor undoes a later move")
{
  QueueMoveFixture fixture;
  PoolOwner& owner = *fixture.m_owners["pool-b"];
  job::JobRecord record = job::MakeJob(kJob, 1);
  record.m_moves = 1;
  AdoptOutcome outcome = AdoptOutcome::NotOwner;
  const auto adopt = [&] {
    bool isDone = false;
    owner.Adopt(record, [&](AdoptOutcome aOutcome) {
      outcome = aOutcome;
      isDone = true;
    });
    return fixture.RunUntil([&] { return isDone; });
  };
  REQUIRE(adopt());
  CHECK(outcome == AdoptOutcome::Adopted);
  REQUIRE(adopt());
  CHECK(outcome == AdoptOutcome::Adopted);
  CHECK(owner.Scheduler().Jobs().size() == 1);
  record.m_queuePolicy.m_queue = "other";
  REQUIRE(adopt());
  CHECK(outcome == AdoptOutcome::Rejected);
}
