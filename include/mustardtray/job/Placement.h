#pragma once

/// Chooses a minion for a work unit. Considers units of different size, data that is in one rack,
/// units that must be spread and minions that may be faulty.

#include <string>

#include "mustardtray/job/AdviceCache.h"
#include "mustardtray/job/PoolState.h"

namespace mustardtray::job {

/// The step of the unit to place, and its placement constraints.
struct PlacementRequest
{
  const StepSpec* m_step = nullptr;
  const std::string* m_job = nullptr;
  std::string m_unitPrefix; ///< Common prefix of the unit names of the step and occurrence.
  /// Minion of the unit's latest failure; used only when no other fits.
  const std::string* m_lastFailedMinion = nullptr;
  const AdviceCache* m_advice = nullptr; ///< If set, only minions with a ticket are used.
  bool m_isIsolated = false;             ///< Only minions without runs are used.
  bool m_isSuspect = false;        ///< It may crash its minion; kept apart from others if possible.
  bool m_ignoresHold = false;      ///< It may use a minion that is held for another unit.
  bool m_ignoresIsolation = false; ///< It may share a minion with an isolated run.
  /// It may use a cordoned minion that keeps long-running units; see KeepsUnits().
  bool m_mayUseCordoned = false;
  /// Used only when no other minion fits.
  const MinionState* m_avoidedMinion = nullptr;
  const std::string* m_onlyMinion = nullptr; ///< If set, no other minion is used.
};

/// Why a minion cannot get a unit at present: the first check that failed.
enum class PlacementObstacle
{
  None,
  Unregistered,
  Cordoned,
  Draining,
  MissedCall,
  Suspicious,
  NotFenced, ///< It has not answered this owner.
  Unrecorded,
  Paused,
  UnknownRun,      ///< It runs a unit of an unknown job, so its free capacity is unknown.
  RegistrationOld, ///< Its registration has not been read again for seconds.
  Isolated,        ///< It runs a unit that may crash it.
  Held,            ///< It is being emptied for such a unit.
  NotEmpty,        ///< The unit may crash it, and other work is on it.
  Cpu,
  Memory,
  Gpu,
  Label,
  NoTicket,
  StepLimit, ///< It has as many units of the step as the step allows on one minion.
};

/// Returns what keeps the minion from getting any new work.
PlacementObstacle FindObstacle(const MinionState& aMinion, TimePoint aNow);
/// Whether a cordoned minion has long-running units, none of which is being stopped. It is not
/// taken before they have left, so another unit that has no other place can run there meanwhile.
bool KeepsUnits(const MinionState& aMinion);
/// Returns what keeps the minion from getting a unit.
PlacementObstacle FindObstacle(const MinionState& aMinion,
                               const PlacementRequest& aRequest,
                               TimePoint aNow);

/// Whether the minion could run the unit if it were empty.
bool IsEligible(const MinionState& aMinion, const PlacementRequest& aRequest, TimePoint aNow);

/// Returns the minion for the unit, or nullptr when it fits on none at present.
MinionState* ChooseMinion(MinionTable& aMinions, const PlacementRequest& aRequest, TimePoint aNow);

/// Returns the advisor's name for the step of a unit's name or name prefix.
std::string StepName(const std::string& aUnitPrefix);
/// Returns the minions that could run the step, to ask the advisor about; those with free capacity
/// come first.
std::vector<std::string> AdviceCandidates(const MinionTable& aMinions,
                                          const StepSpec& aStep,
                                          TimePoint aNow);

/// Counts the minion's runs whose unit names begin with the prefix of a step and occurrence.
std::uint32_t CountUnitsOfStep(const MinionState& aMinion, const std::string& aUnitPrefix);
/// Whether the minion can get any new work at present.
bool AcceptsWork(const MinionState& aMinion, TimePoint aNow);
/// Whether the minion has failed runs or refused orders so often in a row that it gets only one
/// unit at a time.
bool IsSuspicious(const MinionState& aMinion);

} // namespace mustardtray::job

namespace mustardtray {

template<>
struct EnumNames<job::PlacementObstacle>
{
  static constexpr std::array kTable{
    std::pair{ job::PlacementObstacle::None, std::string_view("none") },
    std::pair{ job::PlacementObstacle::Unregistered, std::string_view("unregistered") },
    std::pair{ job::PlacementObstacle::RegistrationOld, std::string_view("registration-old") },
    std::pair{ job::PlacementObstacle::NotFenced, std::string_view("not-fenced") },
    std::pair{ job::PlacementObstacle::Unrecorded, std::string_view("unrecorded") },
    std::pair{ job::PlacementObstacle::Cordoned, std::string_view("cordoned") },
    std::pair{ job::PlacementObstacle::Draining, std::string_view("draining") },
    std::pair{ job::PlacementObstacle::MissedCall, std::string_view("missed-call") },
    std::pair{ job::PlacementObstacle::Paused, std::string_view("paused") },
    std::pair{ job::PlacementObstacle::UnknownRun, std::string_view("unknown-run") },
    std::pair{ job::PlacementObstacle::Suspicious, std::string_view("suspicious") },
    std::pair{ job::PlacementObstacle::Isolated, std::string_view("isolated") },
    std::pair{ job::PlacementObstacle::Held, std::string_view("held") },
    std::pair{ job::PlacementObstacle::NotEmpty, std::string_view("not-empty") },
    std::pair{ job::PlacementObstacle::Cpu, std::string_view("cpu") },
    std::pair{ job::PlacementObstacle::Memory, std::string_view("memory") },
    std::pair{ job::PlacementObstacle::Gpu, std::string_view("gpu") },
    std::pair{ job::PlacementObstacle::Label, std::string_view("label") },
    std::pair{ job::PlacementObstacle::NoTicket, std::string_view("no-ticket") },
    std::pair{ job::PlacementObstacle::StepLimit, std::string_view("step-limit") },
  };
};

} // namespace mustardtray
