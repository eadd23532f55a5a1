#include "mustardtray/version/ParseConfiguration.h"

#include <algorithm>
#include <random>

#include <doctest/doctest.h>

#include "tests/support/ExampleFiles.h"

using namespace mustardtray;

namespace {

constexpr std::string_view kMinimalDocument = R"({"vm_labels":{"a1":{"workload":"shop"}},
 "pools":{"shop":{"selector":{"workload":["shop"]}}},"spare_pool":"shop",
 "services":{"shop":{"pool":"shop","path_prefix":"/shop","port":8100,
  "budget":{"max_unavailable":2,"failure_reserve":1},
  "queues":[{"name":"buy","urgency":"urgent","methods":["POST"]}]}},
 "teams":{"t":{"cores":4}},
 "maintenance_windows":{"n":{"weekdays":["monday"],"start_minute":60,"length_minutes":90}}})";

/// Returns kMinimalDocument with the value at aPointer replaced by aText, or removed when
/// aText is empty.
std::string ReplaceValue(std::string_view aPointer, std::string_view aText)
{
  Json document = Json::parse(kMinimalDocument);
  const Json::json_pointer pointer{ std::string(aPointer) };
  if (aText.empty()) {
    document.at(pointer.parent_pointer()).erase(pointer.back());
  } else {
    document[pointer] = Json::parse(aText);
  }
  return document.dump();
}

struct FaultCase
{
  std::string_view m_pointer;
  std::string_view m_text;
  std::string_view m_faultPointer; ///< Pointer that the fault is reported with.
};

constexpr FaultCase kFaultCases[] = {
  { "/vm_labels", "[]", "/vm_labels" },
  { "/vm_labels/a1", "3", "/vm_labels/a1" },
  { "/vm_labels/a1/workload", "3", "/vm_labels/a1/workload" },
  { "/vm_labels/a1/zone", R"("z")", "/vm_labels/a1/zone" },
  { "/vm_labels/a1/bad key", R"("z")", "/vm_labels/a1/bad key" },
  { "/vm_labels/-a", "{}", "/vm_labels/-a" },
  { "/pools/shop/selector", "", "/pools/shop/selector" },
  { "/pools/shop/selector/workload", "[]", "/pools/shop/selector/workload" },
  { "/pools/shop/selector/workload", "[1]", "/pools/shop/selector/workload" },
  { "/pools/shop/min_vms", "-1", "/pools/shop/min_vms" },
  { "/pools/a~1b", R"({"selector":{}})", "/pools/a~1b" },
  { "/spare_pool", "1", "/spare_pool" },
  { "/sparepool", R"("shop")", "/sparepool" },
  { "/services/shop/pool", "", "/services/shop/pool" },
  { "/services/shop/path_prefix", R"("shop")", "/services/shop/path_prefix" },
  { "/services/shop/path_prefix", "", "/services/shop/path_prefix" },
  { "/services/shop/port", "0", "/services/shop/port" },
  { "/services/shop/port", "70000", "/services/shop/port" },
  { "/services/shop/port", "1e3", "/services/shop/port" },
  { "/services/shop/slots", "0", "/services/shop/slots" },
  { "/services/shop/connections", "99999999999999999999", "/services/shop/connections" },
  { "/services/shop/max_run_ms", "0", "/services/shop/max_run_ms" },
  { "/services/shop/budget", "", "/services/shop/budget" },
  { "/services/shop/budget/max_unavailable", "0", "/services/shop/budget/max_unavailable" },
  { "/services/shop/queues", "", "/services/shop/queues" },
  { "/services/shop/queues", "{}", "/services/shop/queues" },
  { "/services/shop/queues/0/name", R"("a b")", "/services/shop/queues/0/name" },
  { "/services/shop/queues/0/urgency", R"("soon")", "/services/shop/queues/0/urgency" },
  { "/services/shop/queues/0/idempotent", R"("yes")", "/services/shop/queues/0/idempotent" },
  { "/services/shop/queues/0/methods", R"(["GET",1])", "/services/shop/queues/0/methods/1" },
  { "/services/shop/queues/0/floor_share", "1.5", "/services/shop/queues/0/floor_share" },
  { "/services/shop/queues/0/deadline_ms", "3600001", "/services/shop/queues/0/deadline_ms" },
  { "/teams/t/cores", "-1", "/teams/t/cores" },
  { "/maintenance_windows/n/weekdays", R"(["moonday"])", "/maintenance_windows/n/weekdays" },
  { "/maintenance_windows/n/weekdays", "", "/maintenance_windows/n/weekdays" },
  { "/maintenance_windows/n/start_minute", "1440", "/maintenance_windows/n/start_minute" },
};

bool HasFaultAt(const FieldErrors& aErrors, std::string_view aPointer)
{
  return std::any_of(aErrors.begin(), aErrors.end(), [&aPointer](const FieldError& aError) {
    return aError.m_pointer == aPointer;
  });
}

} // namespace

TEST_CASE("ParseConfiguration reports each fault with the pointer of its field")
{
  REQUIRE(ParseConfiguration(kMinimalDocument).m_errors.empty());
  for (const FaultCase& fault : kFaultCases) {
    CAPTURE(fault.m_pointer);
    CAPTURE(fault.m_text);
    const std::string text = ReplaceValue(fault.m_pointer, fault.m_text);
    CHECK(HasFaultAt(ParseConfiguration(text).m_errors, fault.m_faultPointer));
  }
}

TEST_CASE("ParseConfiguration reports all faults of a document at once")
{
  Json document = Json::parse(kMinimalDocument);
  document["services"]["shop"]["port"] = 0;
  document["pools"]["shop"]["min_vms"] = "many";
  document["teems"] = Json::object();
  const FieldErrors errors = ParseConfigurationDocument(document).m_errors;
  REQUIRE(errors.size() == 3);
  CHECK(HasFaultAt(errors, "/services/shop/port"));
  CHECK(HasFaultAt(errors, "/pools/shop/min_vms"));
  CHECK(errors.back().m_allowed.find("did you mean \"teams\"") != std::string::npos);
}

TEST_CASE("ParseJsonText rejects duplicate keys, excessive nesting and invalid JSON")
{
  const auto firstFault = [](const std::string& aText) {
    FieldErrors errors;
    CHECK(ParseJsonText(aText, errors).is_discarded());
    REQUIRE_FALSE(errors.empty());
    return errors.front().Text();
  };
  CHECK(firstFault(R"({"pools":{"a":{},"a":{}}})").find("/pools/a: found a duplicate key") == 0);
  CHECK(firstFault(R"({"x":)" + std::string(100'000, '[')).find("/x") == 0);
  CHECK(firstFault(R"({"x":)" + std::string(5'000, '[') + std::string(5'000, ']') + "}")
          .find("/x: found excessive nesting") == 0);
  for (const std::string text : { "", "{", "nul", "{\"a\":\"\xff\"}", "{}{}", "\"\\ud800\"" }) {
    CAPTURE(text);
    CHECK(firstFault(text).find("allowed: JSON text") != std::string::npos);
  }
  CHECK(firstFault(std::string(kMaxConfigurationBytes + 1, ' ')).find("bytes") !=
        std::string::npos);
}

TEST_CASE("The example configurations are unchanged after conversion to JSON and back")
{
  for (const std::string name : { "wroblewski", "cascadia" }) {
    CAPTURE(name);
    const ParsedConfiguration parsed = ParseConfiguration(test::ReadExample(name + ".json"));
    for (const FieldError& error : parsed.m_errors) {
      FAIL(error.Text());
    }
    const Configuration& config = parsed.m_configuration;
    CHECK(config.m_services.size() == 5);
    CHECK(config.m_pools.size() == 5);
    CHECK(config.m_vmLabels.size() == 50);
    CHECK(config.m_pools.contains(config.m_sparePool));
    const ParsedConfiguration reparsed = ParseConfigurationDocument(ToJson(config));
    CHECK(reparsed.m_errors.empty());
    CHECK(reparsed.m_configuration == config);
  }
}

TEST_CASE("ParseConfiguration rejects a randomly corrupted document or reads it consistently")
{
  std::mt19937 random(20261204);
  const std::string alphabet = "{}[]\":,0e-+.x\\u\n\xc5\x82\xff";
  for (int round = 0; round < 3'000; ++round) {
    std::string text(kMinimalDocument);
    for (int edit = 0; edit < 1 + round % 5 && !text.empty(); ++edit) {
      const std::size_t position = random() % text.size();
      switch (random() % 4) {
        case 0:
          text.erase(position, 1 + random() % 20);
          break;
        case 1:
          text[position] = alphabet[random() % alphabet.size()];
          break;
        case 2:
          text.insert(position, text.substr(random() % text.size(), random() % 40));
          break;
        default:
          text.resize(position + 1);
      }
    }
    const ParsedConfiguration parsed = ParseConfiguration(text);
    if (parsed.m_errors.empty()) {
      CHECK(ParseConfigurationDocument(ToJson(parsed.m_configuration)).m_configuration ==
            parsed.m_configuration);
    }
  }
}

TEST_CASE("Selector::Matches requires a listed value for each key")
{
  const Selector selector{ { { "zone", { "a", "b" } }, { "workload", { "shop" } } } };
  CHECK(selector.Matches({ { "zone", "b" }, { "workload", "shop" }, { "more", "x" } }));
  CHECK_FALSE(selector.Matches({ { "zone", "c" }, { "workload", "shop" } }));
  CHECK_FALSE(selector.Matches({ { "zone", "a" } }));
  CHECK(Selector{}.Matches({}));
}
