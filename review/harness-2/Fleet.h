#pragma once

/// Stand-in for minions and for the platform's list of machines, as PROTOCOL.md describes them. It
/// records each order and each run, and judges TWICE and BUDGET by what minions have seen.

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/TimerService.h"
#include "review/harness-2/Record.h"
#include "standin/StandinServer.h"
#include "tests/soak/RowStoreStandin.h"

namespace mustardtray::review {

struct MachineSpec
{
  std::string m_name;
  std::string m_pool;
  std::vector<std::string> m_labels; ///< Kind and rack.
  std::int64_t m_cpu = 16'000;
};

/// A run of a work unit on a minion.
struct RunSeen
{
  std::string m_unit;
  std::string m_machine;
  std::uint32_t m_run = 0;
  TimePoint m_begin{};
  TimePoint m_end{}; ///< TimePoint{} while the run goes on.
  std::string m_how;
  bool m_isNoted = false; ///< Its end was taken note of by `last_seen`, without a lapse before.
  bool m_hasLapsed = false;
};

class Fleet
{
public:
  Fleet(asio::io_context& aContext,
        TimerService& aTimers,
        soak::RowStoreStandin& aStore,
        Record& aRecord);

  void AddMachine(const MachineSpec& aSpec);
  std::uint16_t CloudPort() const { return m_cloud.Port(); }
  /// Ends the minion at once; it is back under its ID after aDuration.
  void Crash(const std::string& aMachine, Millis aDuration);
  /// Ends the minion at once, for good.
  void Lose(const std::string& aMachine);
  /// The next order to start the unit gets no answer, until CarryOutLate().
  void DelayNextStart(const std::string& aUnit) { m_delayedUnit = aUnit; }
  /// Machine that has the delayed order; empty while there is none.
  const std::string& MachineOfDelayed() const { return m_delayedAt; }
  /// The minion carries the delayed order out, in the life that it has now.
  void CarryOutLate();
  const std::list<RunSeen>& Runs() const { return m_runs; }
  /// Runs of the unit, in the order of their begin.
  std::vector<const RunSeen*> RunsOf(const std::string& aUnit) const;
  /// Returns each break of TWICE: two runs of one unit at the same time on minions that are up, or
  /// a start after a run has ended `done` whose end is taken note of.
  std::vector<std::string> FindTwice() const;

private:
  struct ActiveRun
  {
    RunSeen* m_seen = nullptr;
    std::int64_t m_cpu = 0;
    TimePoint m_endsAt{};
    TimePoint m_stopAt{};
    bool m_fails = false;
  };
  struct ListedEnd
  {
    std::uint64_t m_number = 0;
    RunSeen* m_seen = nullptr;
  };
  struct PendingHold
  {
    std::shared_ptr<StandinExchange> m_exchange;
    TimerHandle m_timeout;
  };
  struct Life
  {
    std::int64_t m_bornMs = 0;
    TimePoint m_startedAt{};
    std::int64_t m_clockStartMs = 0;
    std::uint64_t m_token = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::map<std::string, ActiveRun> m_runs;
    std::map<std::string, std::uint32_t> m_refused; ///< Runs up to this number are `old`.
    std::deque<ListedEnd> m_ends;
    std::uint64_t m_endCount = 0;
    std::uint64_t m_seq = 0;
  };
  struct Machine
  {
    MachineSpec m_spec;
    std::string m_id;
    std::unique_ptr<StandinServer> m_server;
    std::unique_ptr<Life> m_life;
    std::list<PendingHold> m_holds;
    TimerHandle m_return;
    TimerHandle m_expiry;
  };

  void Begin(Machine& aMachine);
  void End(Machine& aMachine);
  void Register(Machine& aMachine);
  void Handle(Machine& aMachine, const std::shared_ptr<StandinExchange>& aExchange);
  HttpResponse Start(Machine& aMachine, const Json& aBody);
  HttpResponse Stop(Machine& aMachine, const Json& aBody);
  HttpResponse Hold(Machine& aMachine, const Json& aBody);
  HttpResponse Report(const Machine& aMachine) const;
  void HandleCloud(const std::shared_ptr<StandinExchange>& aExchange);
  void EndRun(Machine& aMachine, const std::string& aUnit, const char* aHow, bool aIsListed);
  void Tick();
  static std::int64_t ClockMs(const Life& aLife);

  asio::io_context& m_context;
  TimerService& m_timers;
  soak::RowStoreStandin& m_store;
  Record& m_record;
  StandinServer m_cloud;
  std::map<std::string, std::unique_ptr<Machine>> m_machines;
  std::list<RunSeen> m_runs;
  std::string m_delayedUnit;
  std::string m_delayedAt;
  std::string m_delayedBody;
  std::shared_ptr<StandinExchange> m_delayedExchange; ///< Its connection stays open.
  TimerHandle m_tick;
  TimerHandle m_heartbeat;
};

} // namespace mustardtray::review
