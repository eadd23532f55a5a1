#include "mustardtray/process/fleet/BudgetLedger.h"

#include <algorithm>

#include <doctest/doctest.h>

#include "bench/FleetRun.h"
#include "standin/PlatformTable.h"

using namespace mustardtray;

namespace {

/// A table with the VMs of one service. Each controller reads and writes it separately.
struct LedgerFixture
{
  Configuration m_configuration;
  FleetPolicy m_policy;
  PlatformTable m_table;

  explicit LedgerFixture(int aVms = 4, AvailabilityBudget aBudget = { 1, 0 })
  {
    m_configuration = BuildConfiguration({ "test", { 1 }, { aVms, 1 }, aBudget, 0, 2 });
    for (int i = 0; i < aVms; ++i) {
      VmRecord vm;
      vm.m_name = MinionVm(0, i);
      vm.m_address = "10.0.0.1";
      vm.m_zone = "zone-1";
      vm.m_pool = ServiceName(0);
      vm.m_homePool = vm.m_pool;
      Transaction transaction;
      AddCheckedWrite(transaction, kVmRowPrefix, vm.m_name, 0, vm);
      m_table.Transact(transaction);
    }
  }

  FleetView Read() const
  {
    FleetView view;
    for (const auto& prefix : kScanOrder) {
      view.Apply(m_table.Scan(prefix, 0));
    }
    return view;
  }

  Result<Transaction> Plan(const FleetView& aView,
                           const std::string& aVm,
                           const VmEvent& aEvent) const
  {
    const FleetIndex index = BuildFleetIndex(aView, m_configuration);
    return PlanVmEvent({ aView, index, m_configuration, m_policy }, aVm, aEvent);
  }

  static VmEvent Begin(const std::string& aId, VmOperation aOperation = VmOperation::Maintain)
  {
    VmEvent event;
    event.m_operation = aOperation;
    event.m_operationId = aId;
    event.m_targetPool = aOperation == VmOperation::Move ? ServiceName(1) : "";
    return event;
  }

  bool Apply(const std::string& aVm, VmEventKind aKind)
  {
    const FleetView view = Read();
    VmEvent event;
    event.m_kind = aKind;
    event.m_operationId = view.Vm(aVm)->m_operationId;
    event.m_generation = view.Vm(aVm)->m_generation;
    const auto plan = Plan(view, aVm, event);
    return plan && m_table.Transact(plan.value()).m_isCommitted;
  }

  bool TakeOut(const std::string& aVm, VmOperation aOperation = VmOperation::Maintain)
  {
    const auto plan = Plan(Read(), aVm, Begin("op-" + aVm, aOperation));
    return plan && m_table.Transact(plan.value()).m_isCommitted;
  }

  int CountOut() const
  {
    const FleetView view = Read();
    return static_cast<int>(
      std::count_if(view.m_vms.begin(), view.m_vms.end(), [](const auto& aVm) {
        return aVm.second.m_value.IsOut() || aVm.second.m_value.m_isDown;
      }));
  }
};

/// Runs one interleaving and returns the largest number of unavailable VMs. Each entry of aOrder
/// lets that controller take its next step: it reads, or writes based on what it read. Each
/// controller tries to take a different VM out of service.
int MaxUnavailable(LedgerFixture& aFixture, const std::vector<int>& aOrder)
{
  std::map<int, FleetView> views;
  int highest = 0;
  for (const int controller : aOrder) {
    const auto view = views.find(controller);
    if (view == views.end()) {
      views[controller] = aFixture.Read();
      continue;
    }
    const std::string vm = MinionVm(0, controller);
    const auto plan = aFixture.Plan(view->second, vm, LedgerFixture::Begin("op-" + vm));
    if (plan) {
      aFixture.m_table.Transact(plan.value());
    }
    views.erase(controller);
    highest = std::max(highest, aFixture.CountOut());
  }
  return highest;
}

/// Returns the maximum over all interleavings of controllers that each try aRounds times.
int MaxUnavailableOverInterleavings(const FleetPolicy& aPolicy, int aControllers, int aRounds)
{
  std::vector<int> order;
  for (int controller = 0; controller < aControllers; ++controller) {
    order.insert(order.end(), static_cast<std::size_t>(aRounds) * 2, controller);
  }
  int highest = 0;
  do {
    LedgerFixture fixture(4);
    fixture.m_policy = aPolicy;
    highest = std::max(highest, MaxUnavailable(fixture, order));
  } while (std::next_permutation(order.begin(), order.end()));
  return highest;
}

} // namespace

TEST_CASE("BudgetLedger keeps the budget in every interleaving of concurrent controllers")
{
  CHECK(MaxUnavailableOverInterleavings({}, 3, 1) == 1);
  CHECK(MaxUnavailableOverInterleavings({}, 2, 2) == 1);
  FleetPolicy unchecked;
  unchecked.m_rules.m_checkLedgerVersions = false;
  CHECK(MaxUnavailableOverInterleavings(unchecked, 3, 1) == 3);
}

TEST_CASE("BudgetLedger counts VMs that are down unplanned against the budget")
{
  for (const bool isCounted : { true, false }) {
    LedgerFixture fixture;
    fixture.m_policy.m_rules.m_countUnplannedOutages = isCounted;
    REQUIRE(fixture.Apply(MinionVm(0, 0), VmEventKind::Crashed));
    CHECK(fixture.TakeOut(MinionVm(0, 1)) == !isCounted);
  }
}

TEST_CASE("BudgetLedger allows a planned stop of a VM that is down, and counts the VM once")
{
  LedgerFixture fixture;
  REQUIRE(fixture.Apply(MinionVm(0, 0), VmEventKind::Crashed));
  CHECK(fixture.TakeOut(MinionVm(0, 0)));
  CHECK(fixture.Read().Ledger(ServiceName(0)).m_value.CountUnavailable() == 1);
  CHECK_FALSE(fixture.TakeOut(MinionVm(0, 1)));
}

TEST_CASE("BudgetLedger keeps the failure reserve and the budget")
{
  LedgerFixture fixture(4, { 2, 1 });
  CHECK(fixture.TakeOut(MinionVm(0, 0)));
  CHECK_FALSE(fixture.TakeOut(MinionVm(0, 1)));
  fixture.m_policy.m_rules.m_keepFailureReserve = false;
  CHECK(fixture.TakeOut(MinionVm(0, 1)));
  CHECK_FALSE(fixture.TakeOut(MinionVm(0, 2)));
  fixture.m_policy.m_rules.m_enforceBudget = false;
  CHECK(fixture.TakeOut(MinionVm(0, 2)));
}

TEST_CASE("BudgetLedger keeps one minion of a service available in its zone")
{
  LedgerFixture fixture(2, { 2, 0 });
  CHECK(fixture.TakeOut(MinionVm(0, 0)));
  CHECK_FALSE(fixture.TakeOut(MinionVm(0, 1)));
  fixture.m_policy.m_rules.m_keepMinionPerZone = false;
  CHECK(fixture.TakeOut(MinionVm(0, 1)));
}

TEST_CASE("BudgetLedger refuses planned stops under an older configuration")
{
  LedgerFixture fixture(4, { 2, 0 });
  fixture.m_configuration.m_version = 8;
  CHECK(fixture.TakeOut(MinionVm(0, 0)));
  fixture.m_configuration.m_version = 7;
  CHECK_FALSE(fixture.TakeOut(MinionVm(0, 1)));
  fixture.m_policy.m_rules.m_refuseOlderConfig = false;
  CHECK(fixture.TakeOut(MinionVm(0, 1)));
}

TEST_CASE("BudgetLedger removes its entry on every path back to active")
{
  using enum VmEventKind;
  const std::vector<std::vector<VmEventKind>> paths{
    { Cancel },
    { DrainComplete, StopDone, RebootDone, Verified },
    { Crashed,
      DrainComplete,
      StopDone,
      ActionFailed,
      RebootDone,
      VerifyFailed,
      RebootDone,
      Verified },
  };
  for (const auto& path : paths) {
    LedgerFixture fixture;
    REQUIRE(fixture.TakeOut(MinionVm(0, 0)));
    for (const VmEventKind kind : path) {
      CHECK_FALSE(fixture.TakeOut(MinionVm(0, 1)));
      REQUIRE(fixture.Apply(MinionVm(0, 0), kind));
    }
    CHECK(fixture.Read().Ledger(ServiceName(0)).m_value.CountUnavailable() == 0);
    CHECK(fixture.TakeOut(MinionVm(0, 1)));
  }
}

TEST_CASE("BudgetLedger keeps a pool's minimum under concurrent moves")
{
  for (const bool isKept : { true, false }) {
    LedgerFixture fixture(4, { 4, 0 });
    fixture.m_policy.m_rules.m_keepPoolMinimum = isKept;
    REQUIRE(fixture.TakeOut(MinionVm(0, 0), VmOperation::Move));
    const FleetView stale = fixture.Read();
    CHECK(fixture.TakeOut(MinionVm(0, 1), VmOperation::Move));
    const auto late =
      fixture.Plan(stale, MinionVm(0, 2), LedgerFixture::Begin("late", VmOperation::Move));
    REQUIRE(late);
    CHECK_FALSE(fixture.m_table.Transact(late.value()).m_isCommitted);
    CHECK(fixture.TakeOut(MinionVm(0, 2), VmOperation::Move) == !isKept);
  }
}

TEST_CASE("BudgetLedger repairs a ledger that differs from the VM rows")
{
  LedgerFixture fixture;
  REQUIRE(fixture.TakeOut(MinionVm(0, 0)));
  LedgerRecord wrong;
  wrong.m_down.insert("unknown");
  Transaction corruption;
  corruption.m_writes.push_back(
    RowWrite{ std::string(kLedgerRowPrefix) + ServiceName(0), ToJson(wrong) });
  fixture.m_table.Transact(corruption);
  const FleetView view = fixture.Read();
  const FleetIndex index = BuildFleetIndex(view, fixture.m_configuration);
  const auto repair =
    PlanLedgerRepair({ view, index, fixture.m_configuration, fixture.m_policy }, ServiceName(0));
  REQUIRE(repair);
  CHECK(fixture.m_table.Transact(*repair).m_isCommitted);
  const LedgerRecord ledger = fixture.Read().Ledger(ServiceName(0)).m_value;
  CHECK(ledger.m_down.empty());
  CHECK(ledger.m_planned.contains(MinionVm(0, 0)));
}
