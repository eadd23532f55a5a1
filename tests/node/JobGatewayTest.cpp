#include "node/JobGateway.h"

#include <vector>

#include <doctest/doctest.h>

#include "node/RowParts.h"
#include "tests/job/PoolFixture.h"
#include "tests/node/NodeFixture.h"
#include "tests/soak/RowStoreStandin.h"

using namespace mustardtray;
using namespace mustardtray::node;

namespace {

class RecordingSink : public HttpResponder::Sink
{
public:
  void Send(HttpResponse aResponse) override { m_responses.push_back(std::move(aResponse)); }
  std::vector<HttpResponse> m_responses;
};

/// The gateway of a node whose pool has no owner yet, so that jobs go to the inbox.
struct GatewayFixture
{
  GatewayFixture()
    : m_store(m_io, m_timers)
    , m_node(m_io, m_timers, MakeSettings(m_store.Port()))
    , m_membership(m_node.m_context, "127.0.0.1:1", { [](const job::OwnerRow&) {}, {}, [] {} })
    , m_relay(
        m_node.m_context,
        [] { return std::vector<std::string>{}; },
        [] {})
    , m_gateway(m_node.m_context, m_membership, m_relay, [](const std::string&) { return nullptr; })
  {
    job::QueueSpec queue;
    queue.m_host = "jobs";
    queue.m_prefix = "/q/";
    queue.m_pool = "pool";
    m_node.m_context.m_deployment.m_queues.push_back(queue);
    m_node.m_context.m_shards.Set("pool", 1);
    m_node.m_context.m_queueHomes.Set(job::QueueKeyOf(queue), { "pool", "" });
  }

  static platform::NodeSettings MakeSettings(std::uint16_t aPort)
  {
    platform::NodeSettings settings;
    settings.m_nodeName = "self";
    settings.m_store = { "127.0.0.1", aPort };
    return settings;
  }

  std::shared_ptr<RecordingSink> Submit(std::size_t aSteps = 1)
  {
    std::string steps;
    for (std::size_t step = 0; step < aSteps; ++step) {
      steps += step == 0 ? R"({"count":1,"cpu":1})" : R"(,{"count":1,"cpu":1})";
    }
    return Request("POST", R"({"spec":"s","steps":[)" + steps + "]}");
  }

  std::shared_ptr<RecordingSink> Request(const char* aMethod, std::string aBody)
  {
    HttpRequest request;
    request.m_method = aMethod;
    request.m_path = "/q/0123456789abcdef";
    request.m_headers = { { "Host", "jobs" }, { "Deadline-Ms", "3000" } };
    request.m_body = std::move(aBody);
    auto sink = std::make_shared<RecordingSink>();
    m_gateway.Handle(std::move(request), HttpResponder(sink));
    return sink;
  }

  int AwaitStatus(const std::shared_ptr<RecordingSink>& aSink)
  {
    for (int i = 0; i < 500 && aSink->m_responses.empty(); ++i) {
      m_io.run_for(Millis(10));
    }
    REQUIRE(aSink->m_responses.size() == 1);
    return aSink->m_responses[0].m_status;
  }

  /// Submits a job while the store closes all connections for aOutage. Returns the status and how
  /// long it took.
  std::pair<int, Millis> SubmitDuringOutage(soak::StoreFault aFault, Millis aOutage)
  {
    m_store.SetFault(aFault);
    const TimerHandle end =
      m_timers.After(aOutage, [this] { m_store.SetFault(soak::StoreFault::None); });
    const TimePoint sentAt = MonotonicNow();
    const auto sink = Submit();
    while (sink->m_responses.empty() && MonotonicNow() - sentAt < Millis(5'000)) {
      m_io.run_for(Millis(10));
    }
    REQUIRE(sink->m_responses.size() == 1);
    return { sink->m_responses[0].m_status,
             std::chrono::duration_cast<Millis>(MonotonicNow() - sentAt) };
  }

  asio::io_context m_io;
  TimerService m_timers{ m_io };
  soak::RowStoreStandin m_store;
  NodeFixture m_node;
  Membership m_membership;
  ConfigurationRelay m_relay;
  JobGateway m_gateway;
};

} // namespace

TEST_CASE("a job that is submitted while the store closes connections is stored once they last")
{
  GatewayFixture fixture;
  const auto [status, time] = fixture.SubmitDuringOutage(soak::StoreFault::Closing, Millis(1'000));
  CHECK(status == 200);
  CHECK(time < Millis(3'000));
}

TEST_CASE("an outage that outlasts the caller ends with an unknown outcome before its deadline")
{
  GatewayFixture fixture;
  const auto [status, time] = fixture.SubmitDuringOutage(soak::StoreFault::Closing, Millis(60'000));
  CHECK(status == 504);
  CHECK(time < Millis(3'000));
}

TEST_CASE("a job that the store certainly did not take is refused at once")
{
  GatewayFixture fixture;
  const auto [status, time] = fixture.SubmitDuringOutage(soak::StoreFault::Busy, Millis(60'000));
  CHECK(status == 503);
  CHECK(time < Millis(500));
}

TEST_CASE("a request that a stopping node cannot finish gets a response before the process ends")
{
  GatewayFixture fixture;
  fixture.m_store.SetFault(soak::StoreFault::Unresponsive);
  fixture.m_gateway.BeginStopping();
  const auto pending = fixture.Submit();
  fixture.m_io.run_for(Millis(100));
  REQUIRE(pending->m_responses.empty());
  fixture.m_gateway.RefuseRequests();
  const auto late = fixture.Submit();
  REQUIRE(late->m_responses.size() == 1);
  CHECK(late->m_responses[0].m_status == 503);
  fixture.m_gateway.EndPendingRequests();
  REQUIRE(pending->m_responses.size() == 1);
  CHECK(pending->m_responses[0].m_status == 504);
}

/// Guards against LOST: a job that is longer than a row was refused although the store has room.
TEST_CASE("a job that is longer than a row of the store is stored in the inbox")
{
  constexpr std::size_t kSteps = 1'800;
  GatewayFixture fixture;
  CHECK(fixture.AwaitStatus(fixture.Submit(kSteps)) == 200);
  CHECK(fixture.AwaitStatus(fixture.Request("GET", "")) == 200);
  const std::string key = "0123456789abcdef";
  const std::string lastPart = PartRowId({ kInboxTable, "pool", key }, 1).m_key;
  CHECK_FALSE(fixture.m_store.Value(kInboxTable, "pool", lastPart).empty());
}

TEST_CASE("a job that no transaction of the store can hold is refused at once")
{
  constexpr std::size_t kSteps = 1'800;
  GatewayFixture fixture;
  fixture.m_node.m_settings.m_maxRowBytes = 400;
  const auto sink = fixture.Submit(kSteps);
  REQUIRE(sink->m_responses.size() == 1);
  CHECK(sink->m_responses[0].m_status == 413);
}

/// Guards against UNASKED: the job was in neither table when it was read, so a cancel was answered
/// with 410 and never carried out.
TEST_CASE("a job that moves from the inbox while it is looked up is found")
{
  GatewayFixture fixture;
  constexpr const char* kJob = "0123456789abcdef";
  // The job is stored after the job table was read, and has left the inbox when that is read.
  fixture.m_store.SetOnRead([&](const std::string& aTable) {
    if (aTable == kInboxTable) {
      fixture.m_store.PutWithoutHistory(
        kJobTable, "pool", kJob, job::EncodeJobRecord(job::MakeJob(kJob, 1)));
    }
  });
  SUBCASE("state")
  {
    CHECK(fixture.AwaitStatus(fixture.Request("GET", "")) == 200);
  }
  SUBCASE("cancel")
  {
    CHECK(fixture.AwaitStatus(fixture.Request("DELETE", "")) == 200);
  }
}

TEST_CASE("a job that the store does not have is unknown")
{
  GatewayFixture fixture;
  CHECK(fixture.AwaitStatus(fixture.Request("GET", "")) == 410);
  CHECK(fixture.AwaitStatus(fixture.Request("DELETE", "")) == 410);
}
