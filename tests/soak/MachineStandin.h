#pragma once

/// Stand-in for the machines, the minions that run on them and the cloud API that moves and
/// maintains the machines. Used by the soak.

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "standin/StandinServer.h"
#include "tests/soak/GuaranteeChecker.h"
#include "tests/soak/OrderFaults.h"
#include "tests/soak/RowStoreStandin.h"

namespace mustardtray::soak {

// Limits and durations of the stand-in. The settings of the nodes repeat them.
inline constexpr Millis kMaxRunLease{ 10'000 };
inline constexpr Millis kMoveDuration{ 500 };
inline constexpr Millis kMaintenanceDuration{ 700 };
inline constexpr Millis kMachineOrderLease{ 1'000 };
inline constexpr Millis kHeartbeatPeriod{ 1'000 };
/// Calm time after which a machine or the store counts as undisturbed.
inline constexpr Millis kContactTime{ 4'000 };
inline constexpr std::int64_t kMachineCpu = 8'000;

/// What becomes of the connections of an incarnation that crashed silently. On arrival: when
/// something arrives on them after the return of the machine.
enum class FormerConnections
{
  ResetOnArrival,
  ResetIdleOnReturn, ///< Those that await a response on arrival.
  ResetOnReturn,
  Kept, ///< They lead to the next incarnation, as behind a forwarder.
};

class MachineStandin
{
public:
  MachineStandin(asio::io_context& aContext,
                 TimerService& aTimers,
                 RowStoreStandin& aStore,
                 GuaranteeChecker& aChecker,
                 std::uint64_t aSeed);

  void AddMachine(const std::string& aName, const std::string& aPool, bool aIsSpare);
  std::uint16_t CloudApiPort() const { return m_cloudApiServer.Port(); }
  std::vector<std::string> MachineNames() const;
  const std::string& PoolOf(const std::string& aName) const { return m_machines.at(aName)->m_pool; }

  /// The minions of this pool refuse starts beyond their capacity. Others start what they are told.
  void SetGuarded(const std::string& aPool) { m_guardedPools.insert(aPool); }
  /// Gives the machine a kind other than "a". Units that require a label start only there.
  void SetKind(const std::string& aName, const std::string& aKind)
  {
    m_machines.at(aName)->m_kind = aKind;
  }
  /// Changes what the minion registers with its next heartbeat. Its runs go on.
  void SetCapacity(const std::string& aName, std::int64_t aCpu);
  /// Returns the pool's machines that have this CPU free and no unit of the step, given by the
  /// common prefix of its unit names.
  std::vector<std::string> MachinesWithRoom(const std::string& aPool,
                                            std::int64_t aCpu,
                                            const std::string& aExcludedStep) const;
  /// Ends the minion at once. The machine starts a new incarnation after aDuration, with the same
  /// minion ID when aKeepsId is set.
  void Crash(const std::string& aName, Millis aDuration, bool aKeepsId);
  /// Like Crash under the same ID, but the peers of the open connections get no sign of it before
  /// the machine is back. Attempts to connect succeed when it is back.
  void CrashSilently(const std::string& aName, Millis aDuration, FormerConnections aConnections);
  /// The minion receives and sends nothing for aDuration, heartbeats neither. Its work units
  /// continue to run.
  void Cut(const std::string& aName, Millis aDuration);
  /// Machines of the pool that are up and not cut off.
  std::vector<std::string> ReachableMachines(const std::string& aPool) const;
  /// The minion does not respond for aDuration. Its work units continue to run.
  void Hang(const std::string& aName, Millis aDuration);
  /// Requests to minions get these faults.
  void SetOrderFaults(OrderFaults* aFaults);
  /// Called for each request that is to be carried out late.
  using LateOrderCallback =
    std::function<void(const std::string& aMachine, const std::string& aPath, Millis aDelay)>;
  void SetLateOrderCallback(LateOrderCallback aCallback) { m_onLateOrder = std::move(aCallback); }
  /// The machine's time of day is off by aStep, which shows in the start times of its next
  /// incarnations.
  void StepClock(const std::string& aName, Millis aStep);
  void ResetConnections(const std::string& aName);
  /// Machines that are up and have a start that is still to be carried out late.
  std::vector<std::string> MachinesWithLateStarts() const;
  /// Starts a wave in which each of the machines needs maintenance once.
  void StartWave(std::uint64_t aNumber,
                 const std::vector<std::string>& aMachines,
                 std::size_t aMaxInMaintenance);
  /// The registration of a minion whose machine is moved or maintained stays until it expires.
  void KeepRegistrations() { m_keepsRegistrations = true; }

private:
  struct Run
  {
    job::UnitId m_unit;
    std::uint32_t m_runNumber = 0;
    std::int64_t m_cpu = 0;
    TimePoint m_endsAt{}; ///< In the far future for a long-running unit.
    bool m_willFail = false;
    TimePoint m_stopAt{}; ///< Set when a stop was requested.
  };
  struct RunEnd
  {
    std::uint64_t m_number = 0;
    job::UnitId m_unit;
    std::uint32_t m_runNumber = 0;
    job::RunOutcome m_outcome = job::RunOutcome::Done;
  };
  struct FormerCapacity
  {
    TimePoint m_countsUntil{};
    std::int64_t m_cpu = 0;
  };
  /// One incarnation of a machine and its minion.
  struct Incarnation
  {
    std::string m_id;
    std::int64_t m_startTimeMs = 0;
    TimePoint m_startedAt{};
    std::int64_t m_clockStartMs = 0; ///< Of the minion's clock, at m_startedAt.
    std::int64_t m_cpu = 0;
    std::vector<FormerCapacity> m_formerCapacities;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint32_t>
      m_highestEndedRuns; ///< By unit: this run number and lower ones may no longer start.
    std::deque<RunEnd> m_runEnds;
    std::uint64_t m_runEndCount = 0;
    std::uint64_t m_fencingToken = 0;
    std::int64_t m_leaseExpiryMs = 0; ///< On the minion's clock.
    bool m_hasLeaseExpired = false;   ///< Since the latest run end was added.
  };
  struct PendingLeaseReport
  {
    std::shared_ptr<StandinExchange> m_exchange;
    TimerHandle m_timeout;
  };
  struct Machine
  {
    std::string m_name;
    std::string m_pool;
    std::string m_kind = "a";
    std::string m_state = "up";
    std::uint64_t m_wave = 0;         ///< Of the current or latest maintenance.
    std::int64_t m_cpu = kMachineCpu; ///< Capacity of its current and its next incarnation.
    std::unique_ptr<StandinServer> m_server;
    std::uint64_t m_serverNumber = 0;
    std::list<std::unique_ptr<StandinServer>>
      m_formerServers; ///< With connections of incarnations that crashed silently.
    std::vector<std::shared_ptr<StandinExchange>>
      m_heldExchanges; ///< Requests that reach the machine when it is back.
    std::unique_ptr<Incarnation>
      m_incarnation; ///< Null while the machine is unavailable or in the spare pool.
    TimePoint m_hangsUntil{};
    TimePoint m_cutUntil{};
    Millis m_clockStep{ 0 };
    bool m_keepsConnections = false; ///< Over the next end of its incarnation.
    std::size_t m_lateStartCount = 0;
    std::list<PendingLeaseReport> m_pendingLeaseReports;
    TimerHandle m_returnTimer;
    // The latest order that the cloud API received.
    std::string m_leaseHolder;
    std::uint64_t m_orderToken = 0;
    TimePoint m_orderedAt{};
  };

  /// Makes a server whose connections belong to the machine's present or next incarnation.
  void ReplaceServer(Machine& aMachine, std::uint16_t aPort);
  void AbandonConnections(Machine& aMachine);
  static bool IsCut(const Machine& aMachine);
  static bool IsResponsive(const Machine& aMachine);
  void HandleMinionRequest(Machine& aMachine, const std::shared_ptr<StandinExchange>& aExchange);
  /// Applies what a minion checks and does at the arrival of any request. A wait for an end is not
  /// part of it.
  HttpResponse CarryOut(Machine& aMachine, const HttpRequest& aRequest);
  void ApplyOrderFault(Machine& aMachine,
                       const std::shared_ptr<StandinExchange>& aExchange,
                       const OrderFault& aFault);
  HttpResponse StartRun(Machine& aMachine, const Json& aBody);
  HttpResponse StopRun(Machine& aMachine, const Json& aBody);
  HttpResponse ExtendLease(Machine& aMachine, const Json& aBody);
  /// Responds with a lease report as soon as a run ends, or after aWait.
  void ReportEndLater(Machine& aMachine,
                      const std::shared_ptr<StandinExchange>& aExchange,
                      Millis aWait);
  HttpResponse MakeLeaseReport(const Machine& aMachine) const;
  void Tick();
  void EndRun(Machine& aMachine, const std::string& aUnit, job::RunOutcome aOutcome);
  void StartIncarnation(Machine& aMachine, const std::string& aId);
  void EndIncarnation(Machine& aMachine);
  /// Ends the incarnation and its registration.
  void LeaveService(Machine& aMachine);
  void ExpireRegistration(const std::string& aId);
  void ExpireRegistrationLater(const std::string& aId);
  static std::int64_t UsedCpu(const Incarnation& aIncarnation);
  void RegisterMinion(const Machine& aMachine);
  void HandleCloudApiRequest(const std::shared_ptr<StandinExchange>& aExchange);
  HttpResponse ExecuteOrder(const HttpRequest& aRequest);
  HttpResponse ListMachines() const;
  void ReturnAfter(Machine& aMachine, Millis aDelay, std::string aId);
  static std::int64_t ClockMs(const Incarnation& aIncarnation);
  static std::string IncarnationName(const Machine& aMachine);

  asio::io_context& m_context;
  TimerService& m_timers;
  RowStoreStandin& m_store;
  GuaranteeChecker& m_checker;
  std::mt19937_64 m_random;
  StandinServer m_cloudApiServer;
  std::map<std::string, std::unique_ptr<Machine>> m_machines;
  std::map<std::uint64_t, std::set<std::string>>
    m_waveMachines; ///< Machines that the wave may maintain.
  std::map<std::uint64_t, std::size_t> m_waveLimits;
  std::set<std::pair<std::uint64_t, std::string>> m_maintained; ///< Pairs of wave and machine.
  std::string m_sparePool;
  std::set<std::string> m_guardedPools;
  bool m_keepsRegistrations = false;
  std::map<std::string, TimerHandle> m_expiryTimers; ///< By ID of a minion that crashed.
  std::list<TimerHandle> m_crashTimers;
  OrderFaults* m_orderFaults = nullptr;
  LateOrderCallback m_onLateOrder;
  std::list<TimerHandle> m_lateOrderTimers;
  std::uint64_t m_incarnationCount = 0;
  TimerHandle m_tickTimer;
  TimerHandle m_heartbeatTimer;
};

} // namespace mustardtray::soak
