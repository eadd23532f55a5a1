/// Lists in which one element cannot be read, and odd answers.

#include <asio/io_context.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "platform/Base64.h"
#include "platform/MachineClient.h"
#include "platform/MinionClient.h"
#include "platform/StoreClient.h"
#include "standin/StandinServer.h"

using namespace mustardtray;
using namespace mustardtray::platform;

namespace {

constexpr Millis kTimeout{ 2'000 };
constexpr std::size_t kDeep = 500'000;

/// Answers each request with the same response.
struct FixedServer
{
  FixedServer(int aStatus, std::string aBody)
    : m_server(
        m_io,
        "127.0.0.1",
        0,
        [aStatus, body = std::move(aBody)](const std::shared_ptr<StandinExchange>& aExchange) {
          HttpResponse response;
          response.m_status = aStatus;
          response.m_body = body;
          aExchange->SendResponse(response);
        })
  {
    REQUIRE(m_server.Listen().has_value());
  }

  SocketAddress Address() const { return { "127.0.0.1", m_server.Port() }; }

  /// Runs until aIsDone is set.
  void Await(const bool& aIsDone)
  {
    while (!aIsDone) {
      m_io.run_one();
    }
  }

  asio::io_context m_io;
  StandinServer m_server;
  HttpClient m_http{ m_io };
};

std::vector<std::string> OddTexts()
{
  return { "\"a\xff\"", R"("\ud800")", "1e999", std::string(kDeep, '[') + std::string(kDeep, ']'),
           "7",         "{}",          "null" };
}

std::string MakeRow(const std::string& aKey, const std::string& aFields)
{
  return fmt::format(R"({{"table":"servers","part":"","key":{},"value":"{}",{}}})",
                     aKey,
                     EncodeBase64("text"),
                     aFields);
}

std::vector<std::string> KeysOf(const std::vector<Row>& aRows)
{
  std::vector<std::string> keys;
  for (const Row& row : aRows) {
    keys.push_back(row.m_rowId.m_key);
  }
  return keys;
}

std::string MakeMachine(const std::string& aName,
                        const std::string& aCpu,
                        const std::string& aLabels = R"(["kind","rack"])")
{
  return fmt::format(R"({{"machine":{},"pool":"p","state":"up","zone":"z","labels":{},)"
                     R"("capacity":{{"cpu":{},"mem_mb":100}},"id":"i"}})",
                     aName,
                     aLabels,
                     aCpu);
}

} // namespace

TEST_CASE("one row that cannot be read does not hide the others of its page")
{
  std::vector<std::string> oddRows = OddTexts();
  for (const std::string& text : OddTexts()) {
    if (text != "7") {
      oddRows.push_back(MakeRow(text, R"("ver":4)"));
      oddRows.push_back(MakeRow(R"("odd")", R"("ver":)" + text));
    }
    oddRows.push_back(MakeRow(R"("odd")", R"("ver":4,"part":)" + text));
  }
  oddRows.push_back(MakeRow(R"("odd")", R"("ver":-1)"));
  oddRows.push_back(MakeRow(R"("odd")", R"("ver":1e300)"));
  for (const std::string& row : oddRows) {
    CAPTURE(row.substr(0, 200));
    FixedServer server(200,
                       fmt::format(R"({{"ver":9,"rows":[{},{},{}],"has_more":true,"now_ms":5}})",
                                   MakeRow(R"("a")", R"("ver":3)"),
                                   row,
                                   MakeRow(R"("b,]}\"")", R"("ver":5)")));
    StoreClient client(server.m_http, server.Address());
    for (const bool isFeed : { false, true }) {
      bool isDone = false;
      const auto check = [&](const Result<RowPage>& aPage) {
        isDone = true;
        REQUIRE(aPage);
        CHECK(KeysOf(aPage.value().m_rows) == std::vector<std::string>{ "a", "b,]}\"" });
        CHECK(aPage.value().m_version == 9);
        CHECK(aPage.value().m_hasMore);
      };
      if (isFeed) {
        client.Follow(kMinionTable, 0, Millis(0), kTimeout, check);
      } else {
        client.Read({ kMinionTable, "", "" }, "", kTimeout, check);
      }
      server.Await(isDone);
    }
  }
}

TEST_CASE("a row whose value is no text is reported without a value")
{
  FixedServer server(200,
                     R"({"ver":9,"rows":[{"table":"t","part":"","key":"a","ver":3,"value":7}]})");
  StoreClient client(server.m_http, server.Address());
  bool isDone = false;
  client.Read({ "t", "", "" }, "", kTimeout, [&](const Result<RowPage>& aPage) {
    isDone = true;
    REQUIRE(aPage);
    REQUIRE(aPage.value().m_rows.size() == 1);
    CHECK(aPage.value().m_rows[0].m_value.empty());
  });
  server.Await(isDone);
}

TEST_CASE("one machine that cannot be read does not hide the others of its page")
{
  std::vector<std::string> oddMachines = OddTexts();
  for (const std::string& text : OddTexts()) {
    if (text != "7") {
      oddMachines.push_back(MakeMachine(R"("odd")", text));
      oddMachines.push_back(MakeMachine(text, "100"));
    }
    oddMachines.push_back(MakeMachine(R"("odd")", "100", text));
  }
  for (const std::string number :
       { "-1", "1e300", "9223372036854775807", "18446744073709551615" }) {
    oddMachines.push_back(MakeMachine(R"("odd")", number));
  }
  for (const std::string& machine : oddMachines) {
    CAPTURE(machine.substr(0, 200));
    FixedServer server(200,
                       fmt::format(R"({{"machines":[{},{},{}],"next_token":"t"}})",
                                   MakeMachine(R"("a")", "100"),
                                   machine,
                                   MakeMachine(R"("b")", "200")));
    MachineClient client(server.m_http, server.Address());
    bool isDone = false;
    client.ListPage("", kTimeout, [&](const Result<MachinePage>& aPage) {
      isDone = true;
      REQUIRE(aPage);
      REQUIRE(aPage.value().m_machines.size() == 2);
      CHECK(aPage.value().m_machines[0].m_name == "a");
      CHECK(aPage.value().m_machines[1].m_capacity.m_cpu == 200);
      CHECK(aPage.value().m_nextToken == "t");
    });
    server.Await(isDone);
  }
}

TEST_CASE("a list that is cut off or of another type is an error, and an empty one is not")
{
  for (const std::string body : { R"({"machines":[)",
                                  R"({"machines":[}])",
                                  R"({"machines":[{"a":1})",
                                  R"({"machines":7})",
                                  R"({"machines":{}})",
                                  R"({"x":{"machines":[]}})",
                                  R"({"x":["machines",[]]})",
                                  R"(["machines"])",
                                  "" }) {
    CAPTURE(body);
    FixedServer server(200, body);
    MachineClient client(server.m_http, server.Address());
    bool isDone = false;
    client.ListPage("", kTimeout, [&](const Result<MachinePage>& aPage) {
      isDone = true;
      CHECK_FALSE(aPage);
    });
    server.Await(isDone);
  }
  FixedServer server(200, R"( { "machines" : [ ] } )");
  MachineClient client(server.m_http, server.Address());
  bool isDone = false;
  client.ListPage("", kTimeout, [&](const Result<MachinePage>& aPage) {
    isDone = true;
    REQUIRE(aPage);
    CHECK(aPage.value().m_machines.empty());
  });
  server.Await(isDone);
}

TEST_CASE("a deeply nested answer to a machine order or in a token does not end the process")
{
  const std::string deep = std::string(kDeep, '[') + std::string(kDeep, ']');
  FixedServer refusing(409, R"({"reason":)" + deep + "}");
  MachineClient client(refusing.m_http, refusing.Address());
  bool isDone = false;
  client.Move({ "node", 1 }, "m", "p", kTimeout, [&](MachineOrderResult aResult) {
    isDone = true;
    CHECK(aResult == MachineOrderResult::Refused);
  });
  refusing.Await(isDone);
  FixedServer listing(200, R"({"machines":[],"next_token":)" + deep + "}");
  MachineClient reader(listing.m_http, listing.Address());
  isDone = false;
  reader.ListPage("", kTimeout, [&](const Result<MachinePage>& aPage) {
    isDone = true;
    CHECK_FALSE(aPage);
  });
  listing.Await(isDone);
}

TEST_CASE("an odd answer of a minion is an error or counts without its clock")
{
  const std::string deep = std::string(kDeep, '[') + std::string(kDeep, ']');
  for (const std::string number : { "1e300", "-1e300", "18446744073709551615", "1e999" }) {
    CAPTURE(number);
    FixedServer server(200, R"({"clock_ms":)" + number + "}");
    MinionClient client(server.m_http, {});
    bool isDone = false;
    client.Start({ server.Address().Text(), "i", 1 },
                 {},
                 1,

                 kTimeout,
                 [&](OrderResponse aResponse) {
                   isDone = true;
                   CHECK(aResponse.m_result == job::OrderResult::Started);
                   CHECK(aResponse.m_clockMs == 0);
                 });
    server.Await(isDone);
  }
  for (const std::string body :
       { R"({"clock_ms":1e300,"running":[],"ended":[]})",
         R"({"clock_ms":1,"born":1e300,"running":[],"ended":[]})",
         R"({"clock_ms":1,"running":[["u",4294967297,"",0]],"ended":[]})",
         R"({"clock_ms":1,"running":[["u",-1,"",0]],"ended":[]})",
         R"({"clock_ms":1,"running":[],"ended":[[-1,"u",1,"done",""]]})",
         R"({"clock_ms":1,"running":[],"ended":[[1e300,"u",1,"done",""]]})",
         R"({"clock_ms":1,"running":)" }) {
    for (const std::string& text : { std::string(body), body + deep + R"(,"ended":[]})" }) {
      CAPTURE(text.substr(0, 200));
      FixedServer server(200, text);
      MinionClient client(server.m_http, {});
      bool isDone = false;
      client.Hold(
        { server.Address().Text(), "i", 1 }, {}, kTimeout, [&](const HoldResult& aReport) {
          isDone = true;
          CHECK_FALSE(aReport);
        });
      server.Await(isDone);
    }
  }
}
