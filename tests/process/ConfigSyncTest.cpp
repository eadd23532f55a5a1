#include "mustardtray/process/ConfigSync.h"

#include <random>

#include <doctest/doctest.h>

#include "mustardtray/process/ConfigAgent.h"
#include "tests/support/ExampleFiles.h"
#include "tests/support/FakePlatform.h"

using namespace mustardtray;

namespace {

const Error kUnavailable{ ErrorKind::Unavailable, "read", "platform", "down" };

/// Writes versions like a node that accepts changes. Each version adds, changes or removes one
/// object.
class VersionWriter
{
public:
  explicit VersionWriter(FakePlatformState& aState)
    : m_state(aState)
  {
  }

  void WriteNext()
  {
    const std::uint64_t version = ++m_head.m_version;
    const std::string name = "vm_labels/a" + std::to_string(version % 5);
    Transaction transaction;
    const std::string key = std::string(kConfigPrefix) + name;
    if (version % 7 == 0) {
      m_objects.erase(name);
      transaction.m_writes.push_back({ key, std::nullopt });
    } else {
      m_objects[name] = Json{ { "n", std::to_string(version) } };
      transaction.m_writes.push_back({ key, m_objects[name] });
    }
    m_head.m_digest = DigestOf(m_objects);
    transaction.m_writes.push_back({ std::string(kConfigHeadKey), ToJson(m_head) });
    m_state.m_table.Transact(transaction);
  }

  const ConfigHead& Head() const { return m_head; }
  const ConfigObjects& Objects() const { return m_objects; }

private:
  FakePlatformState& m_state;
  ConfigHead m_head;
  ConfigObjects m_objects;
};

ConfigDelta FullDelta(const VersionWriter& aWriter)
{
  return { aWriter.Head(), true, aWriter.Objects(), {} };
}

} // namespace

TEST_CASE("A node scans only the changes since its last scan")
{
  FakePlatformState state;
  VersionWriter writer(state);
  ConfigSync sync;
  writer.WriteNext();
  CHECK(sync.OnPoll().m_readHead);
  CHECK_FALSE(sync.OnPoll().m_readHead); // Only one read at a time.
  CHECK(sync.OnHead(writer.Head()).m_scanSince == 0u);
  CHECK(sync.OnScan(state.m_table.Scan(kConfigPrefix, 0), 0).m_hasAdvanced);
  writer.WriteNext();
  const auto since = sync.OnHead(writer.Head()).m_scanSince;
  REQUIRE(since);
  CHECK(*since > 0);
  CHECK(sync.OnScan(state.m_table.Scan(kConfigPrefix, *since), *since).m_hasAdvanced);
  CHECK(sync.Replica().Objects() == writer.Objects());
  CHECK_FALSE(sync.OnHead(writer.Head()).m_scanSince);
}

TEST_CASE("A delta with a missing row is rejected and followed by a full scan")
{
  FakePlatformState state;
  VersionWriter writer(state);
  ConfigSync sync;
  writer.WriteNext();
  sync.OnScan(state.m_table.Scan(kConfigPrefix, 0), 0);
  writer.WriteNext();
  const std::uint64_t since = sync.OnHead(writer.Head()).m_scanSince.value();
  ScanPage page = state.m_table.Scan(kConfigPrefix, since);
  std::erase_if(page.m_rows, [](const Row& aRow) { return aRow.m_key != kConfigHeadKey; });
  CHECK_FALSE(sync.OnScan(page, since).m_hasAdvanced);
  CHECK(sync.Version() == 1);
  CHECK(sync.OnHead(writer.Head()).m_scanSince == 0u);
  CHECK(sync.OnScan(state.m_table.Scan(kConfigPrefix, 0), 0).m_hasAdvanced);
}

TEST_CASE(
  "During an outage the peer with the highest version is asked and frozen peers are skipped")
{
  FakePlatformState state;
  VersionWriter writer(state);
  writer.WriteNext();
  writer.WriteNext();
  ConfigSync sync({ "http://seed" });
  sync.OnPoll();
  CHECK(sync.OnHead(kUnavailable).m_fetchPeer == "http://seed");
  CHECK(sync.OnPeerVersion("low", 1).m_fetchPeer.empty());
  CHECK(sync.OnPeerVersion("frozen", 3).m_fetchPeer.empty());
  CHECK(sync.OnPeerVersion("high", 2).m_fetchPeer.empty());
  CHECK(sync.OnPeerDelta("http://seed", kUnavailable).m_fetchPeer == "frozen");
  CHECK(sync.OnPeerDelta("frozen", kUnavailable).m_fetchPeer == "high");
  CHECK(sync.OnPeerDelta("high", FullDelta(writer)).m_hasAdvanced);
  CHECK(sync.Version() == 2);
  CHECK(sync.OnPeerVersion("low", 1).m_fetchPeer.empty());
}

TEST_CASE("The version never decreases with stale heads, scans and peers")
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    FakePlatformState state;
    state.m_table.KeepHistoryFrom(0);
    VersionWriter writer(state);
    ConfigSync sync({ "seed" });
    std::vector<std::pair<ConfigHead, ConfigObjects>> versions{ {} };
    std::vector<ConfigSync> peers(3);
    std::uint64_t highest = 0;
    for (int i = 0; i < 400; ++i) {
      const std::size_t old = random() % versions.size();
      const ConfigHead& head = versions[old].first;
      const std::uint64_t asOf = random() % (state.m_table.Revision() + 1);
      const std::string peer = "p" + std::to_string(random() % 3);
      SyncStep step;
      switch (random() % 6) {
        case 0:
          writer.WriteNext();
          versions.emplace_back(writer.Head(), writer.Objects());
          break;
        case 1:
          step = sync.OnHead(head);
          break;
        case 2:
          step = sync.OnHead(kUnavailable);
          break;
        case 3:
          step = sync.OnPeerVersion(peer, head.m_version);
          break;
        case 4:
          step = sync.OnPeerDelta(peer, ConfigDelta{ head, true, versions[old].second, {} });
          break;
        default:
          step = sync.OnPoll();
      }
      if (step.m_scanSince) {
        step = sync.OnScan(state.m_table.Scan(kConfigPrefix, *step.m_scanSince, asOf),
                           *step.m_scanSince);
      }
      REQUIRE(sync.Version() >= highest);
      highest = sync.Version();
      REQUIRE(sync.Replica().Objects() == versions[highest].second);
    }
    CHECK(highest > 0);
  }
}

TEST_CASE("A peer sends a delta, or all objects to a node that is far behind")
{
  FakePlatformState state;
  VersionWriter writer(state);
  ConfigReplica near;
  ConfigReplica ahead;
  std::uint64_t revision = 0;
  for (int i = 0; i < 2'500; ++i) {
    writer.WriteNext();
    const ScanPage page = state.m_table.Scan(kConfigPrefix, revision);
    REQUIRE(ahead.Apply(DeltaOfScan(page, revision == 0, ahead.Head()).value()) ==
            ReplicaUpdate::Advanced);
    revision = page.m_revision;
    if (i == 2'400) {
      near = ahead;
    }
  }
  const ConfigDelta small = ParseConfigDelta(ToJson(ahead.DeltaSince(near.Version()))).value();
  CHECK_FALSE(small.m_isFull);
  CHECK(near.Apply(small) == ReplicaUpdate::Advanced);
  CHECK(near.Objects() == writer.Objects());
  const ConfigDelta full = ahead.DeltaSince(3);
  CHECK(full.m_isFull);
  ConfigReplica fresh;
  CHECK(fresh.Apply(full) == ReplicaUpdate::Advanced);
  CHECK(fresh.Apply(full) == ReplicaUpdate::Unchanged);
}

TEST_CASE("An agent that starts during an outage gets its configuration from a peer")
{
  FakePlatformState state;
  FakePlatform platform(state);
  ConfigObjects objects = ObjectsOf(ToJson(test::ExampleConfiguration("cascadia")));
  ConfigReplica peer;
  peer.Apply({ { 7, "op", DigestOf(objects) }, true, objects, {} });
  std::vector<std::uint64_t> versions;
  ConfigAgentHooks hooks;
  hooks.m_fetchFromPeer =
    [&peer](const std::string&, std::uint64_t aSince, const Callback<ConfigDelta>& aDone) {
      HttpRequest request;
      request.m_query = "since=" + std::to_string(aSince);
      aDone(ParseConfigDelta(Json::parse(MakePeerConfigResponse(peer, request).m_body)));
    };
  hooks.m_onConfiguration = [&versions](const ConfigurationPointer& aConfiguration) {
    versions.push_back(aConfiguration->m_version);
  };
  platform.m_isDown = true;
  ConfigAgent<FakePlatform> agent(platform, hooks);
  agent.Poll();
  CHECK(agent.Version() == 0);
  CHECK_FALSE(agent.IsPlatformReachable());
  agent.OnPeerVersion("peer", 7);
  CHECK(agent.Version() == 7);
  // After the outage the platform has no head row, as a stale store may.
  platform.m_isDown = false;
  agent.Poll();
  CHECK(agent.IsPlatformReachable());
  CHECK(versions == std::vector<std::uint64_t>{ 7 });
  HttpRequest bad;
  bad.m_query = "since=x";
  CHECK(agent.MakePeerResponse(bad).m_status == 400);
}
