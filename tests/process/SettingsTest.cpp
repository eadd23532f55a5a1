#include "mustardtray/process/Settings.h"

#include <random>

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace nlohmann::literals;

namespace {

Json GoodSettings()
{
  return Json::parse(R"({
    "node": "entry-1", "zone": "a",
    "caller": {"port": 8080}, "forward": {"port": 8081}, "peer": {"port": 8082},
    "operator": {"port": 8083}, "metrics": {"port": 8084},
    "platform": {"url": "http://127.0.0.1:9000"}})");
}

FieldErrors Faults(const Json& aDocument)
{
  FieldErrors errors;
  ParseSettings(aDocument, errors);
  return errors;
}

} // namespace

TEST_CASE("Settings with only the required fields take the defaults")
{
  FieldErrors errors;
  const Settings settings = ParseSettings(GoodSettings(), errors);
  CHECK(errors.empty());
  CHECK(settings.m_caller.m_maxBodyBytes == 8u << 20);
  CHECK(settings.m_peer.Url() == "http://127.0.0.1:8082");
}

TEST_CASE("Settings report all faults at once")
{
  Json document = GoodSettings();
  document["caller"]["port"] = "8080";
  document["heartbeat"] = 5;
  document["log_level"] = "loud";
  document.erase("zone");
  const FieldErrors errors = Faults(document);
  REQUIRE(errors.size() == 4);
  CHECK(errors[0].m_pointer == "/zone");
  CHECK(errors[1].m_pointer == "/caller/port");
  CHECK(errors[2].m_allowed == "debug|info|warning|error|off");
  CHECK(errors[3].m_pointer == "/heartbeat");
  CHECK(errors[3].m_allowed == "no such key here; did you mean \"heartbeat_ms\"?");
}

TEST_CASE("The operators' listener binds beyond loopback only with TLS and a token")
{
  Json document = GoodSettings();
  document["operator"]["address"] = "10.0.0.1";
  REQUIRE(Faults(document).size() == 1);
  CHECK(Faults(document)[0].m_pointer == "/operator/address");
  document["operator"]["certificate_file"] = "c.pem";
  document["operator"]["key_file"] = "k.pem";
  CHECK(Faults(document).size() == 1);
  document["operator"]["token_file"] = "token";
  CHECK(Faults(document).empty());
}

TEST_CASE("Settings with any field replaced are parsed or refused, and never end the process")
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
  const std::vector<Json::json_pointer> places{ "/node"_json_pointer,
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
    Json document = GoodSettings();
    for (int i = 0; i < 3; ++i) {
      const Json::json_pointer& place = places[random() % places.size()];
      const bool hasParent = document.contains(place.parent_pointer()) &&
                             document.at(place.parent_pointer()).is_object();
      if (hasParent) {
        document[place] = values[random() % values.size()];
      }
    }
    for (const FieldError& fault : Faults(document)) {
      CHECK_FALSE(fault.m_allowed.empty());
    }
  }
  CHECK_FALSE(Faults(Json::array()).empty());
}
