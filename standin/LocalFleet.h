#pragma once

/// A whole fleet on this machine's loopback addresses: the platform's stand-in, one process with
/// all minions, and a daemon for each entry VM of an example. For the demo, benches and end-to-end
/// tests; the daemons themselves start no process.

#include <csignal>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "mustardtray/connection/HttpMessage.h"
#include "mustardtray/process/Error.h"
#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/Time.h"
#include "mustardtray/version/Configuration.h"
#include "standin/LocalProcess.h"

namespace mustardtray {

struct LocalFleetOptions
{
  std::string m_binaries = "build";      ///< Folder of the programs.
  std::string m_configurationFile;       ///< As under examples/.
  std::string m_vmsFile;                 ///< As under examples/.
  std::string m_folder;                  ///< For settings and logs; created, must not exist.
  Millis m_runTime{ 10 };                ///< Of a request at a minion.
  Json m_extraSettings = Json::object(); ///< Merged into each daemon's settings.
};

/// Listeners of one entry VM.
struct LocalEntryVm
{
  std::string m_name;
  std::string m_zone;
  std::string m_address;
  std::string m_callerUrl;
  std::string m_peerUrl;
  std::string m_operatorUrl;
  std::string m_metricsUrl;
};

class LocalFleet
{
public:
  explicit LocalFleet(LocalFleetOptions aOptions);
  /// Ends every process that is left.
  ~LocalFleet();
  LocalFleet(const LocalFleet&) = delete;
  LocalFleet& operator=(const LocalFleet&) = delete;

  /// Starts everything and applies the configuration. Errors: Invalid for the files, Internal when
  /// a process does not come up.
  Result<void> Start();
  /// Waits until every running daemon has the configuration in force and minions to send to.
  bool WaitUntilServing(Millis aTimeout);

  const std::vector<LocalEntryVm>& EntryVms() const { return m_entryVms; }
  const LocalEntryVm& EntryVm(const std::string& aName) const;
  const std::string& PlatformUrl() const { return m_platformUrl; }
  const std::string& MinionControlUrl() const { return m_minionControlUrl; }
  const std::string& Folder() const { return m_options.m_folder; }
  const Configuration& Source() const { return m_configuration; }
  /// Address of a VM of the example as it is here.
  std::string AddressOf(const std::string& aVm) const;

  /// Sends a signal to a daemon: SIGKILL, SIGSTOP, SIGCONT, SIGTERM.
  void Signal(const std::string& aEntryVm, int aSignal);
  /// Waits until a daemon has ended; false when it has not in time.
  bool WaitForEnd(const std::string& aEntryVm, Millis aTimeout);
  /// Process id of a daemon; 0 when it does not run.
  int PidOf(const std::string& aEntryVm) const { return m_daemons.at(aEntryVm).m_pid; }
  /// Starts a daemon that has ended.
  Result<void> Restart(const std::string& aEntryVm);

  /// Runs the operators' client against an entry VM, the first when none is named; its output goes
  /// to client.log. Returns its exit code, or -1 when it could not be run.
  int RunClient(const std::vector<std::string>& aArguments, const std::string& aEntryVm = {});
  /// A target VM's row in the table; an empty object when it has none.
  Json VmRowOf(const std::string& aVm) const;
  /// Phase of a target VM by its row; empty when it has none.
  std::string VmPhaseOf(const std::string& aVm) const { return VmRowOf(aVm).value("phase", ""); }

  /// Switches faults of the platform's stand-in.
  bool SetPlatformFaults(const Json& aFaults);
  /// Switches the fault of a VM's minions.
  bool SetMinionFault(const std::string& aVm, const Json& aFault);
  /// Accounts of all minions.
  Json MinionStats() const;

private:
  Result<void> ReadFiles();
  void ChooseNetwork();
  Json EntrySettings(const VmListing& aVm) const;
  Json PlatformSettingsJson() const;
  Json MinionSettingsJson() const;
  Result<void> StartDaemons();
  bool WaitForUrl(const std::string& aUrl, Millis aTimeout) const;
  std::string WriteFile(const std::string& aName, const Json& aContent) const;
  std::string Binary(const std::string& aName) const;

  LocalFleetOptions m_options;
  Configuration m_configuration;
  std::vector<VmListing> m_vms; ///< With the addresses used here.
  std::string m_network;        ///< First two octets of all addresses.
  asio::io_context m_context;
  asio::ip::tcp::acceptor m_networkLock; ///< Holds the network against other fleets.
  std::string m_platformUrl;
  std::string m_minionControlUrl;
  std::vector<LocalEntryVm> m_entryVms;
  LocalProcess m_platform;
  LocalProcess m_minions;
  std::map<std::string, LocalProcess> m_daemons; ///< By entry VM.
};

/// Waits until aCondition holds, asking every 20 ms.
template<typename Condition>
bool WaitUntil(Millis aTimeout, Condition aCondition);

/// Sleeps the calling thread; for the waiting loops of tests and benches.
void SleepFor(Millis aTime);

template<typename Condition>
bool WaitUntil(Millis aTimeout, Condition aCondition)
{
  const TimePoint end = MonotonicNow() + aTimeout;
  while (!aCondition()) {
    if (MonotonicNow() >= end) {
      return false;
    }
    SleepFor(Millis(20));
  }
  return true;
}

} // namespace mustardtray
