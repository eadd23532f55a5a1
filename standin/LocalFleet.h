#pragma once

/// Runs a complete fleet on loopback addresses: the platform stand-in, one process with all
/// minions, and one daemon for each entry VM of an example. The demo, the benchmarks and the
/// end-to-end tests use it. The daemons themselves do not start processes.

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
  std::string m_binaryFolder = "build"; ///< Folder that contains the executables.
  std::string m_configurationFile;      ///< In the format of the files in examples/.
  std::string m_vmsFile;                ///< In the format of the files in examples/.
  std::string m_folder;   ///< Folder for settings and logs; it is created and must not exist.
  Millis m_runTime{ 10 }; ///< Default run time of a request at a minion.
  Json m_extraSettings = Json::object(); ///< Merged into each daemon's settings.
};

/// One entry VM and the URLs of its listeners.
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
  /// Ends every process that is still running.
  ~LocalFleet();
  LocalFleet(const LocalFleet&) = delete;
  LocalFleet& operator=(const LocalFleet&) = delete;

  /// Starts all processes and applies the configuration. Errors: Invalid when a file is invalid,
  /// Internal when a process does not start.
  Result<void> Start();
  /// Waits until every running daemon has activated the configuration and has minions to route to.
  /// Returns false on a timeout.
  bool WaitUntilServing(Millis aTimeout);

  const std::vector<LocalEntryVm>& EntryVms() const { return m_entryVms; }
  const LocalEntryVm& EntryVm(const std::string& aName) const;
  const std::string& PlatformUrl() const { return m_platformUrl; }
  const std::string& MinionControlUrl() const { return m_minionControlUrl; }
  const std::string& Folder() const { return m_options.m_folder; }
  const Configuration& SourceConfiguration() const { return m_configuration; }
  /// Loopback address of a VM of the example; empty for an unknown VM.
  std::string AddressOf(const std::string& aVm) const;

  /// Sends a signal, such as SIGKILL, SIGSTOP, SIGCONT or SIGTERM, to a daemon that is running.
  void SendSignal(const std::string& aEntryVm, int aSignal);
  /// Waits until a daemon has exited. Returns false on a timeout.
  bool WaitForExit(const std::string& aEntryVm, Millis aTimeout);
  /// Process id of a daemon; 0 when it is not running.
  int PidOf(const std::string& aEntryVm) const { return m_daemons.at(aEntryVm).m_pid; }
  /// Starts a daemon that has exited. Errors: Internal when it does not start.
  Result<void> Restart(const std::string& aEntryVm);

  /// Runs the operator client against an entry VM, by default the first one, with its output in
  /// client.log. Returns its exit code, or -1 when it could not be run.
  int RunClient(const std::vector<std::string>& aArguments, const std::string& aEntryVm = {});
  /// Returns the table row of a target VM; an empty object when there is none.
  Json ReadVmRow(const std::string& aVm) const;
  /// Returns the phase in the table row of a target VM; empty when there is none.
  std::string ReadVmPhase(const std::string& aVm) const
  {
    return ReadVmRow(aVm).value("phase", "");
  }

  /// Sets faults of the platform stand-in. Returns false when the call fails.
  bool SetPlatformFaults(const Json& aFaults);
  /// Sets the fault of all minions of a VM. Returns false when the call fails.
  bool SetMinionFault(const std::string& aVm, const Json& aFault);
  /// Statistics of all minions; null when the call fails.
  Json MinionStats() const;

private:
  Result<void> ReadFiles();
  void ReserveNetwork();
  Json EntryVmSettingsJson(const VmListing& aVm) const;
  Json PlatformSettingsJson() const;
  Json MinionSettingsJson() const;
  Result<void> StartDaemons();
  bool WaitForUrl(const std::string& aUrl, Millis aTimeout) const;
  std::string WriteFile(const std::string& aName, const Json& aContent) const;
  std::string BinaryPath(const std::string& aName) const;

  LocalFleetOptions m_options;
  Configuration m_configuration;
  std::vector<VmListing> m_vms; ///< With their loopback addresses.
  std::string m_networkPrefix;  ///< First two octets of all addresses, without a trailing dot.
  asio::io_context m_context;
  /// Prevents other fleets from using the same network prefix.
  asio::ip::tcp::acceptor m_networkLock;
  std::string m_platformUrl;
  std::string m_minionControlUrl;
  std::vector<LocalEntryVm> m_entryVms;
  LocalProcess m_platform;
  LocalProcess m_minions;
  std::map<std::string, LocalProcess> m_daemons; ///< By entry VM.
};

/// Polls aCondition every 20 ms. Returns false when it does not hold before the timeout.
template<typename Condition>
bool WaitUntil(Millis aTimeout, Condition aCondition);

/// Blocks the calling thread. Intended for the polling loops of tests and benchmarks.
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
