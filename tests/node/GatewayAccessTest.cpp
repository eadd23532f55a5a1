#include "node/JobGateway.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "platform/Messages.h"
#include "tests/node/NodeFixture.h"
#include "tests/soak/RowStoreStandin.h"

using namespace mustardtray;
using namespace mustardtray::node;

namespace {

constexpr const char* kJob = "0123456789abcdef";
constexpr const char* kBody = R"({"spec":"s","steps":[{"count":1,"cpu":1}]})";

std::string MakeConfiguration(int aVersion, const std::string& aKeys)
{
  return fmt::format(
    R"({{"version":{},"routes":[{{"name":"q","host":"jobs","prefix":"/q/","service":"pool"}},
        {{"name":"open","host":"jobs","prefix":"/open/","service":"pool","public":true}}],
        "services":[{{"name":"pool"}}],"tenants":[{{"name":"a","api_keys":[{}]}},
        {{"name":"b","api_keys":["key-b"]}}]}})",
    aVersion,
    aKeys);
}

class RecordingSink : public HttpResponder::Sink
{
public:
  void Send(HttpResponse aResponse) override { m_responses.push_back(std::move(aResponse)); }
  std::vector<HttpResponse> m_responses;
};

/// The gateway of a node, which owns the pool of its queues when m_owner is set.
struct AccessFixture
{
  AccessFixture()
    : m_store(m_io, m_timers)
    , m_node(m_io, m_timers, Settings(m_store.Port()))
    , m_membership(m_node.m_context,
                   "127.0.0.1:1",
                   { [this](const job::OwnerRow& aClaim) { OnClaimed(aClaim); }, {}, [] {} })
    , m_relay(
        m_node.m_context,
        [] { return std::vector<std::string>{}; },
        [] {})
    , m_gateway(m_node.m_context, m_membership, m_relay, [this](const std::string&) {
      return m_owner.get();
    })
  {
    m_node.m_context.m_deployment.m_version = 0;
    m_node.m_context.m_shards.Set("pool", 1);
    m_relay.Apply(MakeConfiguration(1, R"("key-a")"), "store");
    m_relay.OnStoreAnswer(LeaseClockNow());
  }

  static platform::NodeSettings Settings(std::uint16_t aStorePort)
  {
    platform::NodeSettings settings;
    settings.m_nodeName = "self";
    settings.m_store = { "127.0.0.1", aStorePort };
    return settings;
  }

  void OnClaimed(const job::OwnerRow& aClaim)
  {
    if (aClaim.m_pool == "pool") {
      m_claim = aClaim;
    }
  }

  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    for (int i = 0; i < 1'000 && !aCondition(); ++i) {
      m_io.run_for(Millis(10));
    }
    REQUIRE(aCondition());
  }

  /// Makes this node the owner of the pool, which takes kJob from the inbox.
  void Own()
  {
    RunUntil([this] { return m_claim.has_value(); });
    m_owner = std::make_unique<PoolOwner>(m_node.m_context, *m_claim, [] {});
    RunUntil([this] { return m_owner->Scheduler().FindJob(kJob) != nullptr; });
  }

  std::shared_ptr<RecordingSink> Send(const char* aMethod,
                                      const std::string& aPath,
                                      const std::string& aKey)
  {
    HttpRequest request;
    request.m_method = aMethod;
    request.m_path = aPath;
    request.m_headers = { { "Host", "jobs" }, { "Deadline-Ms", "3000" } };
    if (!aKey.empty()) {
      request.m_headers.push_back({ "Authorization", "Bearer " + aKey });
    }
    request.m_body = kBody;
    auto sink = std::make_shared<RecordingSink>();
    m_gateway.Handle(std::move(request), HttpResponder(sink));
    return sink;
  }

  int Await(const std::shared_ptr<RecordingSink>& aSink)
  {
    for (int i = 0; i < 500 && aSink->m_responses.empty(); ++i) {
      m_io.run_for(Millis(10));
    }
    REQUIRE(aSink->m_responses.size() == 1);
    return aSink->m_responses[0].m_status;
  }

  int Status(const char* aMethod, const std::string& aPath, const std::string& aKey)
  {
    return Await(Send(aMethod, aPath, aKey));
  }

  asio::io_context m_io;
  TimerService m_timers{ m_io };
  soak::RowStoreStandin m_store;
  NodeFixture m_node;
  std::optional<job::OwnerRow> m_claim;
  Membership m_membership;
  ConfigurationRelay m_relay;
  std::unique_ptr<PoolOwner> m_owner;
  JobGateway m_gateway;
};

const std::string kPath = std::string("/q/") + kJob;

} // namespace

TEST_CASE("a queue that is not public needs a valid key, which is checked after the queue")
{
  AccessFixture fixture;
  CHECK(fixture.Status("POST", "/nowhere/", "") == 404);
  CHECK(fixture.Status("POST", kPath, "") == 401);
  CHECK(fixture.Status("POST", "/q/no-job-id", "wrong") == 401);
  CHECK(fixture.Status("GET", "/q/", "") == 401);
  CHECK(fixture.Send("POST", kPath, "wrong")->m_responses.at(0).Header("WWW-Authenticate"));
  CHECK(fixture.m_store.Value(kInboxTable, "pool", kJob).empty());
  CHECK(fixture.Status("POST", kPath, "key-a") == 200);
  const auto record = job::DecodeJobRecord(fixture.m_store.Value(kInboxTable, "pool", kJob));
  REQUIRE(record);
  CHECK(record.value().m_account == "a");
}

TEST_CASE("a malformed Authorization header counts as a missing key")
{
  for (const char* value : { "Bearer", "Bearer ", "Basic key-a", "Bearerkey-a", "Bearer a b" }) {
    HttpRequest request;
    request.m_headers = { { "Authorization", value } };
    CAPTURE(value);
    CHECK_FALSE(platform::DecodeApiKey(request));
  }
  HttpRequest request;
  request.m_headers = { { "authorization", "bearer  key-a " } };
  CHECK(platform::DecodeApiKey(request) == "key-a");
  request.m_headers.push_back({ "Authorization", "Bearer key-b" });
  CHECK_FALSE(platform::DecodeApiKey(request));
}

TEST_CASE("a public queue needs no key and ignores a wrong one")
{
  AccessFixture fixture;
  CHECK(fixture.Status("POST", std::string("/open/") + kJob, "") == 200);
  CHECK(fixture.Status("GET", std::string("/open/") + kJob, "wrong") == 200);
  CHECK(fixture.Status("GET", kPath, "key-b") == 200); // It has no account.
}

/// Guards against one account's jobs that another one reads, cancels or takes for its own.
TEST_CASE("the job of another account is neither read nor cancelled nor accepted again")
{
  AccessFixture fixture;
  for (const bool isOwner : { false, true }) {
    CAPTURE(isOwner);
    if (isOwner) {
      fixture.Own(); // Takes the job from the inbox.
    } else {
      REQUIRE(fixture.Status("POST", kPath, "key-a") == 200);
    }
    for (const char* method : { "GET", "DELETE", "POST" }) {
      CAPTURE(method);
      CHECK(fixture.Status(method, kPath, "key-b") == 403);
      CHECK(fixture.Status(method, std::string("/open/") + kJob, "") == 403);
    }
    CHECK(fixture.Status("POST", kPath, "key-a") == 200);
    CHECK(fixture.Status("GET", kPath, "key-a") == 200);
  }
  CHECK(fixture.m_store.Value(kInboxTable, "pool", std::string(kCancelPrefix) + kJob).empty());
  CHECK(fixture.Status("DELETE", kPath, "key-a") == 200);
}

/// Guards against a 401 for a key that was added while the node's view was out of date, for example
/// while the machine was suspended.
TEST_CASE("an unknown key makes a node with an old view read the configuration")
{
  AccessFixture fixture;
  fixture.m_node.m_context.m_configurationConfirmedAt = LeaseClockNow() - Millis(5'000);
  fixture.m_store.Put(
    platform::kOperatorTable, platform::kDeploymentKey, MakeConfiguration(2, R"("key-new")"));
  CHECK(fixture.Status("POST", kPath, "key-new") == 200);
  CHECK(fixture.Status("GET", kPath, "key-a") == 401); // Removed by the same change.
}

TEST_CASE("while the configuration cannot be confirmed, known keys work and unknown ones get 503")
{
  AccessFixture fixture;
  REQUIRE(fixture.Status("POST", kPath, "key-a") == 200);
  fixture.Own();
  fixture.m_store.SetFault(soak::StoreFault::Unresponsive);
  fixture.m_node.m_context.m_configurationConfirmedAt = LeaseClockNow() - Millis(6'000);
  CHECK(fixture.Status("GET", kPath, "key-a") == 200);
  const TimePoint sentAt = MonotonicNow();
  const auto sink = fixture.Send("GET", kPath, "wrong");
  CHECK(fixture.Await(sink) == 503);
  CHECK(MonotonicNow() - sentAt < kConfirmationTimeout + Millis(300));
  REQUIRE(sink->m_responses[0].Header("Retry-After"));
  CHECK(*sink->m_responses[0].Header("Retry-After") == "1");
  CHECK(fixture.Status("GET", kPath, "") == 401);
  fixture.m_node.m_settings.m_bounds.m_isRevocationStrict = true;
  CHECK(fixture.Status("GET", kPath, "key-a") == 503);
}
