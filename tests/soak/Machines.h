#pragma once

/// Stand-in of the machines, of the minions that live on them and of the interface that moves and
/// maintains them: for the soak.

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "standin/StandinServer.h"
#include "tests/soak/Promises.h"
#include "tests/soak/RowStore.h"

namespace mustardtray::soak {

class Machines
{
public:
  Machines(asio::io_context& aContext,
           TimerService& aTimers,
           RowStore& aStore,
           Promises& aPromises);

  void Add(const std::string& aName, const std::string& aPool, bool aIsSpare);
  std::uint16_t ControlPort() const { return m_control.Port(); }
  std::vector<std::string> Names() const;

  /// The minion dies at once; the machine begins another life after a while. aKeepsId: under the
  /// same id.
  void Crash(const std::string& aName, Millis aFor, bool aKeepsId);
  /// The minion answers nothing for a while; what runs goes on.
  void Hang(const std::string& aName, Millis aFor);
  /// Each of the machines needs maintenance once.
  void BeginWave(std::uint64_t aNumber, std::size_t aMachines, std::size_t aAtOnce);

private:
  struct Run
  {
    job::UnitId m_unit;
    std::uint32_t m_run = 0;
    std::int64_t m_cpu = 0;
    TimePoint m_endsAt{}; ///< Far away for a unit that lasts.
    bool m_willFail = false;
    TimePoint m_stopAt{}; ///< Set when it was told to stop.
  };
  struct End
  {
    std::uint64_t m_number = 0;
    job::UnitId m_unit;
    std::uint32_t m_run = 0;
    job::RunOutcome m_how = job::RunOutcome::Done;
  };
  /// One life of a machine.
  struct Life
  {
    std::string m_id;
    std::int64_t m_bornMs = 0;
    TimePoint m_startedAt{};
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint32_t>
      m_highestEnded; ///< Run numbers that may not start any more.
    std::deque<End> m_ended;
    std::uint64_t m_endCount = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseUntilMs = 0; ///< On its own clock.
    bool m_hasLapsed = false;        ///< Since its latest end was listed.
  };
  struct WaitingHold
  {
    std::shared_ptr<StandinExchange> m_exchange;
    TimerHandle m_timeout;
  };
  struct Machine
  {
    std::string m_name;
    std::string m_pool;
    std::string m_state = "up";
    std::unique_ptr<StandinServer> m_server;
    std::unique_ptr<Life> m_life; ///< None while the machine is away, and in the spare pool.
    TimePoint m_hangsUntil{};
    std::list<WaitingHold> m_holds;
    TimerHandle m_return;
    // What the interface saw of orders.
    std::string m_holder;
    std::uint64_t m_token = 0;
    TimePoint m_orderedAt{};
  };

  void Handle(Machine& aMachine, const std::shared_ptr<StandinExchange>& aExchange);
  HttpResponse Start(Machine& aMachine, const Json& aBody);
  HttpResponse Stop(Machine& aMachine, const Json& aBody);
  void Hold(Machine& aMachine,
            const Json& aBody,
            const std::shared_ptr<StandinExchange>& aExchange);
  HttpResponse HoldAnswer(const Machine& aMachine) const;
  void Tick();
  void EndRun(Machine& aMachine, const std::string& aUnit, job::RunOutcome aHow);
  void BeginLife(Machine& aMachine, const std::string& aId);
  void EndLife(Machine& aMachine);
  void Register(const Machine& aMachine);
  void HandleControl(const std::shared_ptr<StandinExchange>& aExchange);
  HttpResponse Order(const HttpRequest& aRequest);
  HttpResponse List() const;
  void ReturnAfter(Machine& aMachine, Millis aTime, std::string aId);
  static std::int64_t ClockMs(const Life& aLife);
  static std::string Place(const Machine& aMachine);

  asio::io_context& m_context;
  TimerService& m_timers;
  RowStore& m_store;
  Promises& m_promises;
  StandinServer m_control;
  std::map<std::string, std::unique_ptr<Machine>> m_machines;
  std::map<std::uint64_t, std::set<std::string>> m_waves; ///< Machines that a wave may maintain.
  std::map<std::uint64_t, std::size_t> m_waveLimits;
  std::set<std::pair<std::uint64_t, std::string>> m_maintained; ///< By wave and machine.
  std::string m_sparePool;
  std::uint64_t m_lives = 0;
  TimerHandle m_tick;
  TimerHandle m_heartbeat;
};

// Figures of the stand-in, which the nodes' settings repeat.
inline constexpr Millis kMaxRunLease{ 4'000 };
inline constexpr Millis kMoveTime{ 500 };
inline constexpr Millis kMaintenanceTime{ 700 };
inline constexpr Millis kMachineOrderLease{ 1'000 };
inline constexpr std::int64_t kMachineCpu = 8'000;

} // namespace mustardtray::soak
