#pragma once

/// A node that owns all shards of its pools, with the gateway in front of them and a stand-in for
/// all minions, which accepts each start and lists nothing.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "node/JobGateway.h"
#include "node/PeerHandler.h"
#include "platform/Messages.h"
#include "standin/StandinServer.h"
#include "tests/job/PoolFixture.h"
#include "tests/node/NodeFixture.h"
#include "tests/soak/RowStoreStandin.h"

namespace mustardtray::node {

class RecordingSink : public HttpResponder::Sink
{
public:
  void Send(HttpResponse aResponse) override { m_responses.push_back(std::move(aResponse)); }
  std::vector<HttpResponse> m_responses;
};

struct ShardFixture
{
  static constexpr const char* kHost = "jobs";
  static constexpr const char* kPrefix = "/q/";

  ShardFixture()
    : m_store(m_io, m_timers)
    , m_node(m_io, m_timers, MakeSettings(m_store.Port()))
    , m_otherNode(m_io, m_timers, MakeSettings(0))
    , m_membership(m_otherNode.m_context, "127.0.0.1:1", { [](const job::OwnerRow&) {}, {}, [] {} })
    , m_relay(
        m_node.m_context,
        [] { return std::vector<std::string>{}; },
        [] {})
    , m_findOwner([this](const std::string& aShard) -> PoolOwner* {
      const auto owner = m_owners.find(aShard);
      return owner == m_owners.end() ? nullptr : owner->second.get();
    })
    , m_gateway(m_node.m_context, m_membership, m_relay, m_findOwner)
    , m_linkLoad(m_node.m_context)
    , m_peerHandler(m_findOwner, m_relay, m_linkLoad, [] {})
    , m_minionServer(m_io, "127.0.0.1", 0, [](const std::shared_ptr<StandinExchange>& aExchange) {
      aExchange->SendResponse(
        JsonResponse(200, R"({"clock_ms":5000,"born":1,"running":[],"ended":[]})"));
    })
  {
    REQUIRE(m_minionServer.Listen().has_value());
    m_node.m_context.m_lease.Extend(LeaseClockNow() + Millis(600'000));
    m_node.m_context.m_callShard = [this](const std::string& aShard,
                                          const char* aPath,
                                          std::string aBody,
                                          Millis,
                                          std::function<void(Result<std::string>)> aDone) {
      CallShard(aShard, aPath, std::move(aBody), std::move(aDone));
    };
  }

  static platform::NodeSettings MakeSettings(std::uint16_t aPort)
  {
    platform::NodeSettings settings;
    settings.m_nodeName = "self";
    settings.m_store = { "127.0.0.1", aPort };
    return settings;
  }

  /// Puts a configuration in force that sends the queue to a pool under a route of this name.
  void SendQueueTo(const std::string& aPool, const std::string& aRoute, std::uint64_t aVersion)
  {
    job::QueueSpec queue;
    queue.m_host = kHost;
    queue.m_prefix = kPrefix;
    queue.m_pool = aPool;
    queue.m_queuePolicy.m_queue = aRoute;
    queue.m_queuePolicy.m_stretch = 1'000;
    m_node.m_context.m_deployment.m_version = aVersion;
    m_node.m_context.m_deployment.m_queues = { queue };
  }

  /// Claims a shard, or claims it anew, and waits until its owner has loaded.
  PoolOwner& Own(const std::string& aShard)
  {
    m_owners.erase(aShard);
    job::OwnerRow& claim = m_claims[aShard];
    claim.m_epoch += claim.m_pool.empty() ? 0 : 1;
    claim.m_pool = aShard;
    claim.m_node = "self";
    claim.m_version = 0;
    platform::Transaction transaction;
    transaction.m_writes.push_back(
      { { kOwnerTable, aShard, kSingleRowKey }, job::EncodeOwnerRow(claim) });
    m_node.m_store.Commit(
      transaction, Millis(1'000), [&claim](Result<platform::TransactionResult> aResult) {
        REQUIRE(aResult.has_value());
        claim.m_version = aResult.value().m_version;
      });
    REQUIRE(RunUntil([&] { return claim.m_version > 0; }));
    m_owners[aShard] = std::make_unique<PoolOwner>(m_node.m_context, claim, [] {});
    REQUIRE(RunUntil([&] { return m_owners[aShard]->IsAuthoritative(); }));
    return *m_owners[aShard];
  }

  /// Registers a minion at the owner of a shard and waits until it can be used.
  void AddMinion(const std::string& aShard, const std::string& aId, const std::string& aLabel)
  {
    job::MinionEntry entry;
    entry.m_id = aId;
    entry.m_pool = job::ShardMap::PoolOf(aShard);
    entry.m_machine = "machine-" + aId;
    entry.m_startedAtMs = 1;
    entry.m_address = fmt::format("127.0.0.1:{}", m_minionServer.Port());
    entry.m_capacity = { 4'000, 4'000, 0 };
    entry.m_labels = { aLabel };
    m_owners.at(aShard)->OnMinionEntry(entry);
    REQUIRE(RunUntil([&] {
      const job::MinionTable& minions = m_owners.at(aShard)->Scheduler().Minions();
      const auto found = minions.find(aId);
      return found != minions.end() && job::AcceptsWork(found->second, LeaseClockNow());
    }));
  }

  void CallShard(const std::string& aShard,
                 const char* aPath,
                 std::string aBody,
                 std::function<void(Result<std::string>)> aDone)
  {
    ++m_shardCalls[aPath];
    if (!m_findOwner(aShard) || m_isShardCallLost || m_lostPath == aPath) {
      aDone(Error{ ErrorKind::Unavailable, aPath, aShard, "no owner" });
      return;
    }
    struct Sink : HttpResponder::Sink
    {
      explicit Sink(std::function<void(Result<std::string>)> aThen)
        : m_then(std::move(aThen))
      {
      }
      void Send(HttpResponse aResponse) override
      {
        if (m_then) {
          std::exchange(m_then, nullptr)(std::move(aResponse.m_body));
        }
      }
      std::function<void(Result<std::string>)> m_then;
    };
    HttpRequest request;
    request.m_method = "POST";
    request.m_path = aPath;
    request.m_body = std::move(aBody);
    m_peerHandler.Handle(request, HttpResponder(std::make_shared<Sink>(std::move(aDone))));
  }

  HttpResponse Call(const char* aMethod, const std::string& aJob, std::string aBody = {})
  {
    HttpRequest request;
    request.m_method = aMethod;
    request.m_path = kPrefix + aJob;
    request.m_headers = { { "Host", kHost }, { "Deadline-Ms", "3000" } };
    request.m_body = std::move(aBody);
    auto sink = std::make_shared<RecordingSink>();
    m_gateway.Handle(std::move(request), HttpResponder(sink));
    REQUIRE(RunUntil([&] { return !sink->m_responses.empty(); }));
    return sink->m_responses[0];
  }

  int Submit(const std::string& aJob, const std::string& aLabel = {})
  {
    const std::string required =
      aLabel.empty() ? std::string{} : fmt::format(R"(,"requires":"{}")", aLabel);
    return Call("POST",
                aJob,
                fmt::format(R"({{"spec":"s","steps":[{{"count":1,"cpu":1000{}}}]}})", required))
      .m_status;
  }

  bool Has(const std::string& aShard, const std::string& aJob) const
  {
    const auto owner = m_owners.find(aShard);
    return owner != m_owners.end() && owner->second->Scheduler().FindJob(aJob);
  }

  template<typename Condition>
  bool RunUntil(Condition aCondition, Millis aTime = Millis(5'000))
  {
    const TimePoint end = MonotonicNow() + aTime;
    while (MonotonicNow() < end && !aCondition()) {
      m_io.run_for(Millis(5));
    }
    return aCondition();
  }

  asio::io_context m_io;
  TimerService m_timers{ m_io };
  soak::RowStoreStandin m_store;
  NodeFixture m_node;
  NodeFixture m_otherNode; ///< Reaches no store, so that its membership claims nothing.
  Membership m_membership;
  ConfigurationRelay m_relay;
  LocalOwner m_findOwner;
  std::map<std::string, job::OwnerRow> m_claims;
  std::map<std::string, std::unique_ptr<PoolOwner>> m_owners;
  JobGateway m_gateway;
  LinkLoad m_linkLoad;
  PeerHandler m_peerHandler;
  StandinServer m_minionServer;
  std::map<std::string, int> m_shardCalls; ///< By path.
  bool m_isShardCallLost = false;
  std::string m_lostPath; ///< Calls with this path are lost.
};

} // namespace mustardtray::node
