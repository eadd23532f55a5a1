/// Rows and messages of other software with values that no minion, operator or caller means.

#include <chrono>
#include <fstream>
#include <functional>
#include <random>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "platform/Messages.h"
#include "platform/MinionClient.h"

using namespace mustardtray;
using namespace mustardtray::platform;

namespace {

/// Capacities of a few thousand minions must not overflow when they are added.
constexpr std::int64_t kMaxSensibleCapacity = INT64_MAX / 1'000'000;

std::string MakeEntry(const std::string& aField, const std::string& aValue)
{
  std::vector<std::pair<std::string, std::string>> fields{
    { "service", R"("s")" },
    { "address", R"("10.0.0.9:80")" },
    { "zone", R"("z")" },
    { "state", R"("ready")" },
    { "machine", R"("m-1")" },
    { "capacity", R"({"cpu":16000,"mem_mb":100,"gpu":0})" },
    { "labels", R"(["a","r1-3"])" },
    { "born", "5" },
    { "other", "4" },
  };
  std::string text;
  for (const auto& [name, value] : fields) {
    text +=
      fmt::format("{}\"{}\":{}", text.empty() ? "{" : ",", name, name == aField ? aValue : value);
  }
  return text + "}";
}

std::string Repeat(const std::string& aText, std::size_t aTimes)
{
  std::string text;
  text.reserve(aText.size() * aTimes);
  for (std::size_t i = 0; i < aTimes; ++i) {
    text += aText;
  }
  return text;
}

/// Growth of the peak of resident memory during aWork.
std::size_t PeakMemoryOf(const std::function<void()>& aWork)
{
  const auto kilobytes = [](const std::string& aName) {
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with(aName)) {
        return std::stoul(line.substr(aName.size()));
      }
    }
    return 0ul;
  };
  // Resets the peak to what is resident now.
  std::ofstream("/proc/self/clear_refs") << "5";
  const std::size_t before = kilobytes("VmRSS:");
  aWork();
  const std::size_t peak = kilobytes("VmHWM:");
  return peak > before ? (peak - before) * 1024 : 0;
}

} // namespace

TEST_CASE("an entry with an address that no connection can be made to names no minion")
{
  REQUIRE(DecodeMinionEntry("i-1", MakeEntry("", "")));
  CHECK(DecodeMinionEntry("i-1", MakeEntry("address", R"("[::1]:80")")));
  for (const std::string address : { "10.0.0.9:99999",    "10.0.0.9:65536",
                                     "10.0.0.9:0",        "10.0.0.9:-1",
                                     "10.0.0.9:+1",       "10.0.0.9:x",
                                     "10.0.0.9:80x",      "10.0.0.9:80/-/hold?",
                                     "10.0.0.9: 80",      "10.0.0.9:",
                                     "10.0.0.9",          ":80",
                                     "0.0.0.0:80",        "10.0.0:80",
                                     "10.0.0.999:80",     "::1:80",
                                     "[::1:80",           "some-host:80",
                                     "user@10.0.0.9:80",  "10.0.0.9:1:80",
                                     "10.0.0.9\\r\\n:80", "" }) {
    CAPTURE(address);
    CHECK_FALSE(DecodeMinionEntry("i-1", MakeEntry("address", '"' + address + '"')));
  }
}

TEST_CASE("an entry with a number out of range names no minion")
{
  for (const std::string number : { "-1",
                                    "-1.5",
                                    "-9e18",
                                    "1e300",
                                    "-1e300",
                                    "1e999",
                                    "9223372036854775807",
                                    "9223372036854775808",
                                    "18446744073709551615",
                                    "99999999999999999999999",
                                    "true",
                                    "null",
                                    R"("5")",
                                    "[5]" }) {
    CAPTURE(number);
    CHECK_FALSE(DecodeMinionEntry("i-1", MakeEntry("born", number)));
    for (const std::string name : { "cpu", "mem_mb", "gpu" }) {
      CAPTURE(name);
      std::string capacity;
      for (const std::string field : { "cpu", "mem_mb", "gpu" }) {
        capacity += fmt::format(
          "{}\"{}\":{}", capacity.empty() ? "{" : ",", field, field == name ? number : "1");
      }
      CHECK_FALSE(DecodeMinionEntry("i-1", MakeEntry("capacity", capacity + "}")));
    }
  }
  CHECK(DecodeMinionEntry("i-1", MakeEntry("capacity", R"({"cpu":5e2,"mem_mb":1})"))
          .value()
          .m_capacity.m_cpu == 500);
}

TEST_CASE("an entry with texts or labels beyond all names in use names no minion")
{
  const std::string longText = '"' + std::string(2'000'000, 'a') + '"';
  for (const std::string field : { "service", "address", "zone", "machine" }) {
    CAPTURE(field);
    CHECK_FALSE(DecodeMinionEntry("i-1", MakeEntry(field, longText)));
    CHECK_FALSE(DecodeMinionEntry("i-1", MakeEntry(field, R"("a\nb")")));
  }
  CHECK_FALSE(DecodeMinionEntry("i-1", MakeEntry("labels", "[" + longText + "]")));
  CHECK_FALSE(
    DecodeMinionEntry("i-1", MakeEntry("labels", "[" + Repeat(R"("a",)", 1'000'000) + R"("b"])")));
  CHECK_FALSE(DecodeMinionEntry("i-1\r\nHost: other", MakeEntry("", "")));
  CHECK_FALSE(DecodeMinionEntry("", MakeEntry("", "")));
}

TEST_CASE("an entry that is not UTF-8 names no minion")
{
  for (const std::string bytes : { "\xff", "\xc3", "\xed\xa0\x80", "\\ud800" }) {
    for (const std::string field : { "service", "zone", "machine", "other" }) {
      CHECK_FALSE(DecodeMinionEntry("i-1", MakeEntry(field, "\"a" + bytes + "b\"")));
    }
  }
}

TEST_CASE("a deeply nested entry costs neither the memory nor the stack of a node")
{
  constexpr std::size_t kLevels = 3'000'000;
  // A node may have 160 MB in all.
  constexpr std::size_t kMaxBytes = std::size_t{ 16 } << 20;
  constexpr std::chrono::seconds kMaxTime{ 1 };
  for (const std::string open : { "[", R"({"a":)" }) {
    const std::string opened = Repeat(open, kLevels);
    for (const std::string& text :
         { opened,
           MakeEntry("other", opened),
           MakeEntry("other", opened + "1" + Repeat(open == "[" ? "]" : "}", kLevels)) }) {
      CAPTURE(text.size());
      const auto startedAt = std::chrono::steady_clock::now();
      const std::size_t peak = PeakMemoryOf([&] { CHECK_FALSE(DecodeMinionEntry("i-1", text)); });
      CHECK(peak < kMaxBytes);
      CHECK(std::chrono::steady_clock::now() - startedAt < kMaxTime);
    }
  }
}

TEST_CASE("mutated entries either name a minion with values in range or none")
{
  constexpr std::uint32_t kSeed = 23;
  constexpr int kRounds = 20'000;
  const std::vector<std::string> pieces{ "1e300", "-",    "[[[[", "{\"a\":", "\xff",  "99999",
                                         "1e999", "null", "\\u",  "\"",      ":-1\"", "0.5" };
  std::minstd_rand random{ kSeed };
  int minions = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::string text = MakeEntry("", "");
    for (std::size_t changes = 1 + random() % 3; changes > 0 && !text.empty(); --changes) {
      const std::size_t at = random() % text.size();
      const std::string& piece = pieces[random() % pieces.size()];
      switch (random() % 4) {
        case 0:
          text[at] = static_cast<char>(random() % 256);
          break;
        case 1:
          text.erase(at, 1 + random() % 8);
          break;
        case 2:
          text.insert(at, piece);
          break;
        default:
          text.replace(at, std::min(piece.size(), text.size() - at), piece);
          break;
      }
    }
    const auto entry = DecodeMinionEntry("i-1", text);
    if (!entry) {
      continue;
    }
    ++minions;
    CAPTURE(text);
    const job::Resources& capacity = entry.value().m_capacity;
    for (const std::int64_t amount : { capacity.m_cpu, capacity.m_memoryMb, capacity.m_gpu }) {
      CHECK(amount >= 0);
      CHECK(amount <= kMaxSensibleCapacity);
    }
    CHECK(entry.value().m_startedAtMs >= 0);
    const std::size_t colon = entry.value().m_address.rfind(':');
    REQUIRE(colon != std::string::npos);
    const std::string port = entry.value().m_address.substr(colon + 1);
    CHECK(port.find_first_not_of("0123456789") == std::string::npos);
    REQUIRE(port.size() <= 5);
    const int number = std::stoi(port);
    CHECK(number > 0);
    CHECK(number <= UINT16_MAX);
  }
  CHECK(minions > kRounds / 100);
}

TEST_CASE("a configuration or wave or job with a number out of range is refused as a whole")
{
  const auto config = [](const std::string& aVersion, const std::string& aField) {
    return fmt::format(
      R"({{"version":{},"routes":[{{"host":"h","prefix":"/a/","service":"s","name":"q"{}}}],)"
      R"("services":[{{"name":"s"}}]}})",
      aVersion,
      aField);
  };
  const auto wave = [](const std::string& aNumber, const std::string& aCount) {
    return fmt::format(
      R"({{"wave":{},"machines":["m"],"duration_s":20.5,"max_count":{}}})", aNumber, aCount);
  };
  const auto jobBody = [](const std::string& aStepField, const std::string& aField) {
    return R"({"spec":"s","steps":[{"count":1)" + aStepField + "}]" + aField + "}";
  };
  REQUIRE(DecodeDeployment(config("1", "")));
  REQUIRE(DecodeWave(wave("1", "1")));
  REQUIRE(DecodeJobSpec(jobBody("", "")));
  for (const std::string number : { "-1",
                                    "1e300",
                                    "-1e300",
                                    "1e999",
                                    "18446744073709551615",
                                    "99999999999999999999",
                                    "true" }) {
    CAPTURE(number);
    CHECK_FALSE(DecodeDeployment(config(number, "")));
    for (const std::string name : { "max_attempts", "target_duration_ms", "stretch" }) {
      CAPTURE(name);
      CHECK_FALSE(DecodeDeployment(config("1", fmt::format(R"(,"{}":{})", name, number))));
    }
    CHECK_FALSE(DecodeWave(wave(number, "1")));
    CHECK_FALSE(DecodeWave(wave("1", number)));
    for (const std::string name :
         { "cpu", "mem_mb", "gpu", "estimate_ms", "target_ms", "max_per_server", "may_miss" }) {
      CAPTURE(name);
      CHECK_FALSE(DecodeJobSpec(jobBody(fmt::format(R"(,"{}":{})", name, number), "")));
    }
    for (const std::string name : { "repeat_count", "start_at_ms", "interval_ms" }) {
      CAPTURE(name);
      CHECK_FALSE(DecodeJobSpec(jobBody("", fmt::format(R"(,"{}":{})", name, number))));
    }
  }
  CHECK_FALSE(DecodeWave(wave("1", "4294967296")));
  CHECK_FALSE(DecodeWave(R"({"wave":1,"machines":["m"],"duration_s":1e300,"max_count":1})"));
  CHECK_FALSE(DecodeWave(R"({"wave":1,"machines":["m"],"duration_s":-1,"max_count":1})"));
  CHECK_FALSE(
    DecodeJobSpec(R"({"spec":"s","steps":[{"count":1},{"count":1,"after":[-4294967296]}]})"));
  CHECK_FALSE(DecodeJobSpec(R"({"spec":"s","steps":[{"count":1},{"count":1,"after":[1e300]}]})"));
  // The due time of the last occurrence, and the sum of the estimates.
  CHECK_FALSE(DecodeJobSpec(jobBody("", R"(,"repeat_count":4000000000,"interval_ms":9000000000)")));
  std::string steps;
  for (int i = 0; i < 1'000; ++i) {
    steps += R"({"count":1,"estimate_ms":9000000000},)";
  }
  CHECK_FALSE(DecodeJobSpec(R"({"spec":"s","steps":[)" + steps + R"({"count":1}]})"));
}

TEST_CASE("a deeply nested job or configuration or wave costs no memory")
{
  constexpr std::size_t kLevels = 3'000'000;
  constexpr std::size_t kMaxBytes = std::size_t{ 16 } << 20;
  const std::string text = R"({"version":)" + std::string(kLevels, '[');
  CHECK(PeakMemoryOf([&] { CHECK_FALSE(DecodeDeployment(text)); }) < kMaxBytes);
  CHECK(PeakMemoryOf([&] { CHECK_FALSE(DecodeWave(text)); }) < kMaxBytes);
  CHECK(PeakMemoryOf([&] { CHECK_FALSE(DecodeJobSpec(text)); }) < kMaxBytes);
}
