#pragma once

/// One controller's access to a VirtualFleet, with latency and faults.

#include "bench/VirtualFleet.h"
#include "mustardtray/process/Platform.h"

namespace mustardtray {

/// Faults of one controller's access. Writes are transactions and VM actions, counted from 1.
struct AccessFaults
{
  double m_lostAnswers = 0;    ///< Share of the writes whose answer is lost after their effect.
  int m_loseAnswerOfWrite = 0; ///< The answer to this write is lost.
  int m_endBeforeWrite = 0;    ///< The controller ends before this write is sent.
  int m_holdWrite = 0;         ///< This write arrives m_holdTime late.
  Millis m_holdTime{ 0 };
  Millis m_latencyMost{ 20 };
  bool m_isCutOff = false;
};

class VirtualPlatform
{
public:
  explicit VirtualPlatform(VirtualFleet& aFleet)
    : m_fleet(aFleet)
  {
  }

  void Transact(const Transaction& aTransaction, Callback<Commit> aDone);
  void Read(const std::vector<std::string>& aKeys, Callback<std::vector<Row>> aDone);
  void Scan(const std::string& aPrefix, std::uint64_t aRevision, Callback<ScanPage> aDone);
  void ListVms(Callback<std::vector<VmListing>> aDone);
  void RunVmAction(const VmActionRequest& aRequest, Callback<ActionState> aDone);

  AccessFaults& Faults() { return m_faults; }
  int Writes() const { return m_writes; }
  bool HasEnded() const { return m_hasEnded; }

private:
  Millis Latency();
  /// Runs aCall at the platform after a latency and gives its result back after another.
  template<typename T, typename Call>
  void Ask(Millis aHold, bool aIsAnswerLost, Call aCall, Callback<T> aDone);
  template<typename T, typename Call>
  void Write(Call aCall, Callback<T> aDone);

  VirtualFleet& m_fleet;
  AccessFaults m_faults;
  int m_writes = 0;
  bool m_hasEnded = false;
};

} // namespace mustardtray
