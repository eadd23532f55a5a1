/// Jobs for an owner whose link is loaded.

#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "node/JobGateway.h"
#include "node/LinkLoad.h"
#include "standin/StandinServer.h"
#include "tests/node/NodeFixture.h"
#include "tests/node/ShardFixture.h"
#include "tests/soak/RowStoreStandin.h"

using namespace mustardtray;
using namespace mustardtray::node;

namespace {

/// The gateway of a node beside a stand-in for the node that owns its only pool.
struct OwnerFixture
{
  OwnerFixture()
    : m_store(m_io, m_timers)
    , m_owner(m_io,
              "127.0.0.1",
              0,
              [this](const std::shared_ptr<StandinExchange>& aExchange) {
                m_paths.push_back(aExchange->Request().m_path);
                m_bodyBytes.push_back(aExchange->Request().m_body.size());
                if (m_isSilent) {
                  m_silent.push_back(aExchange);
                  return;
                }
                SubmitResult result{ m_outcome, Millis(700) };
                result.m_askFirst = m_askFirst;
                aExchange->SendResponse(JsonResponse(200, EncodeSubmitResult(result)));
              })
    , m_node(m_io, m_timers, ShardFixture::MakeSettings(m_store.Port()))
    , m_membership(m_node.m_context, "127.0.0.1:1", { [](const job::OwnerRow&) {}, {}, [] {} })
    , m_relay(
        m_node.m_context,
        [] { return std::vector<std::string>{}; },
        [] {})
    , m_gateway(m_node.m_context, m_membership, m_relay, [](const std::string&) { return nullptr; })
  {
    REQUIRE(m_owner.Listen().has_value());
    job::QueueSpec queue;
    queue.m_host = "jobs";
    queue.m_prefix = "/q/";
    queue.m_pool = "pool";
    m_node.m_context.m_deployment.m_queues.push_back(queue);
    m_node.m_context.m_shards.Set("pool", 1);
    m_node.m_context.m_queueHomes.Set(job::QueueKeyOf(queue), { "pool", "" });
    m_io.run_for(Millis(200));
    job::NodeRow node;
    node.m_incarnation = "1";
    node.m_address = fmt::format("127.0.0.1:{}", m_owner.Port());
    job::OwnerRow owner;
    owner.m_pool = m_node.m_context.m_shards.Of("pool", kJob);
    owner.m_node = "other";
    owner.m_incarnation = "1";
    Write({ kNodeTable, "other", kSingleRowKey }, job::EncodeNodeRow(node));
    Write({ kOwnerTable, owner.m_pool, kSingleRowKey }, job::EncodeOwnerRow(owner));
    for (int i = 0; i < 200 && m_membership.OwnerAddress(owner.m_pool).empty(); ++i) {
      m_io.run_for(Millis(10));
    }
    REQUIRE_FALSE(m_membership.OwnerAddress(owner.m_pool).empty());
  }

  void Write(const platform::RowId& aRow, const std::string& aValue)
  {
    platform::Transaction transaction;
    transaction.m_writes.push_back({ aRow, aValue });
    m_node.m_store.Commit(transaction, Millis(500), [](const auto&) {});
    m_io.run_for(Millis(50));
  }

  HttpResponse Submit()
  {
    HttpRequest request;
    request.m_method = "POST";
    request.m_path = fmt::format("/q/{}", kJob);
    request.m_headers = { { "Host", "jobs" }, { "Deadline-Ms", "3000" } };
    request.m_body =
      fmt::format(R"({{"spec":"{}","steps":[{{"count":1,"cpu":1}}]}})", std::string(3'900, 's'));
    auto sink = std::make_shared<RecordingSink>();
    m_gateway.Handle(std::move(request), HttpResponder(sink));
    for (int i = 0; i < 300 && sink->m_responses.empty(); ++i) {
      m_io.run_for(Millis(10));
    }
    REQUIRE(sink->m_responses.size() == 1);
    return sink->m_responses[0];
  }

  static constexpr const char* kJob = "0123456789abcdef";
  asio::io_context m_io;
  TimerService m_timers{ m_io };
  soak::RowStoreStandin m_store;
  SubmitOutcome m_outcome = SubmitOutcome::Refused;
  Millis m_askFirst{ 0 };
  bool m_isSilent = false;
  std::vector<std::string> m_paths;
  std::vector<std::size_t> m_bodyBytes;
  std::vector<std::shared_ptr<StandinExchange>> m_silent;
  StandinServer m_owner;
  NodeFixture m_node;
  Membership m_membership;
  ConfigurationRelay m_relay;
  JobGateway m_gateway;
};

} // namespace

TEST_CASE("an owner whose link is not loaded gets each job at once")
{
  OwnerFixture fixture;
  CHECK(fixture.Submit().m_status == 429);
  CHECK(fixture.Submit().m_status == 429);
  CHECK(fixture.m_paths == std::vector<std::string>{ kPeerSubmitPath, kPeerSubmitPath });
}

/// Guards against CONFIG: jobs that were sent whole to be refused filled the link of their owner.
TEST_CASE("a job that the owner refuses takes few bytes of a loaded link")
{
  OwnerFixture fixture;
  fixture.m_askFirst = Millis(3'000);
  CHECK(fixture.Submit().m_status == 429);
  CHECK(fixture.m_bodyBytes.back() > 3'900);
  const HttpResponse response = fixture.Submit();
  CHECK(response.m_status == 429);
  CHECK(response.Header("Retry-After") != nullptr);
  CHECK(fixture.m_paths.back() == kPeerAdmitPath);
  CHECK(fixture.m_bodyBytes.back() < 600);
  CHECK(fixture.m_paths.size() == 2);
}

TEST_CASE("a job that the owner of a loaded link admits is handed in")
{
  OwnerFixture fixture;
  fixture.m_askFirst = Millis(3'000);
  fixture.m_outcome = SubmitOutcome::Accepted;
  CHECK(fixture.Submit().m_status == 200);
  CHECK(fixture.Submit().m_status == 200);
  CHECK(fixture.m_paths ==
        std::vector<std::string>{ kPeerSubmitPath, kPeerAdmitPath, kPeerSubmitPath });
}

TEST_CASE("a job about which the owner of a loaded link says nothing is refused and not stored")
{
  OwnerFixture fixture;
  fixture.m_askFirst = Millis(3'000);
  CHECK(fixture.Submit().m_status == 429);
  fixture.m_isSilent = true;
  CHECK(fixture.Submit().m_status == 429);
  CHECK(fixture.m_paths.back() == kPeerAdmitPath);
  const std::string shard = fixture.m_node.m_context.m_shards.Of("pool", OwnerFixture::kJob);
  CHECK(fixture.m_store.Value(kInboxTable, shard, OwnerFixture::kJob).empty());
}

/// Guards against limits that are bypassed: a verdict on one request decided another one.
TEST_CASE("an admission holds only for the job and the configuration that were judged")
{
  ShardFixture fixture;
  fixture.SendQueueTo("pool", "queue", 1);
  PoolOwner& owner = fixture.Own("pool#0");
  fixture.AddMinion("pool#0", "m1", "a");
  job::JobRecord record = job::MakeJob("0123456789abcdef", 1, 100);
  record.m_account = "a";
  REQUIRE(owner.Admit(record).m_outcome == SubmitOutcome::Accepted);
  bool isLimited = false;
  SUBCASE("the same job") {}
  SUBCASE("a limit has come into force")
  {
    isLimited = true;
  }
  if (isLimited) {
    job::AccountSpec account;
    account.m_name = "a";
    account.m_limit.m_cpu = 50;
    fixture.m_node.m_context.m_deployment.m_accounts = { account };
    fixture.m_node.m_context.m_deployment.m_version = 2;
  }
  std::optional<SubmitOutcome> outcome;
  owner.Submit(record, [&](SubmitResult aResult) { outcome = aResult.m_outcome; });
  REQUIRE(fixture.RunUntil([&] { return outcome.has_value(); }));
  CHECK(*outcome == (isLimited ? SubmitOutcome::Invalid : SubmitOutcome::Accepted));
}
