#include "mustardtray/job/Ownership.h"

#include <algorithm>

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace mustardtray::job;

namespace {

const TimePoint kStart{ Micros(100'000'000) };

NodeRow MakeNode(const std::string& aName, TimePoint aChangedAt)
{
  NodeRow node;
  node.m_name = aName;
  node.m_incarnation = aName + "-1";
  node.m_address = "10.0.0.1:7000";
  node.m_version = 20;
  node.m_changedAt = aChangedAt;
  return node;
}

OwnershipView MakeView(const std::string& aSelf)
{
  OwnershipView view;
  view.m_self = aSelf;
  view.m_incarnation = aSelf + "-1";
  for (const std::string name : { "a", "b", "c" }) {
    view.m_nodes[name] = MakeNode(name, kStart);
  }
  view.m_pools = { "p" };
  return view;
}

OwnerRow OwnedBy(const std::string& aNode)
{
  OwnerRow owner;
  owner.m_pool = "p";
  owner.m_node = aNode;
  owner.m_incarnation = aNode + "-1";
  owner.m_version = 9;
  return owner;
}

int CountClaimers(const std::function<void(OwnershipView&)>& aPrepare, TimePoint aNow)
{
  int claimers = 0;
  for (const std::string self : { "a", "b", "c" }) {
    OwnershipView view = MakeView(self);
    aPrepare(view);
    claimers += static_cast<int>(DecideOwnership(view, aNow).m_claims.size());
  }
  return claimers;
}

} // namespace

TEST_CASE("exactly one node claims a pool without an owner")
{
  CHECK(CountClaimers([](OwnershipView&) {}, kStart) == 1);
}

TEST_CASE("a live owner keeps its pool")
{
  CHECK(CountClaimers([](OwnershipView& aView) { aView.m_owners["p"] = OwnedBy("a"); },
                      kStart + Millis(3'000)) == 0);
}

TEST_CASE("an unresponsive owner is evicted before its pool is claimed")
{
  const TimePoint later = kStart + kNodeTimeout + Millis(1);
  int evictions = 0;
  for (const std::string self : { "b", "c" }) {
    OwnershipView view = MakeView(self);
    view.m_owners["p"] = OwnedBy("a");
    view.m_nodes["b"].m_changedAt = later;
    view.m_nodes["c"].m_changedAt = later;
    const OwnershipActions actions = DecideOwnership(view, later);
    evictions += static_cast<int>(actions.m_evictions.size());
    CHECK(actions.m_claims.size() == actions.m_evictions.size());
  }
  CHECK(evictions == 1);
}

TEST_CASE("the node timeout is longer than the lease on a clock that runs 2% slow")
{
  CHECK(kNodeTimeout.count() > static_cast<double>(kNodeLease.count()) / 0.98);
}

TEST_CASE("a restarted node takes its pools back")
{
  OwnershipView view = MakeView("a");
  view.m_owners["p"] = OwnedBy("a");
  view.m_incarnation = "a-2";
  view.m_nodes["a"].m_incarnation = "a-2";
  const OwnershipActions actions = DecideOwnership(view, kStart);
  CHECK(actions.m_evictions.empty());
  CHECK(actions.m_claims == std::vector<std::string>{ "p" });
}

// Regression test, found in crpud-payplan inc-67d9: a pool was claimed away from a node that had
// just restarted, because its new registration had not been received yet.
TEST_CASE("a pool is not claimed while its owner's claim is newer than the known node row")
{
  OwnershipView view = MakeView("b");
  view.m_owners["p"] = OwnedBy("a");
  view.m_owners["p"].m_incarnation = "a-2";
  view.m_nodes["a"].m_changedAt = kStart - Millis(10'000);
  view.m_nodes["a"].m_version = 5;
  CHECK(DecideOwnership(view, kStart).m_claims.empty());
  // When the node's row is newer and still has another incarnation, the claim is void.
  view.m_nodes["a"].m_version = 10;
  view.m_nodes["a"].m_isEvicted = true;
  int claims = 0;
  for (const std::string self : { "b", "c" }) {
    view.m_self = self;
    claims += static_cast<int>(DecideOwnership(view, kStart).m_claims.size());
  }
  CHECK(claims == 1);
}

TEST_CASE("a released pool is claimed only by the named successor")
{
  const auto prepare = [](OwnershipView& aView) {
    aView.m_owners["p"] = OwnedBy("a");
    aView.m_owners["p"].m_isReleased = true;
    aView.m_owners["p"].m_successor = "c";
  };
  OwnershipView view = MakeView("c");
  prepare(view);
  CHECK(DecideOwnership(view, kStart).m_claims.size() == 1);
  CHECK(CountClaimers(prepare, kStart) == 1);
}

TEST_CASE("a leaving node claims no pool and is not chosen as a successor")
{
  OwnershipView view = MakeView("a");
  view.m_selfIsLeaving = true;
  CHECK(DecideOwnership(view, kStart).m_claims.empty());
  view = MakeView("a");
  view.m_nodes["b"].m_isLeaving = true;
  CHECK(ChooseSuccessor(view, "p", kStart) == "c");
}

TEST_CASE("a leaving node keeps its pools until another node can take them")
{
  const TimePoint deadline = kStart + Millis(4'000);
  OwnershipView view = MakeView("a");
  view.m_selfIsLeaving = true;
  view.m_nodes["b"].m_isLeaving = true;
  view.m_nodes["c"].m_isLeaving = true;
  CHECK_FALSE(ShouldHandOver(view, deadline, kStart));
  CHECK(ShouldHandOver(view, deadline, deadline));
  view.m_nodes["b"] = MakeNode("b", kStart);
  CHECK(ShouldHandOver(view, deadline, kStart));
  const TimePoint isUnresponsive = kStart + kNodeTimeout;
  CHECK_FALSE(ShouldHandOver(view, deadline, isUnresponsive));
}

TEST_CASE("rows are unchanged after encoding and decoding, malformed ones are errors")
{
  OwnerRow owner = OwnedBy("a");
  owner.m_epoch = 4;
  owner.m_isReleased = true;
  owner.m_successor = "b";
  const auto decoded = DecodeOwnerRow("p", EncodeOwnerRow(owner));
  REQUIRE(decoded);
  CHECK(decoded.value().m_epoch == 4);
  CHECK(decoded.value().m_successor == "b");
  CHECK_FALSE(DecodeOwnerRow("p", "{}"));
  CHECK_FALSE(DecodeNodeRow("a", "no json"));
  NodeRow node = MakeNode("a", kStart);
  node.m_isEvicted = true;
  CHECK(DecodeNodeRow("a", EncodeNodeRow(node)).value().m_isEvicted);
}

TEST_CASE("a node that has just started does not keep others from claiming a silent node's pool")
{
  // "a" has crashed; "b" has run for long and owns another pool; "c" has just been restarted as
  // planned, owns nothing, and does not know the row of "a", which has not changed since.
  const TimePoint now = kStart + kNodeTimeout + Millis(100);
  std::size_t claims = 0;
  bool isKnownToAll = false;
  SUBCASE("it knows the row of the silent node")
  {
    isKnownToAll = true;
  }
  SUBCASE("it does not know the row yet") {}
  for (const std::string self : { "b", "c" }) {
    OwnershipView view = MakeView(self);
    view.m_nodes["b"].m_changedAt = now;
    view.m_nodes["c"].m_changedAt = now;
    view.m_owners["p"] = OwnedBy("a");
    view.m_owners["q"] = OwnedBy("b");
    view.m_owners["q"].m_pool = "q";
    if (self == "c" && !isKnownToAll) {
      view.m_nodes.erase("a");
    }
    claims += DecideOwnership(view, now).m_claims.size();
  }
  CHECK(claims == 1);
}
