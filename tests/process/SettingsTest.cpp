#include "mustardtray/process/Settings.h"

#include <random>

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace nlohmann::literals;

namespace {

Json MinimalSettings()
{
  return Json::parse(R"({
    "node": "entry-1", "zone": "a",
    "caller": {"port": 8080}, "forward": {"port": 8081}, "peer": {"port": 8082},
    "operator": {"port": 8083}, "metrics": {"port": 8084},
    "platform": {"url": "http://127.0.0.1:9000"}})");
}

FieldErrors ParseErrors(const Json& aDocument)
{
  FieldErrors errors;
  ParseSettings(aDocument, errors);
  return errors;
}

} // namespace

TEST_CASE("Settings with only the required fields take the defaults")
{
  FieldErrors errors;
  const Settings settings = ParseSettings(MinimalSettings(), errors);
  CHECK(errors.empty());
  CHECK(settings.m_caller.m_maxBodyBytes == 8u << 20);
  CHECK(settings.m_peer.Url() == "http://127.0.0.1:8082");
}

TEST_CASE("Settings report all faults at once")
{
  Json document = MinimalSettings();
  document["caller"]["port"] = "8080";
  document["heartbeat"] = 5;
  document["log_level"] = "loud";
  document.erase("zone");
  const FieldErrors errors = ParseErrors(document);
  REQUIRE(errors.size() == 4);
  CHECK(errors[0].m_pointer == "/zone");
  CHECK(errors[1].m_pointer == "/caller/port");
  CHECK(errors[2].m_allowed == "debug|info|warning|error|off");
  CHECK(errors[3].m_pointer == "/heartbeat");
  CHECK(errors[3].m_allowed == "no such key here; did you mean \"heartbeat_ms\"?");
}

TEST_CASE("A non-loopback address of the operators' listener needs TLS and a token")
{
  Json document = MinimalSettings();
  document["operator"]["address"] = "10.0.0.1";
  REQUIRE(ParseErrors(document).size() == 1);
  CHECK(ParseErrors(document)[0].m_pointer == "/operator/address");
  document["operator"]["certificate_file"] = "c.pem";
  document["operator"]["key_file"] = "k.pem";
  CHECK(ParseErrors(document).size() == 1);
  document["operator"]["token_file"] = "token";
  CHECK(ParseErrors(document).empty());
}

TEST_CASE("Settings with arbitrary field values are parsed or rejected without a crash")
{
  const std::vector<Json> values{ Json(),
                                  -1,
                                  1e300,
                                  "",
                                  "x",
                                  true,
                                  Json::array({ 1 }),
                                  Json::object({ { "port", Json::array() } }),
                                  UINT64_MAX };
  const std::vector<Json::json_pointer> pointers{ "/node"_json_pointer,
                                                  "/zone"_json_pointer,
                                                  "/caller"_json_pointer,
                                                  "/caller/port"_json_pointer,
                                                  "/platform/url"_json_pointer,
                                                  "/operator/address"_json_pointer,
                                                  "/seeds"_json_pointer,
                                                  "/heartbeat_ms"_json_pointer,
                                                  "/log_level"_json_pointer,
                                                  "/metrics"_json_pointer,
                                                  "/drain_timeout_ms"_json_pointer };
  std::mt19937 random(11);
  for (int round = 0; round < 2'000; ++round) {
    Json document = MinimalSettings();
    for (int i = 0; i < 3; ++i) {
      const Json::json_pointer& pointer = pointers[random() % pointers.size()];
      const bool hasParent = document.contains(pointer.parent_pointer()) &&
                             document.at(pointer.parent_pointer()).is_object();
      if (hasParent) {
        document[pointer] = values[random() % values.size()];
      }
    }
    for (const FieldError& fault : ParseErrors(document)) {
      CHECK_FALSE(fault.m_allowed.empty());
    }
  }
  CHECK_FALSE(ParseErrors(Json::array()).empty());
}
