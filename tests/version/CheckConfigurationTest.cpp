#include "mustardtray/version/CheckConfiguration.h"

#include <functional>

#include <doctest/doctest.h>

#include "tests/support/ExampleFiles.h"

using namespace mustardtray;

namespace {

struct CheckCase
{
  std::function<void(Configuration&)> m_edit;
  std::string m_expectedPrefix; ///< Beginning of the expected message.
};

std::string TextOf(const FieldErrors& aErrors)
{
  std::string text;
  for (const FieldError& error : aErrors) {
    text += error.Text() + "\n";
  }
  return text;
}

ServiceConfig& Service(Configuration& aConfig, const std::string& aName)
{
  return aConfig.m_services.at(aName);
}

std::vector<CheckCase> ErrorCases()
{
  return {
    { [](Configuration& aConfig) {
       aConfig.m_pools["returns"].m_selector.m_anyOf["workload"] = { "dispatch" };
     },
      "/pools/returns/selector: found VM pl-a-t03, pl-a-t08, pl-b-t04 and 5 more also matched by "
      "pool "
      "dispatch, allowed: each VM matched by one pool" },
    { [](Configuration& aConfig) {
       aConfig.m_pools["returns"].m_selector.m_anyOf = { { "worklaod", { "x" } } };
     },
      "/pools/returns/selector/worklaod: found a label key that no VM has, allowed: a label key of "
      "a "
      "VM; did you mean \"workload\"?" },
    { [](Configuration& aConfig) {
       Service(aConfig, "returns").m_selector.m_anyOf["disk"] = { "x" };
     },
      "/services/returns/selector/disk: " },
    { [](Configuration& aConfig) {
       aConfig.m_windows["nights-pl-a"].m_selector.m_anyOf["zome"] = { "x" };
     },
      "/maintenance_windows/nights-pl-a/selector/zome: " },
    { [](Configuration& aConfig) {
       Service(aConfig, "dispatch").m_budget = { 2, 2 };
     },
      "/services/dispatch/budget/failure_reserve: found 2 of max_unavailable 2, " },
    { [](Configuration& aConfig) {
       Service(aConfig, "dispatch").m_budget = { 8, 1 };
     },
      "/services/dispatch/budget/max_unavailable: found 8, allowed: fewer than the service's 8" },
    { [](Configuration& aConfig) {
       Service(aConfig, "returns").m_selector.m_anyOf["rack"] = { "none" };
     },
      "/services/returns/selector: found no VM, " },
    { [](Configuration& aConfig) { Service(aConfig, "returns").m_queues[1].m_name = "record"; },
      "/services/returns/queues/1/name: found \"record\", allowed: each queue name once" },
    { [](Configuration& aConfig) {
       Service(aConfig, "returns").m_queues[1].m_methods = { "POST" };
     },
      "/services/returns/queues/1/path_prefix: " },
    { [](Configuration& aConfig) { Service(aConfig, "returns").m_queues.clear(); },
      "/services/returns/queues: found no queue, " },
    { [](Configuration& aConfig) { Service(aConfig, "returns").m_queues[0].m_floorShare = 0.9; },
      "/services/returns/queues: found floor_share adds up to 1.05, " },
    { [](Configuration& aConfig) { Service(aConfig, "returns").m_pathPrefix = "/bookings/"; },
      "/services/returns/path_prefix: found \"/bookings/\", allowed: a prefix that service "
      "bookings" },
    { [](Configuration& aConfig) { Service(aConfig, "returns").m_pool = "retruns"; },
      "/services/returns/pool: found \"retruns\", allowed: the name of a pool; did you mean "
      "\"returns\"?" },
    { [](Configuration& aConfig) { aConfig.m_sparePool = "none-such"; },
      "/spare_pool: found \"none-such\", allowed: the name of a pool" },
    { [](Configuration& aConfig) { aConfig.m_pools["returns"].m_minVms = 11; },
      "/pools/returns/min_vms: found 11, allowed: at most the 10 VMs of the pool" },
    { [](Configuration& aConfig) {
       Service(aConfig, "returns").m_pool = "dispatch";
       Service(aConfig, "returns").m_port = Service(aConfig, "dispatch").m_port;
     },
      "/services/returns/port: found 8104, " },
  };
}

} // namespace

TEST_CASE("CheckConfiguration accepts the example configurations without warnings")
{
  for (const std::string name : { "wroblewski", "cascadia" }) {
    const ConfigurationCheckResult check =
      CheckConfiguration(test::ExampleConfiguration(name), test::ExampleVms(name));
    CHECK(TextOf(check.m_errors).empty());
    CHECK(TextOf(check.m_warnings).empty());
  }
}

TEST_CASE("CheckConfiguration reports each fault with the pointer of its field")
{
  const Configuration validConfig = test::ExampleConfiguration("wroblewski");
  const std::vector<VmListing> vms = test::ExampleVms("wroblewski");
  for (const CheckCase& checkCase : ErrorCases()) {
    CAPTURE(checkCase.m_expectedPrefix);
    Configuration config = validConfig;
    checkCase.m_edit(config);
    const std::string text = "\n" + TextOf(CheckConfiguration(config, vms).m_errors);
    CAPTURE(text);
    CHECK(text.find("\n" + checkCase.m_expectedPrefix) != std::string::npos);
  }
}

TEST_CASE("CheckConfiguration warns of labelled VMs that are in no pool or not in the VM list")
{
  Configuration config = test::ExampleConfiguration("wroblewski");
  config.m_vmLabels["pl-a-t01"] = { { "workload", "none" } };
  config.m_vmLabels["pl-a-t99"] = { { "workload", "bookings" } };
  const ConfigurationCheckResult check = CheckConfiguration(config, test::ExampleVms("wroblewski"));
  CHECK(check.m_errors.empty());
  REQUIRE(check.m_warnings.size() == 2);
  CHECK(check.m_warnings[0].m_pointer == "/vm_labels/pl-a-t01");
  CHECK(check.m_warnings[1].m_pointer == "/vm_labels/pl-a-t99");
  CHECK(check.m_warnings[1].m_allowed.find("did you mean") != std::string::npos);
}

TEST_CASE("CheckConfiguration skips the checks that need a VM list when it is empty")
{
  Configuration config = test::ExampleConfiguration("cascadia");
  const ConfigurationCheckResult check = CheckConfiguration(config, {});
  CHECK(check.m_errors.empty());
  CHECK(check.m_warnings.size() == 1);
  config.m_services["portal"].m_budget = { 1, 1 };
  CHECK(CheckConfiguration(config, {}).m_errors.size() == 1);
}
