#include "process/PoolDemand.h"

namespace mustardtray {

void DemandMeter::OnReport(TimePoint aNow, const TrafficReport& aReport)
{
  const bool isFirst = m_lastReportAt == TimePoint::min();
  const double seconds = isFirst ? 0 : std::chrono::duration<double>(aNow - m_lastReportAt).count();
  m_lastReportAt = aNow;
  for (const auto& [service, arrivals] : aReport.m_arrivals) {
    std::uint64_t& before = m_arrivals[service];
    const auto load = aReport.m_loads.find(service);
    const bool isKnown = seconds > 0 && load != aReport.m_loads.end() && arrivals >= before;
    if (isKnown) {
      const double run = std::chrono::duration<double>(load->second.m_meanRunTime).count();
      m_demand[service] = static_cast<double>(arrivals - before) / seconds * run;
    }
    before = arrivals;
  }
}

std::vector<PoolLoad> PoolLoadsOf(const Configuration& aConfiguration,
                                  const Demand& aOwn,
                                  const PeerTable& aPeers,
                                  TimePoint aNow)
{
  Demand total = aOwn;
  for (const auto& [node, peer] : aPeers.All()) {
    if (!aPeers.IsAlive(aNow, peer)) {
      continue;
    }
    for (const auto& [service, free] : peer.m_lastHeartbeat.m_freeSlots) {
      total[service] += free.m_demand;
    }
  }
  std::map<std::string, double> busyVms;
  for (const auto& [name, service] : aConfiguration.m_services) {
    busyVms[service.m_pool] += total[name] / service.m_slots;
  }
  std::vector<PoolLoad> loads;
  for (const auto& [pool, busy] : busyVms) {
    loads.push_back({ pool, busy });
  }
  return loads;
}

} // namespace mustardtray
