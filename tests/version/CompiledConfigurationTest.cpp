#include "mustardtray/version/CompiledConfiguration.h"

#include <doctest/doctest.h>

#include "mustardtray/version/ConfigurationChange.h"
#include "tests/support/ExampleFiles.h"

using namespace mustardtray;

namespace {

std::string RouteText(const CompiledConfiguration& aCompiled,
                      std::string_view aMethod,
                      std::string_view aPath)
{
  const RequestRoute route = aCompiled.FindRoute(aMethod, aPath);
  if (!route.m_service) {
    return "none";
  }
  return route.m_service->m_name + ":" + (route.m_queue ? route.m_queue->m_name : "none");
}

} // namespace

TEST_CASE("CompiledConfiguration resolves pools and minions by zone")
{
  const CompiledConfigurationPointer compiled = CompiledConfiguration::Compile(
    test::ExampleConfiguration("wroblewski"), test::ExampleVms("wroblewski"));
  CHECK(compiled->VmsOf("bookings").size() == 12);
  CHECK(compiled->PoolOf("pl-a-t01") == "bookings");
  CHECK(compiled->PoolOf("pl-a-e1").empty());
  CHECK(compiled->MinionCount("dispatch") == 8);
  CHECK(compiled->MinionsOf("dispatch").size() == 4);
  CHECK(compiled->MinionsOf("none").empty());
  const Minion& minion = compiled->MinionsOf("bookings").at("pl-a").front();
  CHECK(minion == Minion{ "pl-a-t01", "127.0.1.1", 8101, "pl-a", "pl-a-r1" });
  CHECK(compiled->ServicesOn("pl-a-t01") == std::vector<std::string>{ "bookings" });
}

TEST_CASE("CompiledConfiguration prefers the pool in a VM's row to the pool of its labels")
{
  const CompiledConfigurationPointer compiled =
    CompiledConfiguration::Compile(test::ExampleConfiguration("wroblewski"),
                                   test::ExampleVms("wroblewski"),
                                   { { "pl-a-t01", "back-office" } });
  CHECK(compiled->PoolOf("pl-a-t01") == "back-office");
  CHECK(compiled->DesiredPoolOf("pl-a-t01") == "bookings");
  CHECK(compiled->MinionCount("bookings") == 11);
  CHECK(compiled->MinionCount("back-office") == 11);
}

TEST_CASE("FindRoute selects the longest path prefix and the first matching queue")
{
  Configuration config = test::ExampleConfiguration("wroblewski");
  config.m_services["deep"] = config.m_services["returns"];
  config.m_services["deep"].m_name = "deep";
  config.m_services["deep"].m_pathPrefix = "/returns/deep/";
  const CompiledConfigurationPointer compiled = CompiledConfiguration::Compile(config, {});
  CHECK(RouteText(*compiled, "POST", "/bookings/confirm") == "bookings:confirm");
  CHECK(RouteText(*compiled, "POST", "/bookings/confirm/7") == "bookings:confirm");
  CHECK(RouteText(*compiled, "POST", "/bookings/confirmed") == "bookings:change");
  CHECK(RouteText(*compiled, "GET", "/bookings") == "bookings:availability");
  CHECK(RouteText(*compiled, "GET", "/bookingsx") == "none");
  CHECK(RouteText(*compiled, "GET", "/returns/deep/x") == "deep:lookup");
  CHECK(RouteText(*compiled, "GET", "/returns/deeper") == "returns:lookup");
  CHECK(RouteText(*compiled, "PUT", "/returns/x") == "returns:none");
  CHECK(RouteText(*compiled, "GET", "") == "none");
}

TEST_CASE("ComputeEffect reports VM moves, drains and affected budgets")
{
  const Configuration before = test::ExampleConfiguration("wroblewski");
  Configuration after = before;
  after.m_vmLabels["pl-a-t02"]["workload"] = "bookings";
  after.m_services["dispatch"].m_budget.m_maxUnavailable = 3;
  after.m_version = 9;
  const ConfigurationEffect effect = ComputeEffect(before, after, test::ExampleVms("wroblewski"));
  REQUIRE(effect.m_changes.size() == 2);
  CHECK(effect.m_changes[0] == FieldChange{ "/services/dispatch/budget/max_unavailable", 2, 3 });
  CHECK(effect.m_changes[1] ==
        FieldChange{ "/vm_labels/pl-a-t02/workload", "back-office", "bookings" });
  REQUIRE(effect.m_moves.size() == 1);
  CHECK(effect.m_moves[0].m_from == "back-office");
  CHECK(effect.m_moves[0].m_to == "bookings");
  CHECK(effect.m_drains == std::vector<std::string>{ "pl-a-t02" });
  REQUIRE(effect.m_budgets.size() == 3);
  CHECK(effect.m_budgets[0].m_service == "back-office");
  CHECK(effect.m_budgets[0].m_drains == 1);
  CHECK(effect.m_budgets[0].m_maxConcurrentDrains == 3);
  CHECK(effect.m_budgets[1].m_minionsAfter == 13);
  CHECK(effect.m_budgets[2].m_drains == 0);
  CHECK(ComputeEffect(before, before, test::ExampleVms("wroblewski")).m_changes.empty());
}
