#include "standin/MinionStandin.h"

#include <future>
#include <thread>

#include <doctest/doctest.h>

#include "mustardtray/connection/HttpClient.h"
#include "tests/support/ContextThread.h"

using namespace mustardtray;

namespace {

std::string UrlOf(std::uint16_t aPort, const std::string& aPath)
{
  return "http://127.0.0.1:" + std::to_string(aPort) + aPath;
}

/// One VM with one minion of one slot, on a thread of its own.
class Host
{
public:
  Host()
  {
    MinionStandinSettings settings;
    MinionSettings minion;
    minion.m_vm = "vm1";
    minion.m_service = "bookings";
    minion.m_slots = 1;
    minion.m_run = Millis(0);
    minion.m_leavingGrace = Millis(0);
    settings.m_minions.push_back(minion);
    m_thread.Run([&] {
      m_standin = std::make_unique<MinionStandin>(m_thread.Context(), settings);
      REQUIRE(m_standin->Start());
    });
    m_port = m_standin->Minions().front()->Port();
  }

  ~Host()
  {
    m_thread.Run([&] { m_standin.reset(); });
  }

  HttpCall Request(const std::string& aWorkId, Millis aRun = Millis(0)) const
  {
    HttpCall call;
    call.m_method = "POST";
    call.m_url = UrlOf(m_port, "/book?x=1");
    call.m_headers = { { "Standin-Work-Id", aWorkId },
                       { "Standin-Run-Ms", std::to_string(aRun.count()) } };
    call.m_body = "body of " + aWorkId;
    return call;
  }

  std::future<HttpCallResult> SendLater(const std::string& aWorkId, Millis aRun = Millis(0)) const
  {
    return std::async(std::launch::async,
                      [call = Request(aWorkId, aRun)] { return CallAndWait(call); });
  }

  Json Control(const std::string& aMethod,
               const std::string& aPath,
               const Json& aBody = Json::object())
  {
    HttpCall call;
    call.m_method = aMethod;
    call.m_url = UrlOf(m_standin->ControlPort(), "/control" + aPath);
    call.m_body = aMethod == "GET" ? "" : aBody.dump();
    return Json::parse(CallAndWait(call).value().m_body);
  }

  void SetFault(const std::string& aFault)
  {
    Control("POST", "/minions/vm1", { { "fault", aFault } });
  }
  Json Stats() { return Control("GET", "/stats"); }

  /// Waits until a count of the one minion has reached a value.
  void AwaitCount(const std::string& aName, int aValue)
  {
    while (Stats()["minions"][0][aName].get<int>() < aValue) {
      std::this_thread::yield();
    }
  }

private:
  test::ContextThread m_thread;
  std::unique_ptr<MinionStandin> m_standin;
  std::uint16_t m_port = 0;
};

} // namespace

TEST_CASE("WorkLedger tells double runs from repeated idempotent work")
{
  WorkLedger ledger;
  ledger.Record("a", "s", false);
  ledger.Record("a", "s", false);
  ledger.Record("a", "s", false);
  ledger.Record("b", "s", true);
  ledger.Record("b", "t", true);
  ledger.Record("", "t", false);
  ledger.Record("", "t", false);
  CHECK(ledger.Runs() == 7);
  CHECK(ledger.DoubleRuns() == 1);
  CHECK(ledger.RepeatedIdempotent() == 1);
  CHECK(ledger.RunsOf("a") == 3);
  CHECK(ledger.Repeated().at(0).m_runs == 3);
  CHECK(ledger.RunsByService().at("t") == 3);
}

TEST_CASE("Minion stand-in echoes a request and records its run")
{
  Host host;
  const HttpCallResult result = CallAndWait(host.Request("w1"));
  REQUIRE(result);
  CHECK(result.value().m_status == 200);
  CHECK(result.value().m_body == "body of w1");
  CHECK(*result.value().Header("Standin-Vm") == "vm1");
  CHECK(*result.value().Header("Standin-Method") == "POST");
  CHECK(*result.value().Header("Standin-Path") == "/book");
  CHECK(*result.value().Header("Standin-Work-Id") == "w1");
  HttpCall filler = host.Request("w2");
  filler.m_headers.push_back({ "Standin-Answer-Bytes", "70000" });
  CHECK(CallAndWait(filler).value().m_body.size() == 70'000);
  CHECK(CallAndWait(host.Request("w1")));
  const Json stats = host.Stats();
  CHECK(stats["work"]["double_runs"] == 1);
  CHECK(stats["work"]["repeated"][0]["work_id"] == "w1");
  CHECK(stats["requests"] == 3);
  CHECK(stats["slot_violations"] == 0);
}

TEST_CASE("Minion stand-in counts requests beyond its slots")
{
  Host host;
  auto running = host.SendLater("w1", Millis(60'000));
  host.AwaitCount("runs", 1);
  auto waiting = host.SendLater("w2");
  host.AwaitCount("slot_violations", 1);
  const Json stats = host.Stats();
  CHECK(stats["peak_occupancy"] == 2);
  CHECK(stats["peak_connections"] == 2);
  CHECK(stats["work"]["runs"] == 1);
  host.Control("POST", "/minions/vm1/kill");
  CHECK(running.get().error().m_error.m_kind == ErrorKind::Unknown);
  CHECK(waiting.get().error().m_error.m_kind == ErrorKind::Unknown);
}

TEST_CASE("Minion stand-in runs what came while it was frozen")
{
  Host host;
  host.SetFault("freeze");
  auto first = host.SendLater("w1");
  auto second = host.SendLater("w2");
  host.AwaitCount("requests", 2);
  CHECK(host.Stats()["work"]["runs"] == 0);
  host.SetFault("none");
  CHECK(first.get().value().m_body == "body of w1");
  CHECK(second.get().value().m_body == "body of w2");
}

TEST_CASE("Minion stand-in fails in the way that was asked for")
{
  Host host;
  HttpCall call = host.Request("w1");
  call.m_freshConnection = true;
  call.m_headers.push_back({ "Mustardtray-Request-Id", "r1" });
  host.SetFault("foreign-answer");
  CHECK(*CallAndWait(call).value().Header("Mustardtray-Request-Id") == "foreign");
  host.SetFault("fail");
  CHECK(CallAndWait(call).value().m_status == 500);
  host.SetFault("refuse");
  const HttpCallResult refused = CallAndWait(call);
  CHECK(refused.value().m_status == 503);
  CHECK(*refused.value().Header("Mustardtray-Outcome") == "not-run");
  host.SetFault("foreign-answer");
  CHECK(CallAndWait(call).value().m_body == "body of w1");
  CHECK(CallAndWait(host.Request("w2")).value().m_body == "body of w1");
  host.SetFault("close-after-read");
  CHECK(CallAndWait(call).error().m_error.m_kind == ErrorKind::Unknown);
  host.SetFault("short-answer");
  CHECK(CallAndWait(call).error().m_error.m_kind == ErrorKind::Unknown);
  host.SetFault("die-mid-answer");
  CHECK(CallAndWait(call).error().m_error.m_kind == ErrorKind::Unknown);
  host.AwaitCount("kills", 1);
  CHECK(CallAndWait(call).error().m_isNotSent);
  const Json stats = host.Stats();
  CHECK(stats["work"]["runs"] == 7);
  CHECK(stats["refused"] == 1);
}

TEST_CASE("Minion stand-in ends a fault after a number of requests")
{
  Host host;
  host.Control("POST", "/minions/vm1", { { "fault", "fail" }, { "requests", 1 } });
  CHECK(CallAndWait(host.Request("w1")).value().m_status == 500);
  CHECK(CallAndWait(host.Request("w2")).value().m_status == 200);
  CHECK(
    host.Control("POST", "/minions/vm1", { { "fault", "odd" } })["error"].get<std::string>().find(
      "/fault") == 0);
}

TEST_CASE("Minion stand-in stops gracefully, starts again, and accounts for stops with work")
{
  Host host;
  host.Control("POST", "/minions/vm1/stop");
  CHECK(CallAndWait(host.Request("w1")).error().m_isNotSent);
  CHECK(host.Stats()["stops_with_work"] == 0);
  host.Control("POST", "/minions/vm1/start");
  auto running = host.SendLater("w2", Millis(50));
  host.AwaitCount("runs", 1);
  host.Control("POST", "/minions/vm1/stop");
  CHECK(running.get().value().m_body == "body of w2");
  host.Control("POST", "/minions/vm1/start");
  host.SetFault("freeze");
  auto frozen = host.SendLater("w3");
  host.AwaitCount("requests", 2);
  const std::uint64_t earlier = host.Stats()["stops_with_work"];
  auto stop = std::async(std::launch::async, [&] { host.Control("POST", "/minions/vm1/stop"); });
  host.AwaitCount("stops", 3);
  CHECK(host.Stats()["stops_with_work"] == earlier + 1);
  host.SetFault("none");
  stop.get();
  CHECK(frozen.get().value().m_status == 503);
}

TEST_CASE("Minion stand-in counts requests that come after it was leaving")
{
  Host host;
  CHECK(CallAndWait(host.Request("w1")));
  host.Control("POST", "/minions/vm1/leaving");
  CHECK(CallAndWait(host.Request("w2")));
  CHECK(host.Stats()["late_arrivals"] == 1);
  host.Control("POST", "/minions/vm1/leaving", { { "on", false } });
  CHECK(CallAndWait(host.Request("w3")));
  CHECK(host.Stats()["late_arrivals"] == 1);
}

TEST_CASE("Minion stand-in loses its runs when it is killed")
{
  Host host;
  auto running = host.SendLater("w1", Millis(60'000));
  host.AwaitCount("runs", 1);
  host.Control("POST", "/minions/vm1/kill");
  CHECK(running.get().error().m_error.m_kind == ErrorKind::Unknown);
  CHECK(host.Stats()["killed_runs"] == 1);
  host.Control("POST", "/minions/vm1/start");
  CHECK(CallAndWait(host.Request("w2")));
}

TEST_CASE("Minion stand-in settings name every fault")
{
  const auto settings = ParseMinionStandinSettings(R"({"minions":[{"vm":1,"slots":0}],"x":1})");
  REQUIRE(!settings);
  for (const char* pointer : { "/minions/0/vm", "/minions/0/service", "/minions/0/slots", "/x" }) {
    CHECK(settings.error().m_message.find(pointer) != std::string::npos);
  }
}
