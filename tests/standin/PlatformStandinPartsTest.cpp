#include <doctest/doctest.h>

#include "standin/PlatformFaults.h"
#include "standin/TaskTable.h"
#include "standin/VmFleet.h"

using namespace mustardtray;

namespace {

constexpr TimePoint kStart{ Micros(1'000'000'000) };

StandinVm MakeVm(const std::string& aName)
{
  StandinVm vm;
  vm.m_listing.m_name = aName;
  return vm;
}

} // namespace

TEST_CASE("ParseFaults replaces only the given members and reports every error")
{
  PlatformFaults current;
  current.m_callDelay = Millis(5);
  const auto faults = ParseFaults(R"({"down":"close","cut_addresses":["127.0.0.2"]})", current);
  REQUIRE(faults);
  CHECK(faults.value().m_callDelay == Millis(5));
  CHECK(faults.value().m_outage == Outage::Close);
  CHECK(faults.value().m_blockedAddresses.contains("127.0.0.2"));
  const auto wrong = ParseFaults(R"({"down":"odd","slo_ms":1})", current);
  CHECK(wrong.error().m_message.find("/down") != std::string::npos);
  CHECK(wrong.error().m_message.find("did you mean \"slow_ms\"") != std::string::npos);
}

TEST_CASE("ResponseLoss loses a fixed number of responses, or equal ones for equal seeds")
{
  ResponseLoss loss;
  PlatformFaults faults;
  faults.m_responsesToLose = 2;
  loss.Configure(faults);
  CHECK(loss.ShouldLoseNext());
  CHECK(loss.ShouldLoseNext());
  CHECK(!loss.ShouldLoseNext());
  faults.m_responsesToLose = 0;
  faults.m_responseLossProbability = 0.5;
  faults.m_seed = 7;
  ResponseLoss other;
  loss.Configure(faults);
  other.Configure(faults);
  int lost = 0;
  for (int i = 0; i < 100; ++i) {
    const bool loses = loss.ShouldLoseNext();
    CHECK(loses == other.ShouldLoseNext());
    lost += loses ? 1 : 0;
  }
  CHECK(lost > 0);
  CHECK(lost < 100);
}

TEST_CASE("LaggingRevision makes commits visible after the lag")
{
  LaggingRevision lag;
  CHECK(lag.VisibleRevisionAt(kStart) == PlatformTable::kLatest);
  lag.SetLag(Millis(100), 5);
  lag.OnCommit(kStart, 6);
  lag.OnCommit(kStart + Millis(50), 7);
  CHECK(lag.VisibleRevisionAt(kStart + Millis(99)) == 5);
  CHECK(lag.VisibleRevisionAt(kStart + Millis(100)) == 6);
  CHECK(lag.VisibleRevisionAt(kStart + Millis(150)) == 7);
  lag.SetLag(Millis(0), 7);
  CHECK(lag.VisibleRevisionAt(kStart) == PlatformTable::kLatest);
}

TEST_CASE("VmFleet lists VM states with a lag")
{
  VmFleet fleet({ MakeVm("a"), MakeVm("a") });
  fleet.SetState("a", VmState::Gone, kStart);
  fleet.Add(MakeVm("b"), kStart);
  CHECK(fleet.List(kStart + Millis(5), Millis(10)).size() == 2);
  CHECK(fleet.List(kStart + Millis(5), Millis(10))[0].m_state == VmState::Live);
  const auto now = fleet.List(kStart + Millis(10), Millis(10));
  REQUIRE(now.size() == 3);
  CHECK(now[0].m_state == VmState::Gone);
  CHECK(now[1].m_state == VmState::Live);
  CHECK(fleet.StateOf("a") == VmState::Gone);
}

TEST_CASE("VmFleet refuses overlapping actions and fails actions on VMs that are gone")
{
  VmFleet fleet({ MakeVm("a") });
  const VmActionRequest reboot{ "a", VmAction::Reboot, "op1", "" };
  CHECK(fleet.BeginAction(reboot).value().m_isNew);
  CHECK(!fleet.BeginAction(reboot).value().m_isNew);
  const auto second = fleet.BeginAction({ "a", VmAction::Stop, "op2", "" });
  CHECK(second.error().m_kind == ErrorKind::Conflict);
  fleet.SetState("a", VmState::Gone, kStart);
  fleet.EndAction("op1", ActionState::Done);
  CHECK(fleet.BeginAction(reboot).value().m_state == ActionState::Failed);
  CHECK(fleet.Counts().m_rebootsOfRunning == 1);
  CHECK(fleet.Counts().m_overlappingActions == 1);
  CHECK(fleet.Counts().m_failedActions == 1);
}

TEST_CASE("TaskTable ends tasks when their lease expires and reports usage with a lag")
{
  TaskTable tasks;
  TaskStart start;
  start.m_taskId = "t";
  start.m_worker = "a";
  start.m_lease = Millis(100);
  start.m_runTime = Millis(500);
  CHECK(tasks.Start(start, false, kStart).value().m_state == TaskState::Running);
  CHECK(tasks.RunningOn("a", kStart + Millis(5), Millis(10)).empty());
  CHECK(tasks.RunningOn("a", kStart + Millis(10), Millis(10)).size() == 1);
  start.m_worker = "b";
  CHECK(tasks.Start(start, false, kStart + Millis(99)).error().m_kind == ErrorKind::Conflict);
  CHECK(tasks.Renew("t", Millis(100), kStart + Millis(99)));
  CHECK(tasks.List(kStart + Millis(198))[0].m_state == TaskState::Running);
  CHECK(tasks.List(kStart + Millis(199))[0].m_state == TaskState::LeaseExpired);
  CHECK(tasks.RunningOn("a", kStart + Millis(205), Millis(10)).size() == 1);
  CHECK(tasks.RunningOn("a", kStart + Millis(215), Millis(10)).empty());
  CHECK(tasks.Renew("t", Millis(100), kStart + Millis(220)).error().m_kind == ErrorKind::Conflict);
  CHECK(tasks.Start(start, false, kStart + Millis(230)).value().m_state == TaskState::Running);
  CHECK(tasks.Renew("t", Millis(900), kStart + Millis(300)));
  CHECK(tasks.List(kStart + Millis(730))[0].m_state == TaskState::Finished);
  CHECK(tasks.ConflictingStarts() == 1);
}
