#include "mustardtray/connection/TrafficMeter.h"

#include <algorithm>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "mustardtray/connection/HttpClient.h"
#include "standin/StandinServer.h"

using namespace mustardtray;

TEST_CASE("traffic is summed by kind, the largest first, and starts anew after a summary")
{
  TrafficMeter meter;
  CHECK(meter.TakeSummary(3) == "none");
  meter.Add("read", 10, 20);
  meter.Add("start", 500, 30, true);
  meter.Add("start", 500, 30);
  meter.Add("poll", 1, 1);
  CHECK(meter.TakeSummary(2) == "start:2/1/1000/60/530,read:1/0/10/20/0");
  CHECK(meter.TakeSummary(2) == "none");
  CHECK(meter.Total().m_sent == 1'011);
  CHECK(meter.Total().m_wasted == 530);
}

/// Guards against memory that grows with the paths that callers invent.
TEST_CASE("the number of kinds of traffic is limited")
{
  TrafficMeter meter;
  for (int i = 0; i < 1'000; ++i) {
    meter.Add(fmt::format("path-{}", i), 1, 1);
  }
  meter.Add("path-0", 5, 5);
  const std::string summary = meter.TakeSummary(1'000);
  CHECK(std::count(summary.begin(), summary.end(), ',') == 100);
  CHECK(summary.starts_with("other:900/0/900/900/0,path-0:2/0/6/6/0,"));
}

TEST_CASE("bytes of calls that are abandoned count as wasted")
{
  asio::io_context io;
  StandinServer server(io, "127.0.0.1", 0, [](const std::shared_ptr<StandinExchange>& aExchange) {
    if (aExchange->Request().m_path == "/answered") {
      aExchange->SendResponse(JsonResponse(200, std::string(2'000, 'x')));
    } else {
      aExchange->Close();
    }
  });
  REQUIRE(server.Listen().has_value());
  HttpClient client(io);
  int ended = 0;
  for (const char* path : { "/answered", "/closed" }) {
    HttpCall call;
    call.m_method = "POST";
    call.m_url = fmt::format("http://127.0.0.1:{}{}", server.Port(), path);
    call.m_body = std::string(1'000, 'x');
    call.m_isRepeatable = false;
    call.m_step = path;
    client.Start(std::move(call), [&](const HttpCallResult&) { ++ended; });
  }
  while (ended < 2) {
    io.run_one();
  }
  const TrafficCount& total = client.Traffic().Total();
  CHECK(total.m_calls == 2);
  CHECK(total.m_abandoned == 1);
  CHECK(total.m_sent >= 2'000);
  CHECK(total.m_sent < 3'000);
  CHECK(total.m_received >= 2'000);
  CHECK(total.m_wasted >= 1'000);
  CHECK(total.m_wasted < 2'000);
}
