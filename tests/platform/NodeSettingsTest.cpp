#include "platform/NodeSettings.h"

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace mustardtray::platform;

namespace {

const std::string kComplete = "node_name=edge-1\n"
                              "ip=10.1.0.9\n"
                              "zone=north\n"
                              "zones.north=west\n"
                              "listen.front=10.1.0.9:8624\n"
                              "listen.ready=10.1.0.9:8622\n"
                              "internal_ports=7060,7075\n"
                              "platform.address=10.200.1.7:8621\n"
                              "bounds.grace_s=6\n"
                              "bounds.move_s=1.5\n"
                              "bounds.far_x=3\n"
                              "a.field.of.tomorrow=1,2\n";

std::string Without(const std::string& aField)
{
  const std::size_t begin = kComplete.find(aField + "=");
  return kComplete.substr(0, begin) + kComplete.substr(kComplete.find('\n', begin) + 1);
}

} // namespace

TEST_CASE("ParseNodeSettings decodes the settings file and ignores unknown fields")
{
  const auto settings = ParseNodeSettings(kComplete);
  REQUIRE(settings);
  CHECK(settings.value().m_callerListener.m_port == 8624);
  CHECK(settings.value().m_firstPeerPort == 7060);
  CHECK(settings.value().m_bounds.m_terminationGrace == Millis(6'000));
  CHECK(settings.value().m_bounds.m_moveTime == Millis(1'500));
  CHECK(settings.value().m_zones.at("north") == "west");
}

TEST_CASE("ParseNodeSettings enforces accounts only where the contracts ask for them")
{
  CHECK_FALSE(ParseNodeSettings(kComplete).value().m_hasAccounts);
  CHECK_FALSE(ParseNodeSettings(kComplete + "contracts=base,tenants-not\n").value().m_hasAccounts);
  const auto settings = ParseNodeSettings(kComplete + "contracts=base,tenants,quota\n"
                                                      "bounds.strict_revoke=true\n"
                                                      "bounds.quota_window_s=4\n"
                                                      "limits.memory_mb=160\n");
  REQUIRE(settings);
  CHECK(settings.value().m_hasAccounts);
  CHECK(settings.value().m_bounds.m_isRevocationStrict);
  CHECK(settings.value().m_bounds.m_rateWindow == Millis(4'000));
  CHECK(settings.value().m_memoryMb == 160);
  CHECK_FALSE(settings.value().m_learnsRunTimes);
  CHECK(
    ParseNodeSettings(kComplete + "scheduler.learned_run_times=true\n").value().m_learnsRunTimes);
}

TEST_CASE("ParseNodeSettings names a missing or malformed field in the error")
{
  for (const std::string field : { "node_name",
                                   "ip",
                                   "zone",
                                   "listen.front",
                                   "listen.ready",
                                   "internal_ports",
                                   "platform.address" }) {
    const auto settings = ParseNodeSettings(Without(field));
    REQUIRE_FALSE(settings);
    CHECK(settings.error().m_message.find(field) != std::string::npos);
  }
  for (const std::string line : { "bounds.grace_s=soon",
                                  "bounds.lease_ms=-1",
                                  "advice=nowhere",
                                  "bounds.strict_revoke=2" }) {
    const auto settings = ParseNodeSettings(kComplete + line + "\n");
    REQUIRE_FALSE(settings);
    CHECK(settings.error().m_message.find(line.substr(0, line.find('='))) != std::string::npos);
  }
}
