#include "mustardtray/process/ConfigStore.h"

#include <deque>
#include <random>

#include <doctest/doctest.h>

#include "tests/support/ExampleFiles.h"
#include "tests/support/FakePlatform.h"

using namespace mustardtray;

namespace {

/// Virtual time for the stores of one test. Delays end at once, in the order in which they began.
class TestClock
{
public:
  ConfigStoreClock Clock()
  {
    return { [this] { return m_now; },
             [] { return WallTime(); },
             [this](Millis aDelay, std::function<void()> aCallback) {
               m_pendingCalls.emplace_back(aDelay, std::move(aCallback));
             } };
  }

  bool RunNext()
  {
    if (m_pendingCalls.empty()) {
      return false;
    }
    auto [delay, callback] = std::move(m_pendingCalls.front());
    m_pendingCalls.pop_front();
    m_now += delay;
    callback();
    return true;
  }

private:
  TimePoint m_now{ Micros(1) };
  std::deque<std::pair<Millis, std::function<void()>>> m_pendingCalls;
};

struct Fixture
{
  Fixture() { m_state.m_vms = test::ExampleVms("wroblewski"); }

  ApplyOutcome Run(ApplyRequest aRequest)
  {
    std::optional<ApplyOutcome> outcome;
    m_store.Apply(std::move(aRequest), [&outcome](ApplyOutcome aOutcome) { outcome = aOutcome; });
    while (!outcome) {
      REQUIRE(m_clock.RunNext());
    }
    return *outcome;
  }

  ApplyOutcome ApplyExample() { return ApplyFirst(test::ExampleConfiguration("wroblewski")); }

  /// The example reduced to one service, for tests with many changes.
  ApplyOutcome ApplySmallExample()
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
    return ApplyFirst(config);
  }

  ApplyOutcome ApplyFirst(const Configuration& aConfiguration)
  {
    ApplyRequest request;
    request.m_operationId = "first";
    request.m_document = ToJson(aConfiguration);
    return Run(std::move(request));
  }

  /// The configuration that is in the table.
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

ApplyRequest MakeChange(const std::string& aId, std::string aPointer, Json aBefore, Json aAfter)
{
  ApplyRequest request;
  request.m_operationId = aId;
  request.m_changes = { { std::move(aPointer), std::move(aBefore), std::move(aAfter) } };
  return request;
}

const char* const kSlots = "/services/bookings/slots";

} // namespace

TEST_CASE("An accepted configuration is written to the table completely")
{
  Fixture fixture;
  const ApplyOutcome outcome = fixture.ApplyExample();
  CHECK(outcome.m_status == ApplyStatus::Accepted);
  CHECK(outcome.m_version == 1);
  CHECK(outcome.m_effect.m_moves.size() == 50);
  Configuration expected = test::ExampleConfiguration("wroblewski");
  expected.m_version = 1;
  CHECK(fixture.Document() == ToJson(expected));
}

TEST_CASE(
  "A change of a field that another operator has changed is a conflict that names the field")
{
  Fixture fixture;
  fixture.ApplyExample();
  CHECK(fixture.Run(MakeChange("a", kSlots, 8, 16)).m_status == ApplyStatus::Accepted);
  const ApplyOutcome outcome = fixture.Run(MakeChange("b", kSlots, 8, 4));
  CHECK(outcome.m_status == ApplyStatus::Conflict);
  REQUIRE(outcome.m_conflicts.size() == 1);
  CHECK(outcome.m_conflicts[0].m_pointer == kSlots);
  CHECK(outcome.m_conflicts[0].m_theirs == 16);
  CHECK(fixture.Document()["version"] == 2);
}

TEST_CASE("A document based on an older version keeps later changes of other operators")
{
  Fixture fixture;
  fixture.ApplyExample();
  fixture.Run(MakeChange("a", "/vm_labels/pl-a-t01/disk", nullptr, "fast"));
  fixture.Run(MakeChange("b", kSlots, 8, 16));
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

TEST_CASE("An invalid configuration and a dry run leave the configuration unchanged")
{
  Fixture fixture;
  fixture.ApplyExample();
  const ApplyOutcome refused =
    fixture.Run(MakeChange("a", "/spare_pool", "back-office", "bokings"));
  CHECK(refused.m_status == ApplyStatus::Invalid);
  REQUIRE(refused.m_errors.size() == 1);
  CHECK(refused.m_errors[0].m_pointer == "/spare_pool");
  ApplyRequest dry = MakeChange("b", kSlots, 8, 16);
  dry.m_dryRun = true;
  CHECK(fixture.Run(dry).m_status == ApplyStatus::Checked);
  CHECK(fixture.Document()["version"] == 1);
}

TEST_CASE("A lost response is resolved by the operation id whether or not the write took effect")
{
  Fixture fixture;
  fixture.ApplyExample();
  fixture.m_platform.m_responsesToLose = 1;
  const ApplyOutcome committed = fixture.Run(MakeChange("a", kSlots, 8, 16));
  CHECK(committed.m_status == ApplyStatus::Accepted);
  CHECK(committed.m_version == 2);
  fixture.m_platform.m_requestsToLose = 2;
  const ApplyOutcome repeated = fixture.Run(MakeChange("b", kSlots, 16, 4));
  CHECK(repeated.m_status == ApplyStatus::Accepted);
  CHECK(fixture.Document()["version"] == 3);
  // A retry with the same id succeeds even after another operator has changed the field back.
  fixture.Run(MakeChange("c", kSlots, 4, 8));
  const ApplyOutcome again = fixture.Run(MakeChange("a", kSlots, 8, 16));
  CHECK(again.m_status == ApplyStatus::Accepted);
  CHECK(again.m_version == 2);
  CHECK(fixture.Document()["services"]["bookings"]["slots"] == 8);
}

TEST_CASE(
  "A change is not accepted while the platform is down, and unknown when its request is lost")
{
  Fixture fixture;
  fixture.ApplyExample();
  fixture.m_platform.m_isDown = true;
  CHECK(fixture.Run(MakeChange("a", kSlots, 8, 16)).m_status == ApplyStatus::NotAccepted);
  fixture.m_platform.m_isDown = false;
  fixture.m_platform.m_requestsToLose = 1'000'000;
  const ApplyOutcome unknown = fixture.Run(MakeChange("b", kSlots, 8, 16));
  CHECK(unknown.m_status == ApplyStatus::Unknown);
  CHECK(unknown.m_unknownBase == 1);
  fixture.m_platform.m_requestsToLose = 0;
  CHECK(fixture.Document()["version"] == 1);
}

TEST_CASE("A conflict is reported only when a lost write can no longer take effect")
{
  // The request of "mine" is lost, and another operator changes the field.
  Fixture fixture;
  fixture.ApplyExample();
  ConfigStore<FakePlatform> other(fixture.m_platform, fixture.m_clock.Clock());
  fixture.m_platform.m_requestsToLose = 1;
  std::optional<ApplyOutcome> mine;
  fixture.m_store.Apply(MakeChange("mine", kSlots, 8, 16),
                        [&](ApplyOutcome aOutcome) { mine = aOutcome; });
  CHECK_FALSE(mine);
  other.Apply(MakeChange("theirs", kSlots, 8, 4), [](const ApplyOutcome&) {});
  while (!mine) {
    REQUIRE(fixture.m_clock.RunNext());
  }
  CHECK(mine->m_status == ApplyStatus::Conflict);

  // A node that reads stale rows cannot decide, so the outcome stays unknown.
  fixture.m_platform.SetStaleReads(true);
  ApplyRequest again = MakeChange("late", kSlots, 8, 2);
  again.m_unknownBase = 2;
  CHECK(fixture.Run(again).m_status == ApplyStatus::Unknown);
}

TEST_CASE("Concurrent operators lose no change and apply none twice")
{
  for (const unsigned seed : { 1u, 2u, 3u }) {
    CAPTURE(seed);
    const int changes = seed == 1 ? 250 : 25;
    Fixture fixture;
    REQUIRE(fixture.ApplySmallExample().m_status == ApplyStatus::Accepted);
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
      stores[aOperator].Apply(MakeChange(id, pointer, before, value),
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
      fixture.m_clock.RunNext();
    }
    const Json document = fixture.Document();
    CHECK(document["version"] == 1 + kOperators * changes);
    for (const auto& [pointer, value] : wanted) {
      CHECK(document.at(Json::json_pointer(pointer)) == value);
    }
  }
}
