#include "mustardtray/process/fleet/VmLifeCycle.h"

#include <doctest/doctest.h>

using namespace mustardtray;

namespace {

VmRecord ActiveVm()
{
  VmRecord vm;
  vm.m_name = "a";
  vm.m_address = "10.0.0.1";
  vm.m_zone = "z";
  vm.m_pool = "p";
  vm.m_generation = 1;
  return vm;
}

VmEvent MakeEvent(const VmRecord& aVm, VmEventKind aKind)
{
  VmEvent event;
  event.m_kind = aKind;
  event.m_operationId = aVm.m_operationId.empty() ? "op" : aVm.m_operationId;
  event.m_generation = aVm.m_generation;
  event.m_operation = VmOperation::Maintain;
  return event;
}

VmRecord ApplyEvent(const VmRecord& aVm, VmEventKind aKind)
{
  auto next = ApplyVmEvent(aVm, MakeEvent(aVm, aKind));
  REQUIRE(next);
  return next.value();
}

VmRecord VmInPhase(VmOperation aOperation, VmPhase aPhase)
{
  VmEvent begin = MakeEvent(ActiveVm(), VmEventKind::Begin);
  begin.m_operation = aOperation;
  begin.m_targetPool = aOperation == VmOperation::Move ? "q" : "";
  VmRecord vm = ApplyVmEvent(ActiveVm(), begin).value();
  const std::array steps{ VmEventKind::DrainComplete,
                          VmEventKind::StopDone,
                          VmEventKind::RebootDone };
  for (std::size_t i = 0; i < steps.size() && vm.m_phase != aPhase; ++i) {
    vm = ApplyEvent(vm, steps.at(i));
  }
  return vm;
}

} // namespace

TEST_CASE("VmLifeCycle accepts exactly the events that are allowed in each phase")
{
  using enum VmEventKind;
  using enum VmPhase;
  const std::map<VmPhase, std::set<VmEventKind>> legal{
    { Draining, { DrainComplete, Cancel } },
    { Drained, { StopDone, ActionFailed } },
    { Rebooting, { RebootDone, ActionFailed } },
    { Verifying, { Verified, VerifyFailed } },
  };
  for (const auto& [phase, allowed] : legal) {
    const VmRecord vm = VmInPhase(VmOperation::Maintain, phase);
    REQUIRE(vm.m_phase == phase);
    for (const auto& [kind, name] : EnumNames<VmEventKind>::kTable) {
      if (kind == Begin || kind == Crashed || kind == Recovered) {
        continue;
      }
      const std::string step = std::string(name) + " in " + std::string(ToName(phase));
      CAPTURE(step);
      const auto next = ApplyVmEvent(vm, MakeEvent(vm, kind));
      CHECK(next.has_value() == allowed.contains(kind));
      if (next) {
        CHECK(next.value().m_generation == vm.m_generation + 1);
      }
    }
  }
}

TEST_CASE("VmLifeCycle applies each event of an operation once")
{
  const VmRecord draining = VmInPhase(VmOperation::Maintain, VmPhase::Draining);
  const VmEvent complete = MakeEvent(draining, VmEventKind::DrainComplete);
  const VmRecord drained = ApplyVmEvent(draining, complete).value();
  CHECK(ApplyVmEvent(drained, complete).value() == drained);
  const VmRecord verifying = VmInPhase(VmOperation::Maintain, VmPhase::Verifying);
  const VmRecord active = ApplyEvent(verifying, VmEventKind::Verified);
  CHECK(active.m_lastOperationId == "op");
  CHECK(ApplyVmEvent(active, complete).value() == active);
  CHECK(ApplyVmEvent(active, MakeEvent(ActiveVm(), VmEventKind::Begin)).value() == active);
  VmEvent foreign = complete;
  foreign.m_operationId = "other";
  CHECK(ApplyVmEvent(draining, foreign).error().m_kind == ErrorKind::Conflict);
}

TEST_CASE("VmLifeCycle changes the pool of a moved VM when the stop is done")
{
  const VmRecord drained = VmInPhase(VmOperation::Move, VmPhase::Drained);
  CHECK(drained.m_pool == "p");
  const VmRecord moved = ApplyEvent(drained, VmEventKind::StopDone);
  CHECK(moved.m_pool == "q");
  CHECK(moved.m_phase == VmPhase::Verifying);
  CHECK(moved.m_targetPool.empty());
}

TEST_CASE("VmLifeCycle refuses to stop a held VM and releases it from drained")
{
  const VmRecord held = VmInPhase(VmOperation::Hold, VmPhase::Drained);
  CHECK_FALSE(ApplyVmEvent(held, MakeEvent(held, VmEventKind::StopDone)));
  CHECK(ApplyEvent(held, VmEventKind::Release).m_phase == VmPhase::Active);
}

TEST_CASE("VmLifeCycle records a crash in any phase without a change of phase")
{
  for (const auto phase :
       { VmPhase::Draining, VmPhase::Drained, VmPhase::Rebooting, VmPhase::Verifying }) {
    const VmRecord vm = VmInPhase(VmOperation::Maintain, phase);
    const VmRecord crashed = ApplyEvent(vm, VmEventKind::Crashed);
    CHECK(crashed.m_isDown);
    CHECK(crashed.m_phase == phase);
    CHECK(crashed.m_generation == vm.m_generation);
  }
}

TEST_CASE("VmRecord is unchanged after conversion to JSON and back")
{
  VmRecord vm = VmInPhase(VmOperation::Move, VmPhase::Draining);
  vm.m_services = { "s" };
  vm.m_waveNumber = 3;
  vm.m_configVersion = 5;
  CHECK(ParseVmRecord(ToJson(vm)).value() == vm);
}
