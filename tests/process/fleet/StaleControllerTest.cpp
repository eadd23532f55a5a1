#include "mustardtray/process/fleet/FleetController.h"

#include <doctest/doctest.h>

#include "bench/FleetRun.h"
#include "tests/support/FakePlatform.h"

using namespace mustardtray;

namespace {

using FakeController = FleetController<FakePlatform>;

void TickFor(FakeController& aController, int aRounds, int& aSecond)
{
  for (int i = 0; i < aRounds; ++i) {
    ++aSecond;
    aController.Tick(TimePoint(std::chrono::seconds(aSecond)), WallTime{});
  }
}

} // namespace

TEST_CASE("FleetController exceeds no budget when it reads stale rows")
{
  const auto configuration = std::make_shared<Configuration>(
    BuildConfiguration({ "test", { 1 }, { 3, 1 }, { 1, 0 }, 0, 0 }));
  FakePlatformState state;
  for (const auto& [name, labels] : configuration->m_vmLabels) {
    VmListing listing;
    listing.m_name = name;
    listing.m_address = "10.0.0.1";
    listing.m_zone = "zone-1";
    state.m_vms.push_back(listing);
  }
  FakePlatform fresh(state);
  FakePlatform stale(state);
  FakeController first(fresh, "entry-1", {});
  FakeController second(stale, "entry-2", {});
  first.SetConfiguration(configuration);
  second.SetConfiguration(configuration);
  int now = 0;
  TickFor(first, 5, now);
  TickFor(second, 2, now);
  stale.SetStaleReads(true);
  std::optional<Result<std::string>> drained;
  fresh.m_responsesToLose = 1;
  first.Drain("one-01", "d1", [&drained](Result<std::string> aResult) { drained = aResult; });
  TickFor(first, 3, now);
  REQUIRE(drained);
  CHECK(drained->has_value());
  std::optional<Result<std::string>> refused;
  const auto answer = [&refused](Result<std::string> aResult) { refused = aResult; };
  second.Drain("one-02", "d2", answer);
  TickFor(second, 25, now);
  REQUIRE(refused);
  CHECK(refused->error().m_kind == ErrorKind::Unknown);
  stale.SetStaleReads(false);
  second.Drain("one-02", "d2", answer);
  TickFor(second, 2, now);
  CHECK(refused->error().m_kind == ErrorKind::Refused);
  TickFor(first, 1, now);
  CHECK(first.View().Vm("one-01")->IsOut());
  CHECK_FALSE(first.View().Vm("one-02")->IsOut());
}
