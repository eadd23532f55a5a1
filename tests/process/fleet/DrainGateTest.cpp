#include "mustardtray/process/fleet/DrainGate.h"

#include <doctest/doctest.h>

using namespace mustardtray;

namespace {

constexpr TimePoint kStart{ Micros(1) };
constexpr TimePoint kAfterLag{ std::chrono::seconds(300) };

/// A VM in phase draining and two entry VMs of its zone. The evaluating node is "e1".
struct DrainFixture
{
  FleetView m_view;
  VmInventory m_inventory{ Millis(60'000) };
  GoneNodeDetector m_watch{ "e1" };
  VmRecord m_vm;

  DrainFixture()
  {
    m_vm.m_name = "a";
    m_vm.m_zone = "z";
    m_vm.m_phase = VmPhase::Draining;
    m_vm.m_generation = 5;
    Report("e1", 5, 0);
    List(VmState::Live, kStart);
  }

  void Report(const std::string& aEntryVm,
              std::uint64_t aGeneration,
              int aInFlight,
              VmHealth aHealth = VmHealth::Unknown)
  {
    EntryReport report{ aEntryVm, aEntryVm, "z", 1, {} };
    report.m_targets["a"] = TargetReport{ aGeneration, aInFlight, aHealth };
    m_view.m_reports[aEntryVm] = Versioned<EntryReport>{ 1, report };
    m_watch.OnIncarnationSeen({ aEntryVm, 1 }, kStart);
  }

  void List(VmState aStateOfE2, TimePoint aNow)
  {
    std::vector<VmListing> list(2);
    list[0].m_name = "e1";
    list[1].m_name = "e2";
    list[1].m_state = aStateOfE2;
    for (VmListing& line : list) {
      line.m_zone = "z";
      line.m_role = VmRole::Entry;
    }
    m_inventory.Update(list, aNow);
    m_watch.OnVmList(list, aNow);
  }

  std::string StopBlocker(TimePoint aNow = kStart) const
  {
    return FindStopBlocker({ m_view, m_inventory, m_watch, aNow }, m_vm).value_or("");
  }
};

} // namespace

TEST_CASE("DrainGate waits for the acknowledgement of every entry VM of the zone")
{
  DrainFixture fixture;
  CHECK(fixture.StopBlocker().find("entry VM e2 has not acknowledged") != std::string::npos);
  fixture.Report("e2", 4, 0);
  CHECK(fixture.StopBlocker().find("entry VM e2 has not acknowledged") != std::string::npos);
  fixture.Report("e2", 5, 3);
  CHECK(fixture.StopBlocker() == "entry VM e2 has 3 requests in flight");
  fixture.Report("e2", 5, 0);
  CHECK(fixture.StopBlocker().empty());
}

TEST_CASE("DrainGate ignores an entry VM only when it is confirmed as gone")
{
  DrainFixture fixture;
  fixture.Report("e2", 4, 1);
  fixture.List(VmState::Leaving, kAfterLag);
  CHECK_FALSE(fixture.StopBlocker(kAfterLag).empty());
  fixture.List(VmState::Gone, kStart);
  // Right after the start, the line may refer to an earlier VM of that name.
  CHECK_FALSE(fixture.StopBlocker(kStart).empty());
  fixture.List(VmState::Gone, kAfterLag);
  CHECK(fixture.StopBlocker(kAfterLag).empty());
  fixture.m_watch.OnAlive({ "e2", 1 }, kAfterLag);
  CHECK_FALSE(fixture.StopBlocker(kAfterLag).empty());
}

TEST_CASE("DrainGate ignores an entry VM whose address a newer incarnation uses")
{
  DrainFixture fixture;
  fixture.Report("e2", 4, 1);
  fixture.List(VmState::Live, kStart);
  EntryReport successor{ "e3", "e2", "z", 2, {} };
  successor.m_targets["a"] = TargetReport{ 5, 0, VmHealth::Unknown };
  fixture.m_view.m_reports["e3"] = Versioned<EntryReport>{ 1, successor };
  CHECK(fixture.StopBlocker().empty());
}

TEST_CASE("DrainGate evaluates health from the reports of the zone's entry VMs")
{
  DrainFixture fixture;
  const auto judge = [&fixture] {
    return EvaluateHealth({ fixture.m_view, fixture.m_inventory, fixture.m_watch, kStart },
                          fixture.m_vm);
  };
  CHECK(judge() == VmHealth::Unknown);
  fixture.Report("e2", 4, 0, VmHealth::Healthy); // This report is on an earlier generation.
  CHECK(judge() == VmHealth::Unknown);
  fixture.Report("e2", 5, 0, VmHealth::Healthy);
  CHECK(judge() == VmHealth::Healthy);
  fixture.m_vm.m_phase = VmPhase::Active;
  fixture.Report("e2", 5, 0, VmHealth::Unreachable);
  CHECK(judge() == VmHealth::Unreachable);
}
