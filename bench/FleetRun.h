#pragma once

/// Deployments of known sizes, and a run of controllers over one under virtual time.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bench/VirtualFleet.h"
#include "bench/VirtualPlatform.h"
#include "mustardtray/process/fleet/FleetController.h"

namespace mustardtray {

struct Deployment
{
  std::string m_name;
  std::vector<int> m_entryVmsPerZone;
  std::vector<int> m_minionsPerService; ///< One pool per service; the last is the spare pool.
  AvailabilityBudget m_budget;
  int m_spareMinimum = 0;
  int m_poolMinimum = 0;
};

Deployment WroblewskiDeployment();
Deployment CascadiaDeployment();
/// Two availability zones and two services, for tests.
Deployment SmallDeployment();

std::string ServiceName(std::size_t aIndex);
std::string MinionVm(std::size_t aService, int aIndex);
Configuration BuildConfiguration(const Deployment& aDeployment);

class FleetRun
{
public:
  using Controller = FleetController<VirtualPlatform>;

  FleetRun(const Deployment& aDeployment, std::uint64_t aSeed);

  /// Sets how often entry VMs read and controllers tick; call it first.
  void SetPeriod(Millis aPeriod);
  /// Adds a controller that ticks until its access has ended.
  Controller& AddController(const FleetPolicy& aPolicy);
  void RunFor(Millis aDuration) { m_time.RunUntil(m_time.Now() + aDuration); }
  /// Runs until the condition holds; returns whether it did in time.
  bool RunUntil(const std::function<bool()>& aCondition, Millis aLimit);
  /// Runs until every VM is adopted and every lease taken.
  void Settle();
  /// Asks the controller and runs until it answers; returns the answer.
  Result<std::string> StartWave(Controller& aController, const std::string& aOperationId);

  VirtualFleet& Fleet() { return *m_fleet; }
  VirtualTime& Time() { return m_time; }
  VirtualPlatform& Access(std::size_t aIndex) { return *m_access.at(aIndex); }
  Controller& At(std::size_t aIndex) { return *m_controllers.at(aIndex); }
  const std::vector<std::string>& EntryVms() const { return m_entryVms; }

private:
  void Tick(std::size_t aIndex);

  VirtualTime m_time;
  Millis m_period{ 1'000 };
  std::shared_ptr<const Configuration> m_configuration;
  std::unique_ptr<VirtualFleet> m_fleet;
  std::vector<std::string> m_entryVms;
  std::vector<std::unique_ptr<VirtualPlatform>> m_access;
  std::vector<std::unique_ptr<Controller>> m_controllers;
};

} // namespace mustardtray
