#pragma once

/// Tells which work units crash the minions that run them. A crash is a restart of a minion while
/// it had runs. The runs of a minion that stays silent are only lost: the minion may be cut off or
/// stopped, so they are kept until its next sign of life shows whether it restarted.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "mustardtray/job/Minion.h"

namespace mustardtray::job {

/// Crashes under one unit, or under one gang as a whole. Stored with the job's progress.
struct CrashCounts
{
  std::uint32_t m_all = 0;
  /// Those that probably had another cause: other minions crashed at about the same time, a unit
  /// that ran on the minion was given up, or it had run for a while and others had just started.
  std::uint32_t m_explained = 0;
  std::uint32_t m_alone = 0; ///< Others, when the unit had just started and no other had.
  /// Evidence that a long-running unit causes the crashes, in decibans (ten times the logarithm of
  /// a ratio of likelihoods). Not below 0, because a unit may begin to crash its minions later.
  int m_evidence = 0;

  bool operator==(const CrashCounts&) const = default;
};

/// Losses of a unit's runs that may turn out to be crashes.
struct UnresolvedLosses
{
  std::uint32_t m_all = 0;
  std::uint32_t m_explained = 0; ///< Those that probably had another cause.
  TimePoint m_waitUntil{};       ///< A start that depends on the losses waits for them until then.
};

/// Unresolved losses by job, and by a unit's occurrence, step and index.
using UnitPlace = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>;
using UnresolvedByJob = std::map<std::string, std::map<UnitPlace, UnresolvedLosses>>;

/// A run that was on a minion when it crashed or was lost.
struct CrashSuspect
{
  UnitId m_unit; ///< For a gang: its first unit.
  std::uint32_t m_run = 0;
  bool m_isAlone = false;    ///< It had just started, and no other run had.
  bool m_isUnlikely = false; ///< It had run for a while when other runs had started lately.
  Millis m_ranFor{ 0 };      ///< Until its minion last answered.
  std::size_t m_likely = 1;  ///< Suspects of the crash that are as likely as this one.
};

struct MinionCrash
{
  std::string m_minion;
  std::string m_machine;
  std::int64_t m_restartedAtMs = 0; ///< On the clock of the machine.
  TimePoint m_confirmedAt{};
  bool m_isCoincident = false; ///< Known once the crash is settled.
  std::vector<CrashSuspect> m_suspects;
};

/// Whether the unit may run only on a minion of its own, so that the next crash shows whether the
/// unit causes it and hits no other work.
bool NeedsIsolation(const CrashCounts& aCounts, const UnresolvedLosses& aLosses);
/// Whether a start has to wait until the losses are resolved, because they may be the last crashes
/// that the unit is allowed.
bool MustWaitForLosses(const CrashCounts& aCounts, const UnresolvedLosses& aLosses, TimePoint aNow);
/// Whether the unit is given up, unless it is long-running.
bool IsDeadly(const CrashCounts& aCounts);
/// Whether a long-running unit is given up. It restarts for as long as its job is wanted, so it has
/// many chances to be on minions that crash by themselves: only the evidence counts.
bool IsDeadlyLongRunning(const CrashCounts& aCounts);
/// Adds a crash to the counts of a suspect.
void AddCrash(CrashCounts& aCounts, const MinionCrash& aCrash, const CrashSuspect& aSuspect);

class CrashHistory
{
public:
  /// Called when the runs of a minion are given up, although the minion may be running.
  void OnRunsLost(const MinionEntry& aMinion, std::vector<CrashSuspect> aSuspects, TimePoint aNow);
  /// Called when a minion has restarted and has lost these runs.
  void OnRunsCrashed(const MinionEntry& aMinion,
                     std::vector<CrashSuspect> aSuspects,
                     std::int64_t aRestartedAtMs,
                     TimePoint aNow);
  /// Called when a minion is seen with its start time: runs lost by an earlier start have crashed.
  void OnIncarnation(const MachineIncarnation& aSeen, TimePoint aNow);
  /// Called when the minion itself has answered: runs lost by this start have not crashed.
  void OnAnswer(const std::string& aMinion, std::int64_t aStartedAtMs);
  /// Returns the crashes for which it is known whether other minions crashed at the same time.
  std::vector<MinionCrash> TakeSettled(TimePoint aNow);
  /// Returns the evidence of a crash against one of its suspects, see CrashCounts::m_evidence: how
  /// well the unit explains that it had run for this time, and how well the recent restarts of
  /// minions without it do. aMinions: minions of the pool.
  int EvidenceOf(const MinionCrash& aCrash,
                 const CrashSuspect& aSuspect,
                 std::size_t aMinions,
                 TimePoint aNow) const;
  /// Returns the losses and the unsettled crashes by unit.
  const UnresolvedByJob& Unresolved() const;
  /// Called when a unit is given up: returns the units that were on a minion with it when that
  /// crashed, once for each crash that nothing else explains.
  std::vector<CrashSuspect> OnGivenUp(const UnitId& aUnit);

private:
  struct LostRuns
  {
    MinionEntry m_entry;
    TimePoint m_lostAt{};
    std::vector<CrashSuspect> m_suspects;
  };
  struct Restart
  {
    std::int64_t m_restartedAtMs = 0;
    std::string m_minion;
    TimePoint m_confirmedAt{};
    std::vector<UnitId> m_units; ///< That ran on the minion.
  };

  void AddUnsettled(const MinionEntry& aMinion,
                    std::vector<CrashSuspect> aSuspects,
                    std::int64_t aRestartedAtMs,
                    TimePoint aNow);
  bool IsCoincident(const std::string& aMinion, std::int64_t aRestartedAtMs) const;
  bool IsCoincident(const LostRuns& aLost) const;

  std::deque<LostRuns> m_lost; ///< Oldest first.
  std::vector<MinionCrash> m_unsettled;
  std::deque<MinionCrash> m_settled; ///< Recent ones that are unexplained, oldest first.
  std::deque<Restart> m_restarts;    ///< Recent ones, oldest first.
  mutable UnresolvedByJob m_unresolved;
  mutable bool m_isUnresolvedStale = false;
};

} // namespace mustardtray::job
