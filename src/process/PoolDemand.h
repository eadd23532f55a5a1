#pragma once

/// Turns what entry VMs see of the services' demand into the load of each pool, which decides moves
/// of VMs between pools. Pure.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mustardtray/process/PeerTable.h"
#include "mustardtray/process/Time.h"
#include "mustardtray/process/fleet/MovePlanner.h"
#include "mustardtray/request/RoutingSnapshot.h"
#include "mustardtray/version/Configuration.h"

namespace mustardtray {

/// Demand by service, in slots kept busy: arrivals a second times run time in seconds.
using Demand = std::map<std::string, double>;

/// Follows the arrivals of this entry VM from report to report.
class DemandMeter
{
public:
  void OnReport(TimePoint aNow, const TrafficReport& aReport);
  const Demand& Latest() const { return m_demand; }

private:
  TimePoint m_last = TimePoint::min();
  std::map<std::string, std::uint64_t> m_arrivals;
  Demand m_demand;
};

/// Loads of all pools, from this entry VM's demand and that of the peers that are alive.
std::vector<PoolLoad> PoolLoadsOf(const Configuration& aConfiguration,
                                  const Demand& aOwn,
                                  const PeerTable& aPeers,
                                  TimePoint aNow);

} // namespace mustardtray
