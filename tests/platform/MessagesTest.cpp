#include "platform/Messages.h"

#include <random>

#include <doctest/doctest.h>

#include "platform/Base64.h"
#include "platform/MinionClient.h"

using namespace mustardtray;
using namespace mustardtray::platform;

namespace {

const std::string kEntry =
  R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","machine":"m-1",)"
  R"("capacity":{"cpu":16000,"mem_mb":100,"gpu":0},"labels":["a","r1-3"],"born":5,"seq":4})";

} // namespace

TEST_CASE("DecodeMinionEntry decodes a registration and returns no entry for an invalid one")
{
  const auto entry = DecodeMinionEntry("i-1", kEntry);
  REQUIRE(entry);
  CHECK(entry.value().Rack() == "r1-3");
  CHECK(entry.value().m_machine == "m-1");
  for (const std::string text : { "", "[]", "{}", "null" }) {
    CHECK_FALSE(DecodeMinionEntry("i-1", text));
  }
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{ { "\"ready\"", "\"asleep\"" },
                                                         { "16000", "\"many\"" },
                                                         { "[\"a\",\"r1-3\"]", "7" },
                                                         { "\"10.0.0.9:80\"", "\"nowhere\"" } }) {
    std::string broken = kEntry;
    broken.replace(broken.find(from), from.size(), to);
    CAPTURE(broken);
    CHECK_FALSE(DecodeMinionEntry("i-1", broken));
  }
}

TEST_CASE("DecodeJobSpec decodes a job and fails for an invalid one")
{
  const auto spec =
    DecodeJobSpec(R"({"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900},)"
                  R"({"count":1,"after":[0],"long_running":true,"may_miss":1,"fills":true}]})");
  REQUIRE(spec);
  CHECK(spec.value().m_steps[1].m_isLongRunning);
  CHECK(spec.value().m_steps[1].Reserved().m_cpu == 0);
  for (const std::string body : { R"({})",
                                  R"({"steps":[]})",
                                  R"({"steps":[{"count":0}]})",
                                  R"({"steps":[{"count":1,"after":[0]}]})",
                                  R"({"steps":[{"count":1,"cpu":"all"}]})",
                                  R"({"steps":[{"count":1,"cpu":-5}]})",
                                  R"(no json)" }) {
    CAPTURE(body);
    CHECK_FALSE(DecodeJobSpec(body));
  }
}

TEST_CASE("decoders reject corrupted messages without crashing")
{
  std::mt19937 random(11);
  for (int i = 0; i < 3'000; ++i) {
    std::string broken = kEntry;
    for (int change = 0; change < 3; ++change) {
      broken[random() % broken.size()] = static_cast<char>(random());
    }
    CHECK_NOTHROW(static_cast<void>(DecodeMinionEntry("i-1", broken)));
    CHECK_FALSE(DecodeWave(broken));
    CHECK_FALSE(DecodeDeployment(broken));
    CHECK_FALSE(DecodeJobSpec(broken));
  }
}

TEST_CASE("DecodeJobId accepts exactly 16 hexadecimal digits")
{
  CHECK(DecodeJobId("/a/0123456789abcdef", "/a/") == "0123456789abcdef");
  CHECK_FALSE(DecodeJobId("/a/0123456789abcde", "/a/"));
  CHECK_FALSE(DecodeJobId("/a/0123456789abcdeg", "/a/"));
  CHECK_FALSE(DecodeJobId("/a/", "/a/"));
}

TEST_CASE("DecodeDeployment decodes a configuration, and FindQueue prefers the longest prefix")
{
  const auto deployment = DecodeDeployment(
    R"({"version":7,"routes":[{"name":"r1","host":"h","prefix":"/a/","service":"s1"},)"
    R"({"name":"r2","host":"h","prefix":"/a/b/","service":"s2","max_attempts":4}],)"
    R"("services":[{"name":"s1","spare":true},{"name":"s2","rejects_overload":true}]})");
  REQUIRE(deployment);
  CHECK(deployment.value().FindQueue("h:80", "/a/b/x")->m_pool == "s2");
  CHECK(deployment.value().FindQueue("h", "/a/x")->m_pool == "s1");
  CHECK(deployment.value().FindQueue("g", "/a/x") == nullptr);
  CHECK(deployment.value().SparePool()->m_name == "s1");
}

TEST_CASE("DecodeDeployment decodes client accounts and public queues")
{
  const auto deployment = DecodeDeployment(
    R"({"version":7,"routes":[{"name":"q","host":"h","prefix":"/a/","service":"p","public":true}],
        "services":[],"tenants":[{"name":"a1","api_keys":["k1","k2"],"priority":1,"weight":2.5,
        "max_count":{"cpu":1000,"mem_mb":2000,"gpu":0}},{"name":"a2"}]})");
  REQUIRE(deployment);
  CHECK(deployment.value().m_queues.at(0).m_isPublic);
  const job::AccountSpec* account = deployment.value().FindAccount("a1");
  REQUIRE(account);
  CHECK(account->m_keys == std::vector<std::string>{ "k1", "k2" });
  CHECK(account->m_weight == 2.5);
  CHECK(account->m_limit.m_memoryMb == 2000);
  CHECK_FALSE(deployment.value().FindAccount("a3"));
}

TEST_CASE("a configuration with accounts that cannot be told apart or be divided is rejected whole")
{
  // Guards against a row of another writer that would let one account's key stand for another's.
  for (const std::string accounts :
       { R"([{"name":"a","api_keys":["k"]},{"name":"b","api_keys":["k"]}])",
         R"([{"name":"a","api_keys":["k","k"]}])",
         R"([{"name":"a"},{"name":"a"}])",
         R"([{"name":""}])",
         R"([{"name":"a","api_keys":[""]}])",
         R"([{"name":"a","weight":-1}])",
         R"([{"name":"a","weight":"much"}])",
         R"([{"name":"a","weight":1e300}])",
         R"([{"name":"a","max_count":{"cpu":-5}}])" }) {
    CAPTURE(accounts);
    CHECK_FALSE(
      DecodeDeployment(R"({"version":7,"routes":[],"services":[],"tenants":)" + accounts + "}"));
  }
}

TEST_CASE("Base64 texts with too much padding decode to nothing")
{
  for (const std::string text : { "====", "A===", "=", "AAAA====" }) {
    CAPTURE(text);
    CHECK(DecodeBase64(text).empty());
  }
  CHECK(DecodeBase64(EncodeBase64("ab")) == "ab");
  CHECK(DecodeBase64(EncodeBase64("a")) == "a");
}

TEST_CASE("a job whose units would not fit into the memory of a node is invalid")
{
  const std::string step = R"({"count":20000,"cpu":1})";
  CHECK(DecodeJobSpec(R"({"spec":"s","steps":[)" + step + "]}"));
  CHECK_FALSE(DecodeJobSpec(R"({"spec":"s","steps":[)" + step + "," + step + "]}"));
}

TEST_CASE("decoders survive messages with random changes")
{
  const std::vector<std::string> messages{
    kEntry,
    R"({"version":3,"routes":[{"host":"h","prefix":"/p/","service":"s","name":"q","advice":{}}],)"
    R"("services":[{"name":"s","rejects_overload":true,"spare":false}],"limits":{}})",
    R"({"wave":1,"machines":["m-1","m-2"],"duration_s":20.5,"max_count":2})",
    R"({"spec":"s","steps":[{"count":4,"cpu":500,"after":[],"may_miss":1}],"repeat_count":2})",
    EncodeBase64(kEntry),
  };
  constexpr std::uint32_t kSeed = 7;
  constexpr int kRounds = 20'000;
  std::minstd_rand random{ kSeed };
  for (int round = 0; round < kRounds; ++round) {
    std::string text = messages[random() % messages.size()];
    for (std::size_t changes = 1 + random() % 4; changes > 0 && !text.empty(); --changes) {
      const std::size_t at = random() % text.size();
      switch (random() % 4) {
        case 0:
          text[at] = static_cast<char>(random() % 256);
          break;
        case 1:
          text.erase(at, 1 + random() % 8);
          break;
        case 2:
          text.insert(at, std::string(1 + random() % 6, "9[{=\"-"[random() % 6]));
          break;
        default:
          text.resize(at);
          break;
      }
    }
    CAPTURE(round);
    CHECK_NOTHROW(static_cast<void>(DecodeMinionEntry("i-1", text)));
    CHECK_NOTHROW(static_cast<void>(DecodeDeployment(text)));
    CHECK_NOTHROW(static_cast<void>(DecodeWave(text)));
    CHECK_NOTHROW(static_cast<void>(DecodeJobSpec(text)));
    CHECK_NOTHROW(DecodeBase64(text));
  }
}
