#include "mustardtray/process/PlatformClient.h"

#include <future>
#include <memory>

#include <doctest/doctest.h>

#include "process/PlatformCodec.h"
#include "standin/MinionStandin.h"
#include "standin/PlatformStandin.h"
#include "tests/support/ContextThread.h"

using namespace mustardtray;

namespace {

Transaction MakeWrite(const std::string& aKey, std::uint64_t aVersion, Json aValue)
{
  return { { { aKey, aVersion } }, { { aKey, std::move(aValue) } } };
}

StandinVm MakeVm(const std::string& aName, const std::string& aControl = "")
{
  StandinVm vm;
  vm.m_listing.m_name = aName;
  vm.m_listing.m_address = "127.0.9.1";
  vm.m_listing.m_zone = "zone1";
  vm.m_control = aControl;
  vm.m_isWorker = true;
  return vm;
}

/// A platform stand-in on one thread and its client on another.
class Deployment
{
public:
  explicit Deployment(const std::string& aControl = "", PlatformClientOptions aOptions = {})
  {
    PlatformStandinSettings settings;
    settings.m_times.m_rebootTime = Millis(1);
    settings.m_vms = { MakeVm("vm1", aControl), MakeVm("vm2") };
    m_serverThread.Run([&] {
      m_standin = std::make_unique<PlatformStandin>(m_serverThread.Context(), settings);
      REQUIRE(m_standin->Start());
    });
    m_url = "http://127.0.0.1:" + std::to_string(m_standin->Port());
    aOptions.m_url = m_url;
    m_clientThread.Run([&] {
      m_http = std::make_unique<HttpClient>(m_clientThread.Context(), "127.0.9.7");
      m_client =
        std::make_unique<PlatformClient>(m_clientThread.Context(), *m_http, std::move(aOptions));
    });
  }

  ~Deployment()
  {
    m_clientThread.Run([&] {
      m_client.reset();
      m_http.reset();
    });
    m_serverThread.Run([&] { m_standin.reset(); });
  }

  /// Starts a call on the client's thread: aCall(client, callback).
  template<typename T, typename Call>
  std::future<Result<T>> StartCall(Call aCall)
  {
    const auto promise = std::make_shared<std::promise<Result<T>>>();
    m_clientThread.Run([&] {
      aCall(*m_client, [promise](Result<T> aResult) { promise->set_value(std::move(aResult)); });
    });
    return promise->get_future();
  }

  Result<Commit> Transact(const Transaction& aTransaction)
  {
    return StartCall<Commit>([&](PlatformClient& aClient, Callback<Commit> aDone) {
             aClient.Transact(aTransaction, std::move(aDone));
           })
      .get();
  }

  Result<std::vector<Row>> Read(const std::vector<std::string>& aKeys)
  {
    return StartCall<std::vector<Row>>(
             [&](PlatformClient& aClient, Callback<std::vector<Row>> aDone) {
               aClient.Read(aKeys, std::move(aDone));
             })
      .get();
  }

  Result<ScanPage> Scan(const std::string& aPrefix, std::uint64_t aSince)
  {
    return StartCall<ScanPage>([&](PlatformClient& aClient, Callback<ScanPage> aDone) {
             aClient.Scan(aPrefix, aSince, std::move(aDone));
           })
      .get();
  }

  Result<std::vector<VmListing>> ListVms()
  {
    return StartCall<std::vector<VmListing>>(
             [&](PlatformClient& aClient, Callback<std::vector<VmListing>> aDone) {
               aClient.ListVms(std::move(aDone));
             })
      .get();
  }

  Result<ActionState> RunVmAction(const VmActionRequest& aRequest)
  {
    return StartCall<ActionState>([&](PlatformClient& aClient, Callback<ActionState> aDone) {
             aClient.RunVmAction(aRequest, std::move(aDone));
           })
      .get();
  }

  /// Repeats the request with the same operation id until the action has ended.
  ActionState RunToEnd(const VmActionRequest& aRequest)
  {
    ActionState state = ActionState::Running;
    while (state == ActionState::Running) {
      state = RunVmAction(aRequest).value();
    }
    return state;
  }

  Json Call(const std::string& aMethod,
            const std::string& aPath,
            const Json& aBody = Json::object())
  {
    HttpCall call;
    call.m_method = aMethod;
    call.m_url = m_url + aPath;
    call.m_body = aMethod == "GET" ? "" : aBody.dump();
    return Json::parse(CallAndWait(call).value().m_body);
  }

  void SetFaults(const Json& aFaults) { Call("POST", "/faults", aFaults); }
  std::uint64_t Revision() { return Call("GET", "/stats")["revision"]; }

private:
  test::ContextThread m_serverThread;
  test::ContextThread m_clientThread;
  std::unique_ptr<PlatformStandin> m_standin;
  std::unique_ptr<HttpClient> m_http;
  std::unique_ptr<PlatformClient> m_client;
  std::string m_url;
};

} // namespace

TEST_CASE("Platform codec writes the documented form")
{
  const Transaction transaction{ { { "a", 3 } }, { { "a", Json(1) }, { "b", std::nullopt } } };
  CHECK(ToText(ToJson(transaction)) == R"({"checks":[{"key":"a","version":3}],)"
                                       R"("writes":[{"key":"a","value":1},)"
                                       R"({"delete":true,"key":"b"}]})");
  const auto vms = ParseVms(R"({"vms":[{"name":"a","address":"x","zone":"z","new":1},
                                       {"name":"b","address":"x","zone":"z","state":"odd"}]})");
  REQUIRE(vms);
  REQUIRE(vms.value().size() == 1);
  CHECK(vms.value()[0].m_name == "a");
  CHECK(!ParseRows(R"({"rows":[{"key":"a"}]})"));
  CHECK(!ParseTransaction(R"({"writes":[{"key":"a"}]})"));
  CHECK(!ParseCommit("{}"));
}

TEST_CASE("PlatformClient transacts, reads, scans and lists VMs")
{
  Deployment deployment;
  CHECK(deployment.Transact(MakeWrite("a", 0, { { "x", 1 } })).value().m_isCommitted);
  const Commit conflict = deployment.Transact(MakeWrite("a", 0, 2)).value();
  CHECK(!conflict.m_isCommitted);
  CHECK(conflict.m_conflicts == std::vector<std::string>{ "a" });
  const std::vector<Row> rows = deployment.Read({ "a", "none" }).value();
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].m_version == 1);
  CHECK(rows[0].m_value["x"] == 1);
  const ScanPage page = deployment.Scan("", 0).value();
  CHECK(page.m_rows.size() == 1);
  deployment.Transact({ {}, { { "a", std::nullopt } } }).value();
  CHECK(deployment.Scan("", page.m_revision).value().m_deleted == std::vector<std::string>{ "a" });
  CHECK(deployment.ListVms().value().at(0).m_name == "vm1");
}

TEST_CASE("PlatformClient reports unknown after a lost response, and the write is applied once")
{
  Deployment deployment;
  REQUIRE(deployment.Transact(MakeWrite("a", 0, 1)));
  REQUIRE(deployment.Read({ "a" }));
  deployment.SetFaults({ { "lose_answers", 1 } });
  const auto lost = deployment.Transact(MakeWrite("a", 1, 2));
  CHECK(lost.error().m_kind == ErrorKind::Unknown);
  CHECK(lost.error().m_step == "transact");
  CHECK(deployment.Call("GET", "/faults")["lose_answers"] == 0);
  CHECK(deployment.Revision() == 2);
  CHECK(deployment.Read({ "a" }).value().at(0).m_version == 2);
}

TEST_CASE("PlatformClient distinguishes an outage from an unknown outcome")
{
  Deployment deployment;
  deployment.SetFaults({ { "down", "unavailable" } });
  CHECK(deployment.Transact(MakeWrite("a", 0, 1)).error().m_kind == ErrorKind::Unavailable);
  deployment.SetFaults({ { "down", "close" } });
  CHECK(deployment.Transact(MakeWrite("a", 0, 1)).error().m_kind == ErrorKind::Unknown);
  CHECK(deployment.Read({ "a" }).error().m_kind == ErrorKind::Unavailable);
  deployment.SetFaults({ { "down", "none" }, { "cut_addresses", { "127.0.9.7" } } });
  CHECK(deployment.Read({ "a" }).error().m_kind == ErrorKind::Unavailable);
  deployment.SetFaults({ { "cut_addresses", { "127.0.9.8" } } });
  CHECK(deployment.Read({ "a" }).value().empty());
  CHECK(deployment.Revision() == 0);
  CHECK(deployment.Call("GET", "/faults/x").contains("error"));
}

TEST_CASE("PlatformClient reports unavailable when the platform cannot be reached")
{
  test::ContextThread thread;
  std::promise<ErrorKind> kind;
  HttpClient http(thread.Context());
  PlatformClientOptions options;
  options.m_url = "http://127.0.0.1:1";
  PlatformClient client(thread.Context(), http, options);
  thread.Run([&] {
    client.Transact(MakeWrite("a", 0, 1),
                    [&](const Result<Commit>& aResult) { kind.set_value(aResult.error().m_kind); });
  });
  CHECK(kind.get_future().get() == ErrorKind::Unavailable);
}

TEST_CASE("PlatformClient times out on a slow platform and on calls that are queued too long")
{
  PlatformClientOptions options;
  options.m_maxInFlight = 1;
  options.m_readTimeout = Millis(50);
  options.m_writeTimeout = Millis(50);
  options.m_queueTimeout = Millis(10);
  Deployment deployment("", options);
  deployment.SetFaults({ { "slow_ms", 60'000 } });
  CHECK(deployment.Transact(MakeWrite("a", 0, 1)).error().m_kind == ErrorKind::Unknown);
  using Errors = std::vector<Error>;
  auto errors =
    deployment.StartCall<Errors>([](PlatformClient& aClient, const Callback<Errors>& aDone) {
      const auto seen = std::make_shared<Errors>();
      for (int i = 0; i < 2; ++i) {
        aClient.Read({ "a" }, [=](const Result<std::vector<Row>>& aRows) {
          seen->push_back(aRows.error());
          if (seen->size() == 2) {
            aDone(*seen);
          }
        });
      }
    });
  const Errors seen = errors.get().value();
  CHECK(seen[0].m_kind == ErrorKind::Unavailable);
  CHECK(seen[1].m_kind == ErrorKind::Unavailable);
  CHECK(seen[1].m_message == "timed out in the queue of platform calls");
}

TEST_CASE("PlatformClient limits the calls in flight and in the queue")
{
  PlatformClientOptions options;
  options.m_maxInFlight = 1;
  options.m_maxQueued = 1;
  Deployment deployment("", options);
  auto all = deployment.StartCall<int>([&](PlatformClient& aClient, const Callback<int>& aDone) {
    const auto left = std::make_shared<int>(2);
    const auto refused = std::make_shared<int>(0);
    for (int i = 0; i < 2; ++i) {
      aClient.Read({ "a" }, [=](const Result<std::vector<Row>>& aRows) {
        *refused += aRows ? 0 : 1;
        if (--*left == 0) {
          aDone(*refused);
        }
      });
    }
  });
  CHECK(all.get().value() == 1);
  CHECK(deployment.Read({ "a" }));
}

TEST_CASE("Platform stand-in returns stale reads and VM lists during the lag")
{
  Deployment deployment;
  deployment.Transact(MakeWrite("a", 0, 1)).value();
  deployment.SetFaults({ { "table_lag_ms", 3'600'000 }, { "list_lag_ms", 3'600'000 } });
  deployment.Transact(MakeWrite("a", 1, 2)).value();
  deployment.Call("POST", "/control/vms/vm1/state", { { "state", "leaving" } });
  CHECK(deployment.Read({ "a" }).value().at(0).m_value == 1);
  CHECK(deployment.Scan("", 0).value().m_revision == 1);
  CHECK(deployment.ListVms().value().at(0).m_state == VmState::Live);
  deployment.SetFaults({ { "table_lag_ms", 0 }, { "list_lag_ms", 0 } });
  CHECK(deployment.Read({ "a" }).value().at(0).m_value == 2);
  CHECK(deployment.ListVms().value().at(0).m_state == VmState::Leaving);
}

TEST_CASE("Platform stand-in carries out each operation id once and stops the minions of the VM")
{
  test::ContextThread minionThread;
  MinionStandinSettings settings;
  MinionSettings minion;
  minion.m_vm = "vm1";
  minion.m_service = "bookings";
  settings.m_minions = { minion };
  std::unique_ptr<MinionStandin> minions;
  minionThread.Run([&] {
    minions = std::make_unique<MinionStandin>(minionThread.Context(), settings);
    REQUIRE(minions->Start());
  });
  const auto isRunning = [&] {
    return minionThread.Run([&] { return minions->Minions().front()->IsRunning(); });
  };
  {
    Deployment deployment("127.0.0.1:" + std::to_string(minions->ControlPort()));
    const VmActionRequest stop{ "vm1", VmAction::Stop, "op1", "" };
    CHECK(deployment.RunToEnd(stop) == ActionState::Done);
    CHECK(!isRunning());
    CHECK(deployment.RunVmAction({ "vm1", VmAction::Start, "op1", "" }).error().m_kind ==
          ErrorKind::Conflict);
    CHECK(deployment.RunVmAction({ "vm9", VmAction::Stop, "op9", "" }).error().m_kind ==
          ErrorKind::NotFound);
    deployment.SetFaults({ { "failing_reboots", { "vm1" } } });
    CHECK(deployment.RunToEnd({ "vm1", VmAction::Reboot, "op2", "" }) == ActionState::Failed);
    deployment.SetFaults({ { "failing_reboots", Json::array() } });
    CHECK(deployment.RunToEnd({ "vm1", VmAction::Reboot, "op3", "" }) == ActionState::Done);
    CHECK(deployment.RunToEnd({ "vm1", VmAction::Start, "op4", "" }) == ActionState::Done);
    CHECK(isRunning());
    CHECK(deployment.RunToEnd(stop) == ActionState::Done);
    CHECK(isRunning());
    const Json stats = deployment.Call("GET", "/stats");
    CHECK(stats["actions"] == Json{ { "reboot", 2 }, { "start", 1 }, { "stop", 1 } });
    CHECK(stats["reboots_of_running"] == 0);
    deployment.Call("POST", "/control/vms/vm1/crash");
    CHECK(deployment.ListVms().value().at(0).m_state == VmState::Gone);
    while (isRunning()) {
      std::this_thread::yield();
    }
  }
  minionThread.Run([&] { minions.reset(); });
}

TEST_CASE("Platform stand-in stores objects, workers and tasks")
{
  Deployment deployment;
  deployment.Call("PUT", "/objects/a/b", { { "x", 1 } });
  CHECK(deployment.Call("GET", "/objects/a/b")["x"] == 1);
  CHECK(deployment.Call("GET", "/objects/none").contains("error"));
  const Json start{ { "task_id", "t1" }, { "worker", "vm1" }, { "cores", 4 } };
  CHECK(deployment.Call("POST", "/tasks", start)["state"] == "running");
  CHECK(deployment.Call("POST", "/tasks/t1/throttle", { { "share", 0.5 } })["cores"] == 2.0);
  CHECK(deployment.Call("GET", "/workers")["workers"][0]["tasks"][0]["task_id"] == "t1");
  CHECK(deployment.Call("POST", "/tasks/t1/stop")["state"] == "stopped");
  CHECK(deployment.Call("POST", "/tasks/t1/renew").contains("error"));
  deployment.SetFaults({ { "failing_workers", { "vm2" } } });
  CHECK(deployment.Call("POST", "/tasks", { { "task_id", "t2" }, { "worker", "vm2" } })["state"] ==
        "failed");
  CHECK(deployment.Call("GET", "/tasks")["tasks"].size() == 2);
}
