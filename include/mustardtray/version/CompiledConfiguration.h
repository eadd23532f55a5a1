#pragma once

/// One configuration version resolved against the VM list: an immutable snapshot that all threads
/// share. A new version or list gives a new snapshot.

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
  std::string m_address; ///< IP number.
  std::uint16_t m_port = 0;
  std::string m_zone;
  std::string m_rack;

  bool operator==(const Minion&) const = default;
};

/// Where a request belongs. The pointers live as long as the snapshot.
struct RequestRoute
{
  const ServiceConfig* m_service = nullptr; ///< Null when no service has the path.
  const QueueConfig* m_queue = nullptr;     ///< Null when no queue of it takes the request.
};

using MinionsByZone = std::map<std::string, std::vector<Minion>>;
using CompiledPointer = std::shared_ptr<const class CompiledConfiguration>;

class CompiledConfiguration
{
public:
  /// Resolves aConfiguration. aPools gives the pool that a VM is really in, by name (its row in the
  /// table); a VM without an entry is in the pool that its labels give.
  static CompiledPointer Compile(Configuration aConfiguration,
                                 const std::vector<VmListing>& aVms,
                                 const std::map<std::string, std::string>& aPools = {});
  CompiledConfiguration(const CompiledConfiguration&) = delete;
  CompiledConfiguration& operator=(const CompiledConfiguration&) = delete;

  std::uint64_t Version() const { return m_configuration.m_version; }
  const Configuration& Source() const { return m_configuration; }

  /// Names of the VMs that are in the pool, in order; empty for an unknown pool.
  const std::vector<std::string>& VmsOf(std::string_view aPool) const;
  /// Pool that the VM is in; empty when it is in none.
  std::string_view PoolOf(std::string_view aVm) const;
  /// Pool that the VM's labels give it, where it has to move when it is in another.
  std::string_view WantedPoolOf(std::string_view aVm) const;
  /// Minions of a service by zone; empty for an unknown service.
  const MinionsByZone& MinionsOf(std::string_view aService) const;
  std::size_t MinionCount(std::string_view aService) const;
  /// Services that run on the VM, in order.
  std::vector<std::string> ServicesOn(std::string_view aVm) const;

  /// The service with the longest prefix of aPath, and its first queue that takes the request.
  RequestRoute FindRoute(std::string_view aMethod, std::string_view aPath) const;

private:
  explicit CompiledConfiguration(Configuration aConfiguration);
  void Place(const VmListing& aVm, const Labels& aLabels, const std::string& aPool);

  Configuration m_configuration;
  std::map<std::string, std::vector<std::string>, std::less<>> m_poolVms;
  std::map<std::string, std::string, std::less<>> m_vmPools;
  std::map<std::string, std::string, std::less<>> m_wantedPools;
  std::map<std::string, MinionsByZone, std::less<>> m_minions;
  std::map<std::string, const ServiceConfig*, std::less<>> m_prefixes;
};

/// The first queue of a service that takes the request; null when there is none.
const QueueConfig* FindQueue(const ServiceConfig& aService,
                             std::string_view aMethod,
                             std::string_view aPath);

} // namespace mustardtray
