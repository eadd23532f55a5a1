#include "node/FleetOrderController.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "mustardtray/process/Log.h"
#include "platform/Messages.h"

namespace mustardtray::node {

using nlohmann::json;

namespace {

constexpr const char* kWaveTable = "wave-progress";
constexpr const char* kAnnouncedMachinesTable =
  "announced"; ///< Machines that recently got orders; one row.
constexpr Millis kPlanPeriod{ 200 };
/// Limits the calls to the owners of shards, so that this node's work does not grow with the fleet.
constexpr std::size_t kMaxSyncsPerSecond = 200;
constexpr Millis kCallTimeout{ 1'500 };
/// Syncs of a shard without which its cordons lapse.
constexpr int kSyncsPerCordon = 4;
static_assert(job::kMinCordonTime > kCallTimeout + kPlanPeriod);
constexpr Millis kBalanceLogPeriod{ 2'000 };
/// Shards whose balances are logged at a time.
constexpr std::size_t kMaxLoggedBalances = 20;
/// No order is sent when less of the lease than this is left.
constexpr Millis kMinOrderTimeout{ 400 };
/// Batches the reports that arrive together into one plan.
constexpr Micros kPlanDelay{ 10'000 };
/// Pause after a plan in relation to the time that it took, so that planning leaves most of the
/// processor to other work.
constexpr int kPauseAfterPlan = 4;
/// Added to the time within which two lease holders must not send orders, for orders in flight.
constexpr Millis kOrderMargin{ 300 };

/// Machines of a row that this class wrote; empty when the row is invalid.
std::set<std::string> DecodeMachineNames(const platform::Row& aRow)
{
  const json machines = json::parse(aRow.m_value, nullptr, false);
  const bool isReadable =
    machines.is_array() && std::all_of(machines.begin(), machines.end(), [](const json& aMachine) {
      return aMachine.is_string();
    });
  if (!isReadable) {
    Log(LogCategory::Fleet,
        LogLevel::Error,
        "machines-unreadable",
        "table",
        aRow.m_rowId.m_table,
        "key",
        aRow.m_rowId.m_key);
    return {};
  }
  return machines.get<std::set<std::string>>();
}

} // namespace

FleetOrderController::FleetOrderController(NodeContext& aContext,
                                           const job::OwnerRow& aClaim,
                                           SyncPoolFunction aSyncPool,
                                           MachinesFunction aOnMachines,
                                           std::function<void()> aOnLost)
  : m_context(aContext)
  , m_claim(aClaim)
  , m_syncPool(std::move(aSyncPool))
  , m_onMachines(std::move(aOnMachines))
  , m_machineListReader(aContext,
                        [this](std::vector<job::Machine> aMachines, TimePoint aAskedAt) {
                          const WorkMeter::Scope scope(m_context.m_work, WorkPart::MachineList);
                          m_onMachines(aMachines);
                          m_planner.SetMachines(std::move(aMachines), aAskedAt);
                        })
  , m_planner(
      { aContext.m_settings.m_bounds.m_upkeepTime, aContext.m_settings.m_bounds.m_moveTime })
  , m_batchWriter(aContext, aClaim.m_pool, aClaim.m_version, std::move(aOnLost))
  , m_reader(aContext, aClaim.m_pool, m_batchWriter)
  , m_allowancePlanner(aClaim.m_version)
  , m_announcedOrders(aContext.m_settings.m_bounds.m_machineOrderLease + kOrderMargin, kCallTimeout)
{
  LoadState();
  m_listTimer = m_context.m_timers.Every(kMachineListPeriod, 0, [this] { ListMachines(); });
  ListMachines();
  m_periodicTimer = m_context.m_timers.Every(kPlanPeriod, 0, [this] { Tick(); });
}

FleetOrderController::~FleetOrderController()
{
  m_batchWriter.Close();
}

void FleetOrderController::LoadState()
{
  m_tablesToLoad = 3;
  LoadTable(kHeadTable,
            [this](const std::vector<platform::Row>& aRows) { m_batchWriter.LoadHead(aRows); });
  LoadTable(kAnnouncedMachinesTable, [this](const std::vector<platform::Row>& aRows) {
    for (const platform::Row& row : aRows) {
      m_announcedOrders.Inherit(DecodeMachineNames(row), LeaseClockNow());
    }
  });
  LoadTable(kWaveTable, [this](const std::vector<platform::Row>& aRows) {
    for (const platform::Row& row : aRows) {
      m_startedMachinesByWave[std::strtoull(row.m_rowId.m_key.c_str(), nullptr, 10)] =
        DecodeMachineNames(row);
    }
  });
}

void FleetOrderController::LoadTable(const std::string& aTable,
                                     PartitionReader::RowsCallback aOnRows)
{
  m_reader.ReadTable(aTable, std::move(aOnRows), [this] {
    if (--m_tablesToLoad == 0) {
      FinishLoading();
    }
  });
}

void FleetOrderController::FinishLoading()
{
  m_isLoaded = true;
  for (const job::WaveRequest& wave : m_deferredWaves) {
    AddWave(wave);
  }
  m_deferredWaves.clear();
}

void FleetOrderController::AddWave(const job::WaveRequest& aRequest)
{
  if (!m_isLoaded) {
    m_deferredWaves.push_back(aRequest);
    return;
  }
  if (m_planner.Waves().contains(aRequest.m_number)) {
    return;
  }
  Log(LogCategory::Fleet,
      LogLevel::Info,
      "wave-started",
      "wave",
      aRequest.m_number,
      "machines",
      aRequest.m_machines.size(),
      "at-once",
      aRequest.m_atOnce,
      "duration-ms",
      aRequest.m_duration.count());
  m_planner.AddWave(aRequest, m_startedMachinesByWave[aRequest.m_number]);
  WriteWaveStatus(aRequest.m_number, false);
}

void FleetOrderController::ListMachines()
{
  if (!m_isDraining) {
    m_machineListReader.Start();
  }
}

void FleetOrderController::Tick()
{
  if (m_isDraining || !m_context.m_lease.IsValid()) {
    return;
  }
  PlanOrders();
  LogBalances(m_plan.m_balances);
  std::vector<std::string> shards;
  for (const job::PoolSpec& pool : m_context.m_deployment.m_pools) {
    if (!pool.m_isSpare) {
      const std::vector<std::string> names = m_context.m_shards.Names(pool.m_name);
      shards.insert(shards.end(), names.begin(), names.end());
    }
  }
  PlanAllowances(shards);
  const Millis syncInterval{ static_cast<Millis::rep>(shards.size() * 1'000 / kMaxSyncsPerSecond) };
  m_cordonTime = std::max(job::kMinCordonTime, kSyncsPerCordon * (syncInterval + kPlanPeriod));
  for (const std::string& shard : shards) {
    if (LeaseClockNow() - m_syncedAt[shard] >= syncInterval) {
      SyncPool(shard);
    }
  }
  for (const std::uint64_t wave : m_plan.m_completedWaves) {
    if (!m_pendingStatusWrites.contains(wave)) {
      WriteWaveStatus(wave, true);
    }
  }
}

void FleetOrderController::RequestPlan()
{
  if (m_planTimer.IsActive()) {
    return;
  }
  const Micros pause = std::chrono::duration_cast<Micros>(m_nextPlanAt - LeaseClockNow());
  m_planTimer = m_context.m_timers.After(std::max(pause, kPlanDelay), [this] { PlanOrders(); });
}

void FleetOrderController::PlanOrders()
{
  m_planTimer.Cancel();
  if (m_isDraining || !m_context.m_lease.IsValid()) {
    return;
  }
  const TimePoint start = LeaseClockNow();
  {
    const WorkMeter::Scope scope(m_context.m_work, WorkPart::FleetPlan);
    m_plan = m_planner.Plan(m_context.m_deployment, m_context.m_shards, start);
  }
  const TimePoint end = LeaseClockNow();
  m_nextPlanAt = end + kPauseAfterPlan * (end - start);
  for (const job::MachineOrder& order : m_plan.m_orders) {
    if (HasValidReport(order.m_from)) {
      SendOrder(order);
    }
  }
}

bool FleetOrderController::HasValidReport(const std::string& aPool) const
{
  const job::PoolSpec* spare = m_context.m_deployment.SparePool();
  const auto validUntil = m_reportValidUntil.find(aPool);
  // A new owner of the pool does not know the cordons, so orders need a valid report.
  return (spare && spare->m_name == aPool) ||
         (validUntil != m_reportValidUntil.end() && LeaseClockNow() < validUntil->second);
}

void FleetOrderController::LogBalances(const std::vector<job::ShardBalance>& aBalances)
{
  const TimePoint now = LeaseClockNow();
  if (now - m_balancesLoggedAt < kBalanceLogPeriod) {
    return;
  }
  m_balancesLoggedAt = now;
  Log(LogCategory::Fleet,
      LogLevel::Info,
      "pools-synced",
      "reports",
      m_syncCounts.m_all,
      "failed",
      m_syncCounts.m_failed,
      "outdated",
      m_syncCounts.m_outdated,
      "longest-ms",
      std::chrono::duration_cast<Millis>(m_syncCounts.m_longest).count());
  m_syncCounts = {};
  LogAllowances();
  std::size_t logged = 0;
  for (const job::ShardBalance& balance : aBalances) {
    std::pair<std::size_t, std::size_t>& last = m_loggedBalances[balance.m_shard];
    const std::pair current(balance.m_machines, balance.m_wantedMachines);
    if (current == last || logged == kMaxLoggedBalances) {
      continue;
    }
    last = current;
    ++logged;
    Log(LogCategory::Fleet,
        LogLevel::Info,
        "machines-wanted",
        "pool",
        balance.m_shard,
        "machines",
        balance.m_machines,
        "wanted",
        balance.m_wantedMachines);
  }
}

void FleetOrderController::SyncPool(const std::string& aPool)
{
  if (!m_pendingSyncs.insert(aPool).second) {
    return;
  }
  const TimePoint askedAt = LeaseClockNow();
  m_syncedAt[aPool] = askedAt;
  job::MachineRestrictions& restrictions = m_plan.m_restrictions[aPool];
  restrictions.m_cordonTime = m_cordonTime;
  m_planner.OnRestrictionsSent(aPool, restrictions);
  m_syncPool(
    { aPool, restrictions, m_allowancePlanner.GrantsFor(aPool) },
    [this, aPool, askedAt, alive = std::weak_ptr<int>(m_alive)](Result<FleetReport> aReport) {
      if (alive.expired()) {
        return;
      }
      m_pendingSyncs.erase(aPool);
      const TimePoint now = LeaseClockNow();
      const TimePoint validUntil = askedAt + kReportValidity;
      const bool isCurrent = now < validUntil;
      ++m_syncCounts.m_all;
      m_syncCounts.m_failed += aReport ? 0 : 1;
      m_syncCounts.m_outdated += aReport && !isCurrent ? 1 : 0;
      m_syncCounts.m_longest = std::max(m_syncCounts.m_longest, now - askedAt);
      if (!aReport) {
        return;
      }
      FleetReport& report = aReport.value();
      m_allowancePlanner.OnReport(aPool, report.m_accounts, now);
      m_planner.SetReport(aPool,
                          { report.m_load,
                            { report.m_drainedMachines.begin(), report.m_drainedMachines.end() },
                            std::move(report.m_idleMachines),
                            now });
      m_reportValidUntil[aPool] = validUntil;
      if (isCurrent) {
        RequestPlan();
      }
    });
}

void FleetOrderController::SendOrder(const job::MachineOrder& aOrder)
{
  // An order must be answered or have timed out before another node can hold the lease.
  const Millis timeout = std::min(kCallTimeout, m_context.m_lease.Remaining());
  const TimePoint now = LeaseClockNow();
  if (!m_isLoaded || timeout < kMinOrderTimeout ||
      m_announcedOrders.IsHeldBack(aOrder.m_machine, now) ||
      m_pendingOrders.contains(aOrder.m_machine)) {
    return;
  }
  if (!m_announcedOrders.IsAnnounced(aOrder.m_machine)) {
    StoreAnnouncement(aOrder);
    return;
  }
  m_pendingOrders.insert(aOrder.m_machine);
  m_planner.OnOrderSent(aOrder);
  m_announcedOrders.OnOrder(aOrder.m_machine, now);
  Log(LogCategory::Fleet,
      LogLevel::Info,
      "machine-order",
      "machine",
      aOrder.m_machine,
      "wave",
      aOrder.m_wave,
      "pool",
      aOrder.m_pool,
      "token",
      m_claim.m_version);
  const platform::OrderAuthority authority{ m_claim.m_node, m_claim.m_version };
  const auto done =
    [this, aOrder, alive = std::weak_ptr<int>(m_alive)](platform::MachineOrderResult aOrderResult) {
      if (!alive.expired()) {
        OnOrderResult(aOrder, aOrderResult);
      }
    };
  if (aOrder.m_wave > 0) {
    m_context.m_machineClient.Maintain(authority, aOrder.m_machine, aOrder.m_wave, timeout, done);
  } else {
    m_context.m_machineClient.Move(authority, aOrder.m_machine, aOrder.m_pool, timeout, done);
  }
}

void FleetOrderController::StoreAnnouncement(const job::MachineOrder& aOrder)
{
  if (!m_pendingAnnouncements.insert(aOrder.m_machine).second) {
    return;
  }
  const std::set<std::string> machines =
    m_announcedOrders.Announce(aOrder.m_machine, LeaseClockNow());
  m_batchWriter.Put(
    kAnnouncedMachinesTable,
    kSingleRowKey,
    json(machines).dump(),
    [this, aOrder, machines, alive = std::weak_ptr<int>(m_alive)](WriteOutcome aOutcome) {
      if (alive.expired() || aOutcome == WriteOutcome::OwnershipLost) {
        return;
      }
      m_pendingAnnouncements.erase(aOrder.m_machine);
      if (aOutcome == WriteOutcome::Rejected) {
        return; // The next plan announces the machine again.
      }
      m_announcedOrders.OnSaved(machines);
      ReplanPoolOrders(aOrder.m_from);
    });
}

void FleetOrderController::ReplanPoolOrders(const std::string& aPool)
{
  if (HasValidReport(aPool)) {
    RequestPlan();
  } else {
    SyncPool(aPool);
  }
}

void FleetOrderController::OnOrderResult(const job::MachineOrder& aOrder,
                                         platform::MachineOrderResult aOrderResult)
{
  m_pendingOrders.erase(aOrder.m_machine);
  m_announcedOrders.OnOrder(aOrder.m_machine, LeaseClockNow());
  if (aOrderResult != platform::MachineOrderResult::Done) {
    Log(LogCategory::Fleet,
        LogLevel::Warning,
        "machine-order-failed",
        "machine",
        aOrder.m_machine,
        "result",
        static_cast<int>(aOrderResult));
    if (aOrderResult == platform::MachineOrderResult::NoAnswer) {
      m_planner.OnOrderUnanswered(aOrder, LeaseClockNow());
    } else {
      m_planner.OnOrderFailed(aOrder, LeaseClockNow());
    }
    return;
  }
  m_planner.OnOrderDone(aOrder, LeaseClockNow());
  if (aOrder.m_wave > 0) {
    const std::set<std::string>& begun = m_planner.Waves().at(aOrder.m_wave).m_begun;
    m_batchWriter.Put(
      kWaveTable, std::to_string(aOrder.m_wave), json(begun).dump(), [](WriteOutcome) {});
  }
}

void FleetOrderController::WriteWaveStatus(std::uint64_t aWave, bool aIsCompleted)
{
  m_pendingStatusWrites.insert(aWave);
  platform::Transaction transaction;
  transaction.m_writes.push_back(
    { { platform::kStatusTable, "", platform::kWaveKeyPrefix + std::to_string(aWave) },
      platform::EncodeWaveStatus(aIsCompleted) });
  m_context.m_store.Commit(
    transaction,
    kCallTimeout,
    [this, aWave, aIsCompleted, alive = std::weak_ptr<int>(m_alive)](
      Result<platform::TransactionResult> aResult) {
      if (alive.expired()) {
        return;
      }
      m_pendingStatusWrites.erase(aWave);
      const bool isWritten = aResult && aResult.value().m_isApplied;
      if (isWritten && aIsCompleted) {
        Log(LogCategory::Fleet, LogLevel::Info, "wave-completed", "wave", aWave);
        m_planner.MarkCompleted(aWave);
      }
    });
}

void FleetOrderController::Drain(std::function<void()> aDone)
{
  m_isDraining = true;
  if (m_pendingOrders.empty() && m_batchWriter.IsIdle()) {
    aDone();
    return;
  }
  constexpr Micros kDrainPollInterval{ 10'000 };
  m_drainTimer =
    m_context.m_timers.After(kDrainPollInterval, [this, done = std::move(aDone)] { Drain(done); });
}

} // namespace mustardtray::node
