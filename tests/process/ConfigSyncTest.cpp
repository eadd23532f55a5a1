#include "mustardtray/process/ConfigSync.h"

#include <random>

#include <doctest/doctest.h>

#include "mustardtray/process/ConfigAgent.h"
#include "tests/support/ExampleFiles.h"
#include "tests/support/FakePlatform.h"

using namespace mustardtray;

namespace {

const Error kLost{ ErrorKind::Unavailable, "read", "platform", "down" };

/// Writes versions as an accepting node does: one object changes, comes or goes each time.
class Writer
{
public:
  explicit Writer(FakePlatformState& aState)
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

ConfigDelta FullDelta(const Writer& aWriter)
{
  return { aWriter.Head(), true, aWriter.Objects(), {} };
}

} // namespace

TEST_CASE("A node takes what changed since its last scan")
{
  FakePlatformState state;
  Writer writer(state);
  ConfigSync sync;
  writer.WriteNext();
  CHECK(sync.OnPoll().m_readHead);
  CHECK_FALSE(sync.OnPoll().m_readHead); // One read at a time.
  CHECK(sync.OnHead(writer.Head()).m_scanSince == 0u);
  CHECK(sync.OnScan(state.m_table.Scan(kConfigPrefix, 0), 0).m_advanced);
  writer.WriteNext();
  const auto since = sync.OnHead(writer.Head()).m_scanSince;
  REQUIRE(since);
  CHECK(*since > 0);
  CHECK(sync.OnScan(state.m_table.Scan(kConfigPrefix, *since), *since).m_advanced);
  CHECK(sync.Replica().Objects() == writer.Objects());
  CHECK_FALSE(sync.OnHead(writer.Head()).m_scanSince);
}

TEST_CASE("A delta that lost a row is not taken, and everything is asked for")
{
  FakePlatformState state;
  Writer writer(state);
  ConfigSync sync;
  writer.WriteNext();
  sync.OnScan(state.m_table.Scan(kConfigPrefix, 0), 0);
  writer.WriteNext();
  const std::uint64_t since = sync.OnHead(writer.Head()).m_scanSince.value();
  ScanPage page = state.m_table.Scan(kConfigPrefix, since);
  std::erase_if(page.m_rows, [](const Row& aRow) { return aRow.m_key != kConfigHeadKey; });
  CHECK_FALSE(sync.OnScan(page, since).m_advanced);
  CHECK(sync.Version() == 1);
  CHECK(sync.OnHead(writer.Head()).m_scanSince == 0u);
  CHECK(sync.OnScan(state.m_table.Scan(kConfigPrefix, 0), 0).m_advanced);
}

TEST_CASE(
  "While the platform is down the peer with the highest version is asked, and no frozen one")
{
  FakePlatformState state;
  Writer writer(state);
  writer.WriteNext();
  writer.WriteNext();
  ConfigSync sync({ "http://seed" });
  sync.OnPoll();
  CHECK(sync.OnHead(kLost).m_fetchPeer == "http://seed");
  CHECK(sync.OnPeerVersion("low", 1).m_fetchPeer.empty());
  CHECK(sync.OnPeerVersion("frozen", 3).m_fetchPeer.empty());
  CHECK(sync.OnPeerVersion("high", 2).m_fetchPeer.empty());
  CHECK(sync.OnPeerDelta("http://seed", kLost).m_fetchPeer == "frozen");
  CHECK(sync.OnPeerDelta("frozen", kLost).m_fetchPeer == "high");
  CHECK(sync.OnPeerDelta("high", FullDelta(writer)).m_advanced);
  CHECK(sync.Version() == 2);
  CHECK(sync.OnPeerVersion("low", 1).m_fetchPeer.empty());
}

TEST_CASE("No node moves back, whatever stale heads, scans and peers it sees")
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    FakePlatformState state;
    state.m_table.KeepHistoryFrom(0);
    Writer writer(state);
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
          step = sync.OnHead(kLost);
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

TEST_CASE("Peers bring a node up to date by delta, and by everything when it is far behind")
{
  FakePlatformState state;
  Writer writer(state);
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
  CHECK_FALSE(small.m_full);
  CHECK(near.Apply(small) == ReplicaUpdate::Advanced);
  CHECK(near.Objects() == writer.Objects());
  const ConfigDelta full = ahead.DeltaSince(3);
  CHECK(full.m_full);
  ConfigReplica fresh;
  CHECK(fresh.Apply(full) == ReplicaUpdate::Advanced);
  CHECK(fresh.Apply(full) == ReplicaUpdate::Unchanged);
}

TEST_CASE("An agent that starts in an outage takes its configuration from a peer")
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
      aDone(ParseConfigDelta(Json::parse(AnswerPeerConfig(peer, request).m_body)));
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
  // The platform comes back with nothing, as a stale store may.
  platform.m_isDown = false;
  agent.Poll();
  CHECK(agent.IsPlatformReachable());
  CHECK(versions == std::vector<std::uint64_t>{ 7 });
  HttpRequest bad;
  bad.m_query = "since=x";
  CHECK(agent.AnswerPeer(bad).m_status == 400);
}
