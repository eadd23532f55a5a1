#include "bench/FleetRun.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace mustardtray {

namespace {

constexpr int kVmsPerRack = 4;
constexpr Millis kStep{ 1'000 };
constexpr Millis kSettleLimit{ 120'000 };
constexpr std::array kServices{ "one", "two", "three", "four", "five" };

std::string ZoneName(std::size_t aZone)
{
  return fmt::format("zone-{}", aZone + 1);
}

VmListing Listing(const std::string& aName, VmRole aRole, const std::string& aZone, int aAddress)
{
  VmListing listing;
  listing.m_name = aName;
  listing.m_role = aRole;
  listing.m_zone = aZone;
  listing.m_address = fmt::format("10.0.{}.{}", aAddress / 250, aAddress % 250 + 1);
  return listing;
}

/// Deals the VMs of all services out to racks in turn, so that a rack holds several services.
std::vector<VmListing> TargetListings(const Deployment& aDeployment)
{
  std::vector<VmListing> listings;
  std::map<std::string, int> zoneCounts;
  const auto most = *std::max_element(aDeployment.m_minionsPerService.begin(),
                                      aDeployment.m_minionsPerService.end());
  for (int i = 0; i < most; ++i) {
    for (std::size_t service = 0; service < aDeployment.m_minionsPerService.size(); ++service) {
      if (i >= aDeployment.m_minionsPerService[service]) {
        continue;
      }
      const auto zoneCount = aDeployment.m_entryVmsPerZone.size();
      const std::string zone = ZoneName(static_cast<std::size_t>(i) % zoneCount);
      const int address = 100 + static_cast<int>(listings.size());
      VmListing listing = Listing(MinionVm(service, i), VmRole::Target, zone, address);
      listing.m_rack = fmt::format("{}-rack-{}", zone, zoneCounts[zone]++ / kVmsPerRack);
      listings.push_back(std::move(listing));
    }
  }
  return listings;
}

} // namespace

Deployment WroblewskiDeployment()
{
  return { "wroblewski", { 2, 2, 2, 1 }, { 8, 9, 10, 11, 12 }, { 3, 1 }, 8, 4 };
}

Deployment CascadiaDeployment()
{
  return { "cascadia", { 3, 2, 2 }, { 8, 9, 10, 11, 12 }, { 3, 1 }, 8, 4 };
}

Deployment SmallDeployment()
{
  return { "small", { 2, 1 }, { 4, 4 }, { 2, 1 }, 2, 2 };
}

std::string ServiceName(std::size_t aIndex)
{
  return kServices.at(aIndex);
}

std::string MinionVm(std::size_t aService, int aIndex)
{
  return fmt::format("{}-{:02}", ServiceName(aService), aIndex + 1);
}

Configuration BuildConfiguration(const Deployment& aDeployment)
{
  Configuration configuration;
  configuration.m_version = 1;
  for (std::size_t i = 0; i < aDeployment.m_minionsPerService.size(); ++i) {
    const std::string name = ServiceName(i);
    const bool isSpare = i + 1 == aDeployment.m_minionsPerService.size();
    PoolConfig pool;
    pool.m_name = name;
    pool.m_selector.m_anyOf["work"] = { name };
    pool.m_minVms = isSpare ? aDeployment.m_spareMinimum : aDeployment.m_poolMinimum;
    configuration.m_pools[name] = pool;
    ServiceConfig service;
    service.m_name = name;
    service.m_pool = name;
    service.m_budget = aDeployment.m_budget;
    configuration.m_services[name] = service;
    for (int vm = 0; vm < aDeployment.m_minionsPerService[i]; ++vm) {
      configuration.m_vmLabels[MinionVm(i, vm)] = Labels{ { "work", name } };
    }
    configuration.m_sparePool = name;
  }
  return configuration;
}

FleetRun::FleetRun(const Deployment& aDeployment, std::uint64_t aSeed)
  : m_configuration(std::make_shared<Configuration>(BuildConfiguration(aDeployment)))
  , m_fleet(std::make_unique<VirtualFleet>(m_time, *m_configuration, aSeed))
{
  for (const VmListing& listing : TargetListings(aDeployment)) {
    m_fleet->AddVm(listing);
  }
  for (std::size_t zone = 0; zone < aDeployment.m_entryVmsPerZone.size(); ++zone) {
    for (int i = 0; i < aDeployment.m_entryVmsPerZone[zone]; ++i) {
      const std::string name = fmt::format("entry-{}-{}", zone + 1, i + 1);
      const int address = static_cast<int>(m_entryVms.size());
      m_entryVms.push_back(name);
      m_fleet->AddVm(Listing(name, VmRole::Entry, ZoneName(zone), address));
    }
  }
}

void FleetRun::SetPeriod(Millis aPeriod)
{
  m_period = aPeriod;
  m_fleet->Times().m_entryPeriod = aPeriod;
}

FleetRun::Controller& FleetRun::AddController(const FleetPolicy& aPolicy)
{
  const std::size_t index = m_controllers.size();
  m_access.push_back(std::make_unique<VirtualPlatform>(*m_fleet));
  m_controllers.push_back(
    std::make_unique<Controller>(*m_access.back(), m_entryVms.at(index), aPolicy));
  m_controllers.back()->SetConfiguration(m_configuration);
  std::uniform_int_distribution<std::int64_t> offset(0, m_period.count());
  m_time.After(Millis(offset(m_fleet->Random())), [this, index] { Tick(index); });
  return *m_controllers.back();
}

bool FleetRun::RunUntil(const std::function<bool()>& aCondition, Millis aLimit)
{
  const TimePoint end = m_time.Now() + aLimit;
  while (!aCondition() && m_time.Now() < end) {
    RunFor(kStep);
  }
  return aCondition();
}

void FleetRun::Settle()
{
  const std::size_t count = m_configuration->m_vmLabels.size();
  RunUntil([this, count] { return m_fleet->View().m_vms.size() == count; }, kSettleLimit);
  RunFor(m_period * 5);
}

Result<std::string> FleetRun::StartWave(Controller& aController, const std::string& aOperationId)
{
  std::optional<Result<std::string>> answer;
  aController.Maintain(
    Selector{}, aOperationId, [&answer](Result<std::string> aResult) { answer = aResult; });
  RunUntil([&answer] { return answer.has_value(); }, kSettleLimit);
  if (!answer) {
    return Error{ ErrorKind::Unknown, "start wave", "", "no answer" };
  }
  return *answer;
}

void FleetRun::Tick(std::size_t aIndex)
{
  if (m_access[aIndex]->HasEnded()) {
    return;
  }
  m_controllers[aIndex]->Tick(m_time.Now(), m_time.WallNow());
  m_time.After(m_period, [this, aIndex] { Tick(aIndex); });
}

} // namespace mustardtray
