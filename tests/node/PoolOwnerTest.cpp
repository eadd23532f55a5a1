#include "node/PoolOwner.h"

#include <algorithm>
#include <optional>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "mustardtray/process/JsonReader.h"
#include "standin/StandinServer.h"
#include "tests/job/PoolFixture.h"
#include "tests/node/NodeFixture.h"
#include "tests/soak/RowStoreStandin.h"

using namespace mustardtray;
using namespace mustardtray::node;

namespace {

constexpr const char* kPool = "pool";
constexpr const char* kMinion = "minion";
constexpr const char* kMachine = "machine";
constexpr const char* kJob = "0123456789abcdef";

/// The owner of a pool, beside a stand-in of a minion without runs that answers late.
struct PoolOwnerFixture
{
  static constexpr Millis kAnswerDelay{ 150 };
  static constexpr Millis kLease{ 60'000 };

  PoolOwnerFixture()
    : m_store(m_io, m_timers)
    , m_node(m_io, m_timers, MakeSettings(m_store.Port()))
    , m_minionServer(m_io,
                     "127.0.0.1",
                     0,
                     [this](const std::shared_ptr<StandinExchange>& aExchange) {
                       ++m_minionCalls;
                       m_startedRuns += aExchange->Request().m_path == "/-/run-start" ? 1 : 0;
                       m_latestCall = aExchange->Request().m_body;
                       if (m_isMinionGone) {
                         return;
                       }
                       ListEndsOfJob();
                       m_answerTimers.push_back(m_timers.After(kAnswerDelay, [this, aExchange] {
                         aExchange->SendResponse(JsonResponse(
                           200,
                           fmt::format(R"({{"clock_ms":5000,"born":1,"running":[],"ended":[{}]}})",
                                       m_listedEnds)));
                       }));
                     })
  {
    REQUIRE(m_minionServer.Listen().has_value());
    m_node.m_context.m_lease.Extend(LeaseClockNow() + kLease);
    m_claim.m_pool = kPool;
    m_claim.m_node = "self";
    Claim();
  }

  /// Creates an owner with a new claim and waits until it has loaded.
  void Claim()
  {
    StartClaim();
    RunUntil([this] { return m_owner->IsAuthoritative(); });
  }

  void StartClaim()
  {
    platform::Transaction transaction;
    transaction.m_writes.push_back(
      { { kOwnerTable, kPool, kSingleRowKey }, job::EncodeOwnerRow(m_claim) });
    m_claim.m_version = 0;
    m_node.m_store.Commit(
      transaction, Millis(1'000), [this](Result<platform::TransactionResult> aResult) {
        REQUIRE(aResult.has_value());
        m_claim.m_version = aResult.value().m_version;
      });
    RunUntil([this] { return m_claim.m_version > 0; });
    m_owner.emplace(m_node.m_context, m_claim, [] {});
  }

  /// Replaces the owner as in a planned restart of its node.
  void HandOver()
  {
    bool isDrained = false;
    m_owner->Drain([&] { isDrained = true; });
    REQUIRE(RunUntil([&] { return isDrained; }));
    m_owner->EndLeases();
    Crash();
  }

  /// Replaces the owner by one that claims the pool after a crash of its node.
  void Crash()
  {
    m_owner.reset();
    ++m_claim.m_epoch;
    Claim();
  }

  /// Cordons the minion's machine and runs until it is reported as drained.
  void DrainMachine()
  {
    REQUIRE(RunUntil([this] {
      return !m_owner->ApplyRestrictions({ { kMachine }, {} }).m_drainedMachines.empty();
    }));
  }

  /// Hands the pool over in a series of planned restarts for some time.
  void RestartInSeries(Millis aTime)
  {
    constexpr Millis kTimeOfOwner{ 1'000 };
    for (const TimePoint end = MonotonicNow() + aTime; MonotonicNow() < end;) {
      m_io.run_for(kTimeOfOwner);
      HandOver();
    }
  }

  /// Lists the ends that the latest call has not acknowledged, at most 500, as units of kJob.
  void ListEndsOfJob()
  {
    constexpr int kMaxListedEnds = 500;
    const Json call = Json::parse(m_latestCall, nullptr, false);
    if (m_endedUnits == 0 || !call.is_object()) {
      return;
    }
    m_listedEnds.clear();
    const int first = call.value("last_seen", 0) + 1;
    for (int end = first; end <= std::min(m_endedUnits, first + kMaxListedEnds - 1); ++end) {
      m_listedEnds += fmt::format(
        R"({}[{},"{}.0.0.{}",1,"done",""])", end == first ? "" : ",", end, kJob, end - 1);
    }
  }

  bool HasJobEnded() const
  {
    const job::Job* job = m_owner->Scheduler().FindJob(kJob);
    return job && job->HasEnded();
  }

  bool IsRecovering() const { return m_owner->Scheduler().IsRecovering(LeaseClockNow()); }

  static platform::NodeSettings MakeSettings(std::uint16_t aPort)
  {
    platform::NodeSettings settings;
    settings.m_nodeName = "self";
    settings.m_store = { "127.0.0.1", aPort };
    return settings;
  }

  template<typename Condition>
  bool RunUntil(Condition aCondition, Millis aTime = Millis(3'000))
  {
    const TimePoint end = MonotonicNow() + aTime;
    while (MonotonicNow() < end && !aCondition()) {
      m_io.run_for(Millis(5));
    }
    return aCondition();
  }

  job::MinionEntry MinionEntry(const char* aId = kMinion) const
  {
    job::MinionEntry entry;
    entry.m_id = aId;
    entry.m_pool = kPool;
    entry.m_machine = kMachine;
    entry.m_startedAtMs = 1;
    entry.m_address = fmt::format("127.0.0.1:{}", m_minionServer.Port());
    entry.m_capacity = { 1'000, 1'000, 0 };
    return entry;
  }

  /// Whether the minion has answered the owner, and the store has its row.
  bool IsUsable() const
  {
    const job::MinionTable& minions = m_owner->Scheduler().Minions();
    const auto found = minions.find(kMinion);
    return found != minions.end() && job::AcceptsWork(found->second, LeaseClockNow());
  }

  /// Whether the owner believes that the store has the minion's row.
  bool IsRecorded(const char* aId) const
  {
    const job::MinionTable& minions = m_owner->Scheduler().Minions();
    const auto found = minions.find(aId);
    return found != minions.end() && found->second.m_isRecorded;
  }

  asio::io_context m_io;
  TimerService m_timers{ m_io };
  soak::RowStoreStandin m_store;
  NodeFixture m_node;
  job::OwnerRow m_claim;
  std::vector<TimerHandle> m_answerTimers;
  int m_minionCalls = 0;
  int m_startedRuns = 0;
  int m_endedUnits = 0;        ///< Units of kJob that have ended on the minion.
  std::string m_latestCall;    ///< Body of the latest call to the minion.
  std::string m_listedEnds;    ///< Rows of run ends in the minion's answers.
  bool m_isMinionGone = false; ///< It answers no calls.
  StandinServer m_minionServer;
  std::optional<PoolOwner> m_owner;
};

} // namespace

TEST_CASE("a registered minion that has answered can be used")
{
  PoolOwnerFixture fixture;
  fixture.m_owner->OnMinionEntry(fixture.MinionEntry());
  CHECK(fixture.RunUntil([&] { return fixture.IsUsable(); }));
}

TEST_CASE("a minion that is registered again while the node has no lease is called again")
{
  // The registration expires while a call to the minion is pending and the node's lease has ended.
  PoolOwnerFixture fixture;
  fixture.m_owner->OnMinionEntry(fixture.MinionEntry());
  REQUIRE(fixture.RunUntil([&] { return fixture.m_minionCalls == 1; }));
  fixture.m_node.m_context.m_lease.Revoke();
  fixture.m_owner->OnMinionRemoved(kMinion);
  REQUIRE(fixture.m_owner->Scheduler().Minions().empty());
  fixture.m_io.run_for(2 * PoolOwnerFixture::kAnswerDelay);
  fixture.m_owner->OnMinionEntry(fixture.MinionEntry());
  fixture.m_node.m_context.m_lease.Extend(LeaseClockNow() + PoolOwnerFixture::kLease);
  CHECK(fixture.RunUntil([&] { return fixture.IsUsable(); }));
  CHECK(fixture.m_minionCalls > 1);
}

TEST_CASE("a minion whose row is removed does not count as recorded when it registers again")
{
  // The removal replaces the row's first write before it is sent. The next write of the row follows
  // the removal, so it takes two responses of the store.
  constexpr Millis kTwoResponses{ 600 };
  PoolOwnerFixture fixture;
  fixture.m_store.SetFault(soak::StoreFault::Slow);
  fixture.m_owner->OnMinionEntry(fixture.MinionEntry("other"));
  fixture.m_io.run_for(Millis(50));
  fixture.m_owner->OnMinionEntry(fixture.MinionEntry());
  fixture.m_owner->OnMinionRemoved(kMinion);
  REQUIRE(fixture.RunUntil([&] { return fixture.IsRecorded("other"); }));
  fixture.m_io.run_for(Millis(20));
  const TimePoint registeredAt = MonotonicNow();
  fixture.m_owner->OnMinionEntry(fixture.MinionEntry());
  REQUIRE(fixture.RunUntil([&] { return fixture.IsRecorded(kMinion); }));
  CHECK(MonotonicNow() - registeredAt > kTwoResponses);
}

TEST_CASE("a new owner does not wait for a minion whose machine was taken when it was drained")
{
  PoolOwnerFixture fixture;
  fixture.m_owner->OnMinionEntry(fixture.MinionEntry());
  REQUIRE(fixture.RunUntil([&] { return fixture.IsUsable(); }));
  fixture.DrainMachine();
  fixture.m_isMinionGone = true;
  fixture.HandOver();
  CHECK_FALSE(fixture.IsRecovering());
}

TEST_CASE("a new owner waits for a minion that was used again after it had been drained")
{
  PoolOwnerFixture fixture;
  fixture.m_owner->OnMinionEntry(fixture.MinionEntry());
  REQUIRE(fixture.RunUntil([&] { return fixture.IsUsable(); }));
  fixture.DrainMachine();
  fixture.m_owner->ApplyRestrictions({});
  REQUIRE(fixture.RunUntil([&] { return fixture.IsUsable(); }));
  fixture.m_isMinionGone = true;
  fixture.HandOver();
  CHECK(fixture.IsRecovering());
}

TEST_CASE("a series of planned restarts does not prolong the wait for a minion that is gone")
{
  // Leases last for 4 s at most; a long-running unit has to run again within 6 s.
  constexpr Millis kMaxWait{ 6'000 };
  PoolOwnerFixture fixture;
  fixture.m_owner->OnMinionEntry(fixture.MinionEntry());
  REQUIRE(fixture.RunUntil([&] { return fixture.IsUsable(); }));
  fixture.m_isMinionGone = true;
  fixture.HandOver();
  REQUIRE(fixture.IsRecovering());
  fixture.RestartInSeries(kMaxWait);
  CHECK_FALSE(fixture.IsRecovering());
}

TEST_CASE("an owner does not rely on the final leases that an owner before the former one recorded")
{
  PoolOwnerFixture fixture;
  fixture.m_owner->OnMinionEntry(fixture.MinionEntry());
  REQUIRE(fixture.RunUntil([&] { return fixture.IsUsable(); }));
  fixture.m_isMinionGone = true;
  fixture.HandOver();
  fixture.m_io.run_for(Millis(3'000));
  fixture.HandOver(); // The row that this owner finds has the rest of the lease.
  const TimePoint restEnd = LeaseClockNow() + Millis(2'000);
  REQUIRE(fixture.m_owner->Scheduler().Minions().at(kMinion).m_leaseEnd < restEnd);
  fixture.Crash(); // The next owner may find a minion to which this one gave leases.
  CHECK(fixture.m_owner->Scheduler().Minions().at(kMinion).m_leaseEnd > restEnd);
}

TEST_CASE("a new owner does not wait for the leases of a minion that never answered the former one")
{
  // One call has to fail; the longest lease lasts for 4 s.
  constexpr Millis kMaxWait{ 2'000 };
  PoolOwnerFixture fixture;
  fixture.m_isMinionGone = true;
  fixture.m_owner->OnMinionEntry(fixture.MinionEntry());
  REQUIRE(fixture.RunUntil([&] { return fixture.IsRecorded(kMinion); }, Millis(300)));
  fixture.HandOver();
  CHECK(fixture.RunUntil([&] { return !fixture.IsRecovering(); }, kMaxWait));
}

TEST_CASE("a new owner does not wait for a drained minion that listed an end when it was drained")
{
  PoolOwnerFixture fixture;
  fixture.m_owner->OnMinionEntry(fixture.MinionEntry());
  REQUIRE(fixture.RunUntil([&] { return fixture.IsUsable(); }));
  fixture.DrainMachine();
  fixture.m_listedEnds = R"([1,"10ddb0855991ac07.0.0.2",1,"lapsed",""])";
  fixture.m_io.run_for(Millis(800));
  fixture.m_listedEnds.clear();
  fixture.m_io.run_for(Millis(1'500));
  const job::MinionState& minion = fixture.m_owner->Scheduler().Minions().at(kMinion);
  REQUIRE(minion.m_lastProcessedEnd == 1);
  REQUIRE(minion.m_lastAcknowledgedEnd == 1);
  fixture.m_isMinionGone = true;
  fixture.Crash();
  CHECK_FALSE(fixture.IsRecovering());
}

TEST_CASE("an owner whose pool may have another owner gives no leases")
{
  PoolOwnerFixture fixture;
  fixture.m_owner->OnMinionEntry(fixture.MinionEntry());
  REQUIRE(fixture.RunUntil([&] { return fixture.IsUsable(); }));
  bool isDrained = false;
  SUBCASE("it has loaded the pool") {}
  SUBCASE("it loads the pool when it is told to stop")
  {
    fixture.m_owner.reset();
    ++fixture.m_claim.m_epoch;
    fixture.StartClaim();
  }
  fixture.m_owner->Drain([&] { isDrained = true; });
  REQUIRE(fixture.RunUntil([&] { return isDrained; }));
  fixture.m_owner->EndLeases();
  const int calls = fixture.m_minionCalls;
  fixture.m_io.run_for(Millis(1'100));
  REQUIRE(fixture.m_minionCalls > calls + 1);
  CHECK(fixture.m_latestCall.find("until_ms") == std::string::npos);
}

TEST_CASE("a pool is not handed over while its report permits orders to drained machines")
{
  PoolOwnerFixture fixture;
  fixture.m_owner->OnMinionEntry(fixture.MinionEntry());
  REQUIRE(fixture.RunUntil([&] { return fixture.IsUsable(); }));
  TimePoint reportedAt{};
  REQUIRE(fixture.RunUntil([&] {
    reportedAt = MonotonicNow();
    return !fixture.m_owner->ApplyRestrictions({ { kMachine }, {} }).m_drainedMachines.empty();
  }));
  bool isDrained = false;
  fixture.m_owner->Drain([&] { isDrained = true; });
  REQUIRE(fixture.RunUntil([&] { return isDrained; }));
  CHECK(MonotonicNow() - reportedAt >= kReportValidity);
}

TEST_CASE("reports of minions that arrive together lead to few decisions")
{
  constexpr int kMinions = 40;
  constexpr int kRounds = 10;
  constexpr int kMaxDecisionsPerRound = 10;
  PoolOwnerFixture fixture;
  for (int i = 0; i < kMinions; ++i) {
    fixture.m_owner->OnMinionEntry(fixture.MinionEntry(fmt::format("minion-{}", i).c_str()));
  }
  REQUIRE(fixture.RunUntil([&] { return fixture.m_minionCalls >= kRounds * kMinions; }));
  CHECK(fixture.m_node.m_context.m_work.Times(WorkPart::PoolDecision) <=
        kRounds * kMaxDecisionsPerRound);
}

/// Guards against TWICE: the owner took units for lost whose ends were beyond a cut list of ends.
TEST_CASE("a new owner starts no unit again whose end its minion lists in a later report")
{
  constexpr int kUnits = 1'200;
  PoolOwnerFixture fixture;
  fixture.m_owner->OnMinionEntry(fixture.MinionEntry());
  REQUIRE(fixture.RunUntil([&] { return fixture.IsUsable(); }));
  job::JobRecord record = job::MakeJob(kJob, kUnits, 1);
  record.m_spec.m_steps[0].m_need.m_memoryMb = 1;
  fixture.m_store.PutWithoutHistory(kJobTable, kPool, kJob, job::EncodeJobRecord(record));
  fixture.m_endedUnits = kUnits;
  fixture.Crash();
  fixture.m_owner->OnMinionEntry(fixture.MinionEntry());
  CHECK(fixture.RunUntil([&] { return fixture.HasJobEnded(); }));
  CHECK(fixture.m_startedRuns == 0);
}

/// Guards against LOST: a job whose record was longer than a row blocked all writes of its pool.
TEST_CASE("a job whose record is longer than a row is stored and loaded again")
{
  constexpr std::size_t kSteps = 1'800;
  PoolOwnerFixture fixture;
  job::JobRecord record = job::MakeJob(kJob, 1);
  record.m_spec.m_steps[0].m_isLongRunning = true; // Accepted without minions.
  record.m_spec.m_steps.resize(kSteps, record.m_spec.m_steps[0]);
  REQUIRE(job::EncodeJobRecord(record).size() > fixture.m_node.m_settings.m_maxRowBytes);
  std::optional<SubmitOutcome> outcome;
  fixture.m_owner->Submit(record, [&](SubmitResult aResult) { outcome = aResult.m_outcome; });
  REQUIRE(fixture.RunUntil([&] { return outcome.has_value(); }));
  REQUIRE(*outcome == SubmitOutcome::Accepted);
  fixture.Crash();
  const job::Job* job = fixture.m_owner->Scheduler().FindJob(kJob);
  REQUIRE(job);
  CHECK(job->m_record.m_spec.m_steps.size() == kSteps);
}

/// Guards against LOST: progress that was longer than a row was never stored, nor was what
/// followed.
TEST_CASE("progress that is longer than a row is stored and loaded again")
{
  constexpr std::uint32_t kUnits = 3'000;
  constexpr const char* kCheckpoint = "00000bb87a21d94b";
  PoolOwnerFixture fixture;
  fixture.m_store.PutWithoutHistory(
    kJobTable, kPool, kJob, job::EncodeJobRecord(job::MakeJob(kJob, kUnits)));
  fixture.Crash();
  fixture.m_owner->OnMinionEntry(fixture.MinionEntry());
  REQUIRE(fixture.RunUntil([&] { return fixture.IsUsable(); }));
  std::string ends;
  for (std::uint32_t unit = 1; unit < kUnits; ++unit) {
    ends += fmt::format(R"({}[{},"{}.0.0.{}",1,"stopped","{}"])",
                        unit == 1 ? "" : ",",
                        unit,
                        kJob,
                        unit,
                        kCheckpoint);
  }
  fixture.m_listedEnds = ends + fmt::format(R"(,[{},"{}.0.0.0",1,"done",""])", kUnits, kJob);
  const auto isAcknowledged = [&] {
    return fixture.m_owner->Scheduler().Minions().at(kMinion).m_lastAcknowledgedEnd == kUnits;
  };
  REQUIRE(fixture.RunUntil(isAcknowledged, Millis(6'000)));
  CHECK(fixture.m_store.RefusedTransactions() == 0);
  fixture.m_listedEnds.clear();
  fixture.Crash();
  const job::Job* job = fixture.m_owner->Scheduler().FindJob(kJob);
  REQUIRE(job);
  const std::vector<job::Unit>& units = job->m_occurrences.at(0).m_steps[0].m_units;
  CHECK(units.front().m_isDone);
  CHECK(units.back().m_checkpoint == kCheckpoint);
}

TEST_CASE("a job in the inbox that is longer than a row is accepted and leaves no row there")
{
  PoolOwnerFixture fixture;
  job::JobRecord record = job::MakeJob(kJob, 1);
  record.m_spec.m_steps.resize(1'800, record.m_spec.m_steps[0]);
  const platform::RowId inbox{ kInboxTable, kPool, kJob };
  const auto writes = SplitValue(
    inbox, job::EncodeJobRecord(record), MaxPartBytes(fixture.m_node.m_settings.m_maxRowBytes));
  REQUIRE(writes.size() > 1);
  for (const platform::RowWrite& write : writes) {
    fixture.m_store.PutWithoutHistory(kInboxTable, kPool, write.m_rowId.m_key, write.m_value);
  }
  SUBCASE("the pool is loaded")
  {
    fixture.Crash();
  }
  SUBCASE("the feed shows the rows")
  {
    for (const platform::RowWrite& write : writes) {
      fixture.m_owner->OnInboxRow({ write.m_rowId, write.m_value });
    }
  }
  const auto isStored = [&](const std::string& aKey) {
    return !fixture.m_store.Value(kInboxTable, kPool, aKey).empty();
  };
  REQUIRE(fixture.RunUntil([&] { return fixture.m_owner->Scheduler().FindJob(kJob) != nullptr; }));
  CHECK(fixture.RunUntil([&] { return !isStored(kJob); }));
  CHECK_FALSE(isStored(PartRowId(inbox, 1).m_key));
}

/// Guards against TWICE after a takeover: a minion forgets ends that the store has refused to keep.
TEST_CASE("ends whose progress the store rejects are not acknowledged")
{
  PoolOwnerFixture fixture;
  fixture.m_store.PutWithoutHistory(
    kJobTable, kPool, kJob, job::EncodeJobRecord(job::MakeJob(kJob, 1'200)));
  fixture.Crash();
  fixture.m_store.SetMaxRowBytes(600); // The progress of the job has a byte for each unit.
  fixture.m_endedUnits = 1;
  fixture.m_owner->OnMinionEntry(fixture.MinionEntry());
  fixture.m_io.run_for(Millis(2'000));
  REQUIRE(fixture.m_store.RefusedTransactions() > 1);
  REQUIRE(fixture.m_owner->Scheduler().Minions().at(kMinion).m_lastProcessedEnd == 1);
  CHECK(fixture.m_owner->Scheduler().Minions().at(kMinion).m_lastAcknowledgedEnd == 0);
}
