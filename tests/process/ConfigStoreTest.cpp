#include "mustardtray/process/ConfigStore.h"

#include <deque>
#include <random>

#include <doctest/doctest.h>

#include "tests/support/ExampleFiles.h"
#include "tests/support/FakePlatform.h"

using namespace mustardtray;

namespace {

/// Virtual time for the stores of one test; waits end at once, in turn.
class TestClock
{
public:
  ConfigStoreClock Clock()
  {
    return { [this] { return m_now; },
             [] { return WallTime(); },
             [this](Millis aDelay, std::function<void()> aCallback) {
               m_waiting.emplace_back(aDelay, std::move(aCallback));
             } };
  }

  bool RunOne()
  {
    if (m_waiting.empty()) {
      return false;
    }
    auto [delay, callback] = std::move(m_waiting.front());
    m_waiting.pop_front();
    m_now += delay;
    callback();
    return true;
  }

private:
  TimePoint m_now{ Micros(1) };
  std::deque<std::pair<Millis, std::function<void()>>> m_waiting;
};

struct Fixture
{
  Fixture() { m_state.m_vms = test::ExampleVms("wroblewski"); }

  ApplyOutcome Run(ApplyRequest aRequest)
  {
    std::optional<ApplyOutcome> outcome;
    m_store.Apply(std::move(aRequest), [&outcome](ApplyOutcome aOutcome) { outcome = aOutcome; });
    while (!outcome) {
      REQUIRE(m_clock.RunOne());
    }
    return *outcome;
  }

  ApplyOutcome RunExample() { return RunFirst(test::ExampleConfiguration("wroblewski")); }

  /// The example with one service alone, for tests of many changes.
  ApplyOutcome RunSmall()
  {
    Configuration config = test::ExampleConfiguration("wroblewski");
    std::erase_if(config.m_services, [](const auto& aItem) { return aItem.first != "bookings"; });
    std::erase_if(config.m_pools, [](const auto& aItem) { return aItem.first != "bookings"; });
    std::erase_if(config.m_vmLabels,
                  [](const auto& aItem) { return aItem.second.at("workload") != "bookings"; });
    std::erase_if(m_state.m_vms, [&config](const VmListing& aVm) {
      return !config.m_vmLabels.contains(aVm.m_name);
    });
    config.m_sparePool.clear();
    return RunFirst(config);
  }

  ApplyOutcome RunFirst(const Configuration& aConfiguration)
  {
    ApplyRequest request;
    request.m_operationId = "first";
    request.m_document = ToJson(aConfiguration);
    return Run(std::move(request));
  }

  /// The configuration as the table holds it now.
  Json Document() const
  {
    const ScanPage page = m_state.m_table.Scan(kConfigPrefix, 0);
    ConfigReplica replica;
    REQUIRE(replica.Apply(DeltaOfScan(page, true, {}).value()) == ReplicaUpdate::Advanced);
    return replica.Document();
  }

  FakePlatformState m_state;
  FakePlatform m_platform{ m_state };
  TestClock m_clock;
  ConfigStore<FakePlatform> m_store{ m_platform, m_clock.Clock() };
};

ApplyRequest Change(const std::string& aId, std::string aPointer, Json aBefore, Json aAfter)
{
  ApplyRequest request;
  request.m_operationId = aId;
  request.m_changes = { { std::move(aPointer), std::move(aBefore), std::move(aAfter) } };
  return request;
}

const char* const kSlots = "/services/bookings/slots";

} // namespace

TEST_CASE("A configuration is accepted whole and found again in the table")
{
  Fixture fixture;
  const ApplyOutcome outcome = fixture.RunExample();
  CHECK(outcome.m_status == ApplyStatus::Accepted);
  CHECK(outcome.m_version == 1);
  CHECK(outcome.m_effect.m_moves.size() == 50);
  Configuration expected = test::ExampleConfiguration("wroblewski");
  expected.m_version = 1;
  CHECK(fixture.Document() == ToJson(expected));
}

TEST_CASE("A change to a field that another operator changed is a conflict that names it")
{
  Fixture fixture;
  fixture.RunExample();
  CHECK(fixture.Run(Change("a", kSlots, 8, 16)).m_status == ApplyStatus::Accepted);
  const ApplyOutcome outcome = fixture.Run(Change("b", kSlots, 8, 4));
  CHECK(outcome.m_status == ApplyStatus::Conflict);
  REQUIRE(outcome.m_conflicts.size() == 1);
  CHECK(outcome.m_conflicts[0].m_pointer == kSlots);
  CHECK(outcome.m_conflicts[0].m_theirs == 16);
  CHECK(fixture.Document()["version"] == 2);
}

TEST_CASE("A document made from an older version keeps what others changed since")
{
  Fixture fixture;
  fixture.RunExample();
  fixture.Run(Change("a", "/vm_labels/pl-a-t01/disk", nullptr, "fast"));
  fixture.Run(Change("b", kSlots, 8, 16));
  Configuration mine = test::ExampleConfiguration("wroblewski");
  mine.m_version = 1;
  mine.m_services["bookings"].m_connections = 32;
  ApplyRequest request;
  request.m_operationId = "c";
  request.m_document = ToJson(mine);
  request.m_baseVersion = 1;
  CHECK(fixture.Run(request).m_status == ApplyStatus::Accepted);
  const Json document = fixture.Document();
  CHECK(document["vm_labels"]["pl-a-t01"]["disk"] == "fast");
  CHECK(document["services"]["bookings"]["slots"] == 16);
  CHECK(document["services"]["bookings"]["connections"] == 32);
}

TEST_CASE("A configuration that the check refuses is not accepted, nor is a dry run")
{
  Fixture fixture;
  fixture.RunExample();
  const ApplyOutcome refused = fixture.Run(Change("a", "/spare_pool", "back-office", "bokings"));
  CHECK(refused.m_status == ApplyStatus::Invalid);
  REQUIRE(refused.m_errors.size() == 1);
  CHECK(refused.m_errors[0].m_pointer == "/spare_pool");
  ApplyRequest dry = Change("b", kSlots, 8, 16);
  dry.m_dryRun = true;
  CHECK(fixture.Run(dry).m_status == ApplyStatus::Checked);
  CHECK(fixture.Document()["version"] == 1);
}

TEST_CASE("A lost answer is resolved by the operation id, whether the write took effect or not")
{
  Fixture fixture;
  fixture.RunExample();
  fixture.m_platform.m_responsesToLose = 1;
  const ApplyOutcome landed = fixture.Run(Change("a", kSlots, 8, 16));
  CHECK(landed.m_status == ApplyStatus::Accepted);
  CHECK(landed.m_version == 2);
  fixture.m_platform.m_requestsToLose = 2;
  const ApplyOutcome repeated = fixture.Run(Change("b", kSlots, 16, 4));
  CHECK(repeated.m_status == ApplyStatus::Accepted);
  CHECK(fixture.Document()["version"] == 3);
  // Asked again under the same id, also after others changed the field back.
  fixture.Run(Change("c", kSlots, 4, 8));
  const ApplyOutcome again = fixture.Run(Change("a", kSlots, 8, 16));
  CHECK(again.m_status == ApplyStatus::Accepted);
  CHECK(again.m_version == 2);
  CHECK(fixture.Document()["services"]["bookings"]["slots"] == 8);
}

TEST_CASE("While the platform is down a change is not accepted, and unknown once it was sent")
{
  Fixture fixture;
  fixture.RunExample();
  fixture.m_platform.m_isDown = true;
  CHECK(fixture.Run(Change("a", kSlots, 8, 16)).m_status == ApplyStatus::NotAccepted);
  fixture.m_platform.m_isDown = false;
  fixture.m_platform.m_requestsToLose = 1'000'000;
  const ApplyOutcome unknown = fixture.Run(Change("b", kSlots, 8, 16));
  CHECK(unknown.m_status == ApplyStatus::Unknown);
  CHECK(unknown.m_unknownBase == 1);
  fixture.m_platform.m_requestsToLose = 0;
  CHECK(fixture.Document()["version"] == 1);
}

TEST_CASE("A conflict is reported as such only once the lost write can't land any more")
{
  // The write of "mine" is lost on its way, and another operator changes the field.
  Fixture fixture;
  fixture.RunExample();
  ConfigStore<FakePlatform> other(fixture.m_platform, fixture.m_clock.Clock());
  fixture.m_platform.m_requestsToLose = 1;
  std::optional<ApplyOutcome> mine;
  fixture.m_store.Apply(Change("mine", kSlots, 8, 16),
                        [&](ApplyOutcome aOutcome) { mine = aOutcome; });
  CHECK_FALSE(mine);
  other.Apply(Change("theirs", kSlots, 8, 4), [](const ApplyOutcome&) {});
  while (!mine) {
    REQUIRE(fixture.m_clock.RunOne());
  }
  CHECK(mine->m_status == ApplyStatus::Conflict);

  // Seen by a stale node, the same conflict stays open.
  fixture.m_platform.SetStaleReads(true);
  ApplyRequest again = Change("late", kSlots, 8, 2);
  again.m_unknownBase = 2;
  CHECK(fixture.Run(again).m_status == ApplyStatus::Unknown);
}

TEST_CASE("Racing operators lose no change and apply none twice")
{
  for (const unsigned seed : { 1u, 2u, 3u }) {
    CAPTURE(seed);
    const int changes = seed == 1 ? 250 : 25;
    Fixture fixture;
    REQUIRE(fixture.RunSmall().m_status == ApplyStatus::Accepted);
    std::mt19937 random(seed);
    constexpr int kOperators = 4;
    std::deque<FakePlatform> platforms;
    std::deque<ConfigStore<FakePlatform>> stores;
    std::map<std::string, std::string> wanted; // Latest accepted value by pointer.
    std::vector<int> left(kOperators, changes);
    std::vector<int> busy(kOperators, 0);
    int accepted = 0;
    for (int i = 0; i < kOperators; ++i) {
      platforms.emplace_back(fixture.m_state).m_delay = FakeDelay::Requests;
      stores.emplace_back(platforms.back(), fixture.m_clock.Clock());
    }
    const auto start = [&](std::size_t aOperator) {
      // Operators share VMs, and each has its own label key.
      const std::string key = "k" + std::to_string(aOperator);
      const auto& vms = fixture.m_state.m_vms;
      const std::string vm = vms[random() % vms.size()].m_name;
      const std::string pointer = "/vm_labels/" + vm + "/" + key;
      const std::string value = std::to_string(left[aOperator]--);
      const Json before = wanted.contains(pointer) ? Json(wanted[pointer]) : Json();
      busy[aOperator] = 1;
      const std::string id = "op-" + key + "-" + value;
      stores[aOperator].Apply(Change(id, pointer, before, value),
                              [&, aOperator, pointer, value](const ApplyOutcome& aOutcome) {
                                CHECK(aOutcome.m_status == ApplyStatus::Accepted);
                                wanted[pointer] = value;
                                busy[aOperator] = 0;
                                ++accepted;
                              });
    };
    while (accepted < kOperators * changes) {
      const std::size_t chosen = random() % kOperators;
      if (!busy[chosen] && left[chosen] > 0) {
        start(chosen);
      }
      platforms[chosen].m_responsesToLose = random() % 50 == 0;
      platforms[chosen].m_requestsToLose = random() % 50 == 0;
      platforms[chosen].RunPending(1 + random() % 3);
      fixture.m_clock.RunOne();
    }
    const Json document = fixture.Document();
    CHECK(document["version"] == 1 + kOperators * changes);
    for (const auto& [pointer, value] : wanted) {
      CHECK(document.at(Json::json_pointer(pointer)) == value);
    }
  }
}
