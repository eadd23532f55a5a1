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

/// Runs a stand-in with one single-slot minion on one VM, on its own thread.
class MinionStandinFixture
{
public:
  MinionStandinFixture()
  {
    MinionStandinSettings settings;
    MinionSettings minion;
    minion.m_vm = "vm1";
    minion.m_service = "bookings";
    minion.m_slots = 1;
    minion.m_runTime = Millis(0);
    minion.m_leavingGrace = Millis(0);
    settings.m_minions.push_back(minion);
    m_thread.Run([&] {
      m_standin = std::make_unique<MinionStandin>(m_thread.Context(), settings);
      REQUIRE(m_standin->Start());
    });
    m_port = m_standin->Minions().front()->Port();
  }

  ~MinionStandinFixture()
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

  std::future<HttpCallResult> SendAsync(const std::string& aWorkId, Millis aRun = Millis(0)) const
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

  /// Waits until a counter of the minion has reached a value.
  void WaitForCount(const std::string& aName, int aValue)
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

TEST_CASE("RunCounter distinguishes double runs from repeated idempotent work")
{
  RunCounter counter;
  counter.RecordRun("a", "s", false);
  counter.RecordRun("a", "s", false);
  counter.RecordRun("a", "s", false);
  counter.RecordRun("b", "s", true);
  counter.RecordRun("b", "t", true);
  counter.RecordRun("", "t", false);
  counter.RecordRun("", "t", false);
  CHECK(counter.Runs() == 7);
  CHECK(counter.DoubleRuns() == 1);
  CHECK(counter.RepeatedIdempotent() == 1);
  CHECK(counter.RunsOf("a") == 3);
  CHECK(counter.Repeated().at(0).m_runs == 3);
  CHECK(counter.RunsByService().at("t") == 3);
}

TEST_CASE("Minion stand-in echoes a request and records its run")
{
  MinionStandinFixture fixture;
  const HttpCallResult result = CallAndWait(fixture.Request("w1"));
  REQUIRE(result);
  CHECK(result.value().m_status == 200);
  CHECK(result.value().m_body == "body of w1");
  CHECK(*result.value().Header("Standin-Vm") == "vm1");
  CHECK(*result.value().Header("Standin-Method") == "POST");
  CHECK(*result.value().Header("Standin-Path") == "/book");
  CHECK(*result.value().Header("Standin-Work-Id") == "w1");
  HttpCall sizedCall = fixture.Request("w2");
  sizedCall.m_headers.push_back({ "Standin-Answer-Bytes", "70000" });
  CHECK(CallAndWait(sizedCall).value().m_body.size() == 70'000);
  CHECK(CallAndWait(fixture.Request("w1")));
  const Json stats = fixture.Stats();
  CHECK(stats["work"]["double_runs"] == 1);
  CHECK(stats["work"]["repeated"][0]["work_id"] == "w1");
  CHECK(stats["requests"] == 3);
  CHECK(stats["slot_violations"] == 0);
}

TEST_CASE("Minion stand-in counts requests that exceed its slots as violations")
{
  MinionStandinFixture fixture;
  auto running = fixture.SendAsync("w1", Millis(60'000));
  fixture.WaitForCount("runs", 1);
  auto waiting = fixture.SendAsync("w2");
  fixture.WaitForCount("slot_violations", 1);
  const Json stats = fixture.Stats();
  CHECK(stats["peak_occupancy"] == 2);
  CHECK(stats["peak_connections"] == 2);
  CHECK(stats["work"]["runs"] == 1);
  fixture.Control("POST", "/minions/vm1/kill");
  CHECK(running.get().error().m_error.m_kind == ErrorKind::Unknown);
  CHECK(waiting.get().error().m_error.m_kind == ErrorKind::Unknown);
}

TEST_CASE("Minion stand-in runs requests that arrived during a freeze once it ends")
{
  MinionStandinFixture fixture;
  fixture.SetFault("freeze");
  auto first = fixture.SendAsync("w1");
  auto second = fixture.SendAsync("w2");
  fixture.WaitForCount("requests", 2);
  CHECK(fixture.Stats()["work"]["runs"] == 0);
  fixture.SetFault("none");
  CHECK(first.get().value().m_body == "body of w1");
  CHECK(second.get().value().m_body == "body of w2");
}

TEST_CASE("Minion stand-in applies each kind of fault")
{
  MinionStandinFixture fixture;
  HttpCall call = fixture.Request("w1");
  call.m_freshConnection = true;
  call.m_headers.push_back({ "Mustardtray-Request-Id", "r1" });
  fixture.SetFault("foreign-answer");
  CHECK(*CallAndWait(call).value().Header("Mustardtray-Request-Id") == "foreign");
  fixture.SetFault("fail");
  CHECK(CallAndWait(call).value().m_status == 500);
  fixture.SetFault("refuse");
  const HttpCallResult refused = CallAndWait(call);
  CHECK(refused.value().m_status == 503);
  CHECK(*refused.value().Header("Mustardtray-Outcome") == "not-run");
  fixture.SetFault("foreign-answer");
  CHECK(CallAndWait(call).value().m_body == "body of w1");
  CHECK(CallAndWait(fixture.Request("w2")).value().m_body == "body of w1");
  fixture.SetFault("close-after-read");
  CHECK(CallAndWait(call).error().m_error.m_kind == ErrorKind::Unknown);
  fixture.SetFault("short-answer");
  CHECK(CallAndWait(call).error().m_error.m_kind == ErrorKind::Unknown);
  fixture.SetFault("die-mid-answer");
  CHECK(CallAndWait(call).error().m_error.m_kind == ErrorKind::Unknown);
  fixture.WaitForCount("kills", 1);
  CHECK(CallAndWait(call).error().m_isNotSent);
  const Json stats = fixture.Stats();
  CHECK(stats["work"]["runs"] == 7);
  CHECK(stats["refused"] == 1);
}

TEST_CASE("Minion stand-in ends a fault after a number of requests")
{
  MinionStandinFixture fixture;
  fixture.Control("POST", "/minions/vm1", { { "fault", "fail" }, { "requests", 1 } });
  CHECK(CallAndWait(fixture.Request("w1")).value().m_status == 500);
  CHECK(CallAndWait(fixture.Request("w2")).value().m_status == 200);
  CHECK(fixture.Control("POST", "/minions/vm1", { { "fault", "odd" } })["error"]
          .get<std::string>()
          .find("/fault") == 0);
}

TEST_CASE("Minion stand-in stops gracefully, restarts, and counts stops with unfinished requests")
{
  MinionStandinFixture fixture;
  fixture.Control("POST", "/minions/vm1/stop");
  CHECK(CallAndWait(fixture.Request("w1")).error().m_isNotSent);
  CHECK(fixture.Stats()["stops_with_work"] == 0);
  fixture.Control("POST", "/minions/vm1/start");
  auto running = fixture.SendAsync("w2", Millis(50));
  fixture.WaitForCount("runs", 1);
  fixture.Control("POST", "/minions/vm1/stop");
  CHECK(running.get().value().m_body == "body of w2");
  fixture.Control("POST", "/minions/vm1/start");
  fixture.SetFault("freeze");
  auto frozen = fixture.SendAsync("w3");
  fixture.WaitForCount("requests", 2);
  const std::uint64_t earlier = fixture.Stats()["stops_with_work"];
  auto stop = std::async(std::launch::async, [&] { fixture.Control("POST", "/minions/vm1/stop"); });
  fixture.WaitForCount("stops", 3);
  CHECK(fixture.Stats()["stops_with_work"] == earlier + 1);
  fixture.SetFault("none");
  stop.get();
  CHECK(frozen.get().value().m_status == 503);
}

TEST_CASE("Minion stand-in counts requests after the leaving grace period as late")
{
  MinionStandinFixture fixture;
  CHECK(CallAndWait(fixture.Request("w1")));
  fixture.Control("POST", "/minions/vm1/leaving");
  CHECK(CallAndWait(fixture.Request("w2")));
  CHECK(fixture.Stats()["late_arrivals"] == 1);
  fixture.Control("POST", "/minions/vm1/leaving", { { "on", false } });
  CHECK(CallAndWait(fixture.Request("w3")));
  CHECK(fixture.Stats()["late_arrivals"] == 1);
}

TEST_CASE("Minion stand-in aborts its runs when it is killed")
{
  MinionStandinFixture fixture;
  auto running = fixture.SendAsync("w1", Millis(60'000));
  fixture.WaitForCount("runs", 1);
  fixture.Control("POST", "/minions/vm1/kill");
  CHECK(running.get().error().m_error.m_kind == ErrorKind::Unknown);
  CHECK(fixture.Stats()["killed_runs"] == 1);
  fixture.Control("POST", "/minions/vm1/start");
  CHECK(CallAndWait(fixture.Request("w2")));
}

TEST_CASE("Minion stand-in settings errors list every invalid field")
{
  const auto settings = ParseMinionStandinSettings(R"({"minions":[{"vm":1,"slots":0}],"x":1})");
  REQUIRE(!settings);
  for (const char* pointer : { "/minions/0/vm", "/minions/0/service", "/minions/0/slots", "/x" }) {
    CHECK(settings.error().m_message.find(pointer) != std::string::npos);
  }
}
