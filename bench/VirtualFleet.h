#pragma once

/// The surroundings of the fleet controllers under virtual time: the table, target VMs that carry
/// out actions, and entry VMs that send work and report. It watches what must always hold.

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bench/VirtualTime.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/fleet/EntryReporter.h"
#include "mustardtray/process/fleet/FleetView.h"
#include "mustardtray/version/Configuration.h"
#include "standin/PlatformTable.h"

namespace mustardtray {

struct ActionTimes
{
  Millis m_drainMost{ 8'000 }; ///< Work in flight at a drain ends evenly within this time.
  Millis m_stop{ 10'000 };
  Millis m_rebootLeast{ 60'000 };
  Millis m_rebootMost{ 120'000 };
  Millis m_start{ 5'000 };
  Millis m_entryPeriod{ 1'000 }; ///< Between reads of an entry VM.
  Millis m_noticeDown{ 3'000 };  ///< Until entry VMs see that a target is down.
};

/// What was seen of that which must never be.
struct FleetFaultCounts
{
  int m_budgetViolations = 0;  ///< Planned stops begun beyond a budget.
  int m_budgetExceedances = 0; ///< Seconds in which failures pushed a service beyond its budget.
  int m_twoPools = 0;          ///< A VM with services of a pool that its row does not name.
  int m_stopsWithWork = 0;     ///< Planned stops with work in flight.
  int m_poolBelowMinimum = 0;  ///< Moves that left a pool below its minimum.
};

class VirtualFleet
{
public:
  VirtualFleet(VirtualTime& aTime, Configuration aConfiguration, std::uint64_t aSeed);

  /// Adds a VM to the platform's list; an entry VM begins to report once a second.
  void AddVm(const VmListing& aListing);
  /// Takes a VM down unplanned; it comes back by itself after that time.
  void Crash(const std::string& aVm, Millis aDuration);
  void FailReboots(const std::string& aVm, int aCount);
  /// An entry VM that is cut off goes on sending by what it knew and does not report.
  void SetCutOff(const std::string& aEntryVm, bool aIsCutOff);
  void EndEntryVm(const std::string& aEntryVm);
  void SetListed(const std::string& aVm, VmState aState);
  void SetStoreDown(bool aIsDown) { m_isStoreDown = aIsDown; }
  bool IsStoreDown() const { return m_isStoreDown; }

  Commit Transact(const Transaction& aTransaction);
  ActionState RunVmAction(const VmActionRequest& aRequest);
  std::vector<VmListing> ListVms() const;

  VirtualTime& Time() { return m_time; }
  PlatformTable& Table() { return m_table; }
  std::mt19937_64& Random() { return m_random; }
  ActionTimes& Times() { return m_times; }
  const Configuration& Config() const { return m_configuration; }
  const FleetView& View() const { return m_view; }
  const FleetFaultCounts& Faults() const { return m_faults; }
  /// Changes of pool away from and back to the VM's home pool.
  int Moves() const { return m_moves; }
  int Returns() const { return m_returns; }
  /// Time that the platform and the work in flight need for each VM's maintenance, without waits.
  const std::map<std::string, Millis>& OutTimes() const { return m_outTimes; }
  /// Whether every VM of the selector has been rebooted for a wave and no VM is out.
  bool IsMaintained(std::uint64_t aWaveNumber) const;

private:
  struct Target
  {
    bool m_isCrashed = false;
    std::string m_runningPool; ///< Empty while stopped.
    TimePoint m_changed{};     ///< When it last came up or went down.
    int m_failingReboots = 0;

    bool IsUp() const { return !m_isCrashed && !m_runningPool.empty(); }
  };

  struct EntryVm
  {
    EntryReport m_identity;
    FleetView m_view;
    std::uint64_t m_revision = 0;
    std::map<std::string, LocalTargetStatus> m_targets;
    std::map<std::string, TimePoint> m_busyUntil; ///< Of targets that drain.
    std::optional<EntryReport> m_written;
    bool m_isCutOff = false;
    bool m_isGone = false;
  };

  void RunEntryVm(const std::string& aName);
  void UpdateTarget(EntryVm& aEntryVm, const VmRecord& aVm);
  void WriteReport(EntryVm& aEntryVm);
  int InFlight(const std::string& aVm) const;
  Millis DurationOf(const VmActionRequest& aRequest);
  bool BeginAction(const VmActionRequest& aRequest);
  void EndAction(const VmActionRequest& aRequest);
  /// The records as they stand of the VMs whose rows the transaction writes.
  std::map<std::string, VmRecord> WrittenVms(const Transaction& aTransaction) const;
  void CheckCommit(const VmRecord& aBefore, const std::string& aVm);
  void CheckTakeOut(const std::string& aVm);
  void CountExceedances();
  bool IsServing(const VmRecord& aVm) const;

  VirtualTime& m_time;
  Configuration m_configuration;
  std::mt19937_64 m_random;
  PlatformTable m_table;
  FleetView m_view;
  FleetIndex m_index;
  std::uint64_t m_revision = 0;
  ActionTimes m_times;
  bool m_isStoreDown = false;
  std::map<std::string, VmListing> m_listings;
  std::map<std::string, Target> m_targets;
  std::map<std::string, EntryVm> m_entryVms;
  std::map<std::string, ActionState> m_actions;
  std::map<std::string, Millis> m_outTimes;
  FleetFaultCounts m_faults;
  int m_moves = 0;
  int m_returns = 0;
};

} // namespace mustardtray
