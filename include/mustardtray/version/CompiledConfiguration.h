#pragma once

/// One configuration version resolved against the VM list: an immutable snapshot that all threads
/// share. Each new configuration version or VM list is compiled to a new snapshot.

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "mustardtray/process/Platform.h"
#include "mustardtray/version/Configuration.h"

namespace mustardtray {

/// A service's process on one target VM.
struct Minion
{
  std::string m_vm;
  std::string m_address; ///< IP address.
  std::uint16_t m_port = 0;
  std::string m_zone;
  std::string m_rack;

  bool operator==(const Minion&) const = default;
};

/// The service and queue of a request. The pointers are valid as long as the snapshot exists.
struct RequestRoute
{
  const ServiceConfig* m_service = nullptr; ///< Null when no service has a prefix of the path.
  const QueueConfig* m_queue = nullptr; ///< Null when no queue of the service matches the request.
};

using MinionsByZone = std::map<std::string, std::vector<Minion>>;
using CompiledConfigurationPointer = std::shared_ptr<const class CompiledConfiguration>;

class CompiledConfiguration
{
public:
  /// Resolves aConfiguration. aPools maps VM names to the VM's current pool (from its table row); a
  /// VM without an entry is in the pool whose selector matches its labels.
  static CompiledConfigurationPointer Compile(
    Configuration aConfiguration,
    const std::vector<VmListing>& aVms,
    const std::map<std::string, std::string>& aPools = {});
  CompiledConfiguration(const CompiledConfiguration&) = delete;
  CompiledConfiguration& operator=(const CompiledConfiguration&) = delete;

  std::uint64_t Version() const { return m_configuration.m_version; }
  const Configuration& Source() const { return m_configuration; }

  /// Names of the VMs in the pool, sorted; empty for an unknown pool.
  const std::vector<std::string>& VmsOf(std::string_view aPool) const;
  /// Current pool of the VM; empty when it is in none.
  std::string_view PoolOf(std::string_view aVm) const;
  /// Pool whose selector matches the VM's labels; empty when there is none. A VM whose current pool
  /// differs has to move there.
  std::string_view DesiredPoolOf(std::string_view aVm) const;
  /// Minions of a service by zone; empty for an unknown service.
  const MinionsByZone& MinionsOf(std::string_view aService) const;
  std::size_t MinionCount(std::string_view aService) const;
  /// Names of the services that run on the VM, sorted.
  const std::vector<std::string>& ServicesOn(std::string_view aVm) const;

  /// Finds the service with the longest prefix of aPath and its first queue that matches the
  /// request.
  RequestRoute FindRoute(std::string_view aMethod, std::string_view aPath) const;

private:
  explicit CompiledConfiguration(Configuration aConfiguration);
  void AddVm(const VmListing& aVm, const Labels& aLabels, const std::string& aPool);

  Configuration m_configuration;
  std::map<std::string, std::vector<std::string>, std::less<>> m_vmsByPool;
  std::map<std::string, std::string, std::less<>> m_currentPools;
  std::map<std::string, std::string, std::less<>> m_desiredPools;
  std::map<std::string, MinionsByZone, std::less<>> m_minionsByService;
  std::map<std::string, std::vector<const ServiceConfig*>, std::less<>> m_servicesByPool;
  std::map<std::string, std::vector<std::string>, std::less<>> m_serviceNamesByVm;
  std::map<std::string, const ServiceConfig*, std::less<>> m_servicesByPrefix;
};

/// Returns the first queue of a service that matches the request; null when there is none.
const QueueConfig* FindQueue(const ServiceConfig& aService,
                             std::string_view aMethod,
                             std::string_view aPath);

} // namespace mustardtray
