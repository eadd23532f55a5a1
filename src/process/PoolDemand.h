#pragma once

/// Computes the load of each pool from the demand that the entry VMs measure per service. The load
/// decides moves of VMs between pools. No I/O.

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

/// Demand by service in busy slots: arrivals per second times mean run time in seconds.
using Demand = std::map<std::string, double>;

/// Measures this entry VM's demand from the arrivals between two reports.
class DemandMeter
{
public:
  void OnReport(TimePoint aNow, const TrafficReport& aReport);
  const Demand& Latest() const { return m_demand; }

private:
  TimePoint m_lastReportAt = TimePoint::min();
  std::map<std::string, std::uint64_t> m_arrivals;
  Demand m_demand;
};

/// Loads of all pools from the demand of this entry VM and of the peers that are alive.
std::vector<PoolLoad> PoolLoadsOf(const Configuration& aConfiguration,
                                  const Demand& aOwn,
                                  const PeerTable& aPeers,
                                  TimePoint aNow);

} // namespace mustardtray
