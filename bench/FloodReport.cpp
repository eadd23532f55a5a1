#include "bench/FloodReport.h"

#include <algorithm>
#include <optional>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mustardtray::bench {

namespace {

/// Sums over the queues of one service that have an urgency, or over all.
struct Totals
{
  int m_answered = 0;
  int m_asked = 0;
  std::vector<Micros> m_waits;
};

Totals Sum(const Service& aService, const ServiceResult& aResult, std::optional<Urgency> aUrgency)
{
  Totals totals;
  for (std::size_t q = 0; q < aResult.m_queues.size(); ++q) {
    if (aUrgency && aService.m_config.m_queues[q].m_urgency != *aUrgency) {
      continue;
    }
    const QueueResult& queue = aResult.m_queues[q];
    totals.m_answered += queue.m_answered;
    totals.m_asked += queue.m_asked;
    totals.m_waits.insert(totals.m_waits.end(), queue.m_waits.begin(), queue.m_waits.end());
  }
  std::sort(totals.m_waits.begin(), totals.m_waits.end());
  return totals;
}

double Quantile(const std::vector<Micros>& aSorted, double aPart)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(aPart * static_cast<double>(aSorted.size() - 1));
  return std::chrono::duration<double, std::milli>(aSorted[index]).count();
}

double Ratio(double aPart, double aWhole)
{
  return aWhole <= 0 ? 1 : aPart / aWhole;
}

double LeastKeptOther(const FloodLoad& aLoad,
                      const std::vector<ServiceResult>& aQuiet,
                      const std::vector<ServiceResult>& aFlood)
{
  double least = 1;
  for (std::size_t s = 1; s < aQuiet.size(); ++s) {
    const int quiet = Sum(aLoad.m_services[s], aQuiet[s], std::nullopt).m_answered;
    const int flood = Sum(aLoad.m_services[s], aFlood[s], std::nullopt).m_answered;
    least = std::min(least, Ratio(flood, quiet));
  }
  return least;
}

/// Slot-seconds that a queue gets during the flood from its floor alone. Work that cannot start
/// before its deadline at that speed is not owed.
double OwedByFloor(const QueueResult& aQueue, double aFloorSlots, Millis aDeadline)
{
  const double mostBacklog = aFloorSlots * std::chrono::duration<double>(aDeadline).count();
  double backlog = 0;
  double owed = 0;
  for (const double asked : aQueue.m_askedInFlood) {
    backlog = std::min(backlog + asked, mostBacklog);
    const double served = std::min(backlog, aFloorSlots);
    backlog -= served;
    owed += served;
  }
  return owed;
}

double LeastFloor(const Service& aService, const ServiceResult& aFlood)
{
  double least = 1;
  for (std::size_t q = 0; q < aFlood.m_queues.size(); ++q) {
    const QueueConfig& config = aService.m_config.m_queues[q];
    if (config.m_urgency == Urgency::Urgent) {
      continue;
    }
    const QueueResult& queue = aFlood.m_queues[q];
    const double floorSlots = config.m_floorShare * aService.Slots();
    const double owed = OwedByFloor(queue, floorSlots, config.m_deadline);
    least = std::min(least, Ratio(queue.m_servedInFlood, owed));
  }
  return least;
}

void CountAll(FloodMeasures& aMeasures, const std::vector<ServiceResult>& aResults)
{
  for (const ServiceResult& service : aResults) {
    aMeasures.m_peakSlots = std::max(aMeasures.m_peakSlots, service.m_peakSlots);
    for (const QueueResult& queue : service.m_queues) {
      aMeasures.m_refused += queue.m_refused;
      aMeasures.m_unknown += queue.m_unknown;
    }
  }
}

void MeasureBuffer(FloodMeasures& aMeasures, const std::vector<ServiceResult>& aQuiet)
{
  double slots = 0;
  double reserved = 0;
  double withheld = 0;
  for (const ServiceResult& service : aQuiet) {
    slots += service.m_slotSeconds;
    reserved += service.m_reservedSeconds;
    withheld += service.m_withheldSeconds;
  }
  aMeasures.m_buffer = Ratio(reserved, slots);
  aMeasures.m_withheld = Ratio(withheld, slots);
}

double Mean(const std::vector<FloodMeasures>& aMeasures, double FloodMeasures::*aField)
{
  double sum = 0;
  for (const FloodMeasures& measures : aMeasures) {
    sum += measures.*aField;
  }
  return sum / static_cast<double>(aMeasures.size());
}

double Least(const std::vector<FloodMeasures>& aMeasures, double FloodMeasures::*aField)
{
  double least = aMeasures.front().*aField;
  for (const FloodMeasures& measures : aMeasures) {
    least = std::min(least, measures.*aField);
  }
  return least;
}

} // namespace

FloodMeasures Measure(const FloodLoad& aLoad,
                      const std::vector<ServiceResult>& aQuiet,
                      const std::vector<ServiceResult>& aMayWaitFlood,
                      const std::vector<ServiceResult>& aUrgentFlood)
{
  FloodMeasures measures;
  const Service& flooded = aLoad.m_services.front();
  MeasureBuffer(measures, aQuiet);
  const Totals quiet = Sum(flooded, aQuiet.front(), Urgency::Urgent);
  const Totals flood = Sum(flooded, aMayWaitFlood.front(), Urgency::Urgent);
  measures.m_urgentKept = Ratio(flood.m_answered, quiet.m_answered);
  measures.m_quietP50 = Quantile(quiet.m_waits, 0.5);
  measures.m_quietP99 = Quantile(quiet.m_waits, 0.99);
  measures.m_floodP50 = Quantile(flood.m_waits, 0.5);
  measures.m_floodP99 = Quantile(flood.m_waits, 0.99);
  measures.m_othersMayWaitFlood = LeastKeptOther(aLoad, aQuiet, aMayWaitFlood);
  measures.m_othersUrgentFlood = LeastKeptOther(aLoad, aQuiet, aUrgentFlood);
  measures.m_floor = LeastFloor(flooded, aUrgentFlood.front());
  const Totals mayWaitQuiet = Sum(flooded, aQuiet.front(), Urgency::MayWait);
  const Totals mayWaitFlood = Sum(flooded, aUrgentFlood.front(), Urgency::MayWait);
  measures.m_mayWaitKept = Ratio(mayWaitFlood.m_answered, mayWaitQuiet.m_answered);
  Totals all;
  for (std::size_t s = 0; s < aQuiet.size(); ++s) {
    const Totals service = Sum(aLoad.m_services[s], aQuiet[s], std::nullopt);
    all.m_answered += service.m_answered;
    all.m_asked += service.m_asked;
  }
  measures.m_answered = Ratio(all.m_answered, all.m_asked);
  CountAll(measures, aQuiet);
  CountAll(measures, aMayWaitFlood);
  CountAll(measures, aUrgentFlood);
  return measures;
}

std::string JsonLine(const std::string& aDeployment,
                     const std::string& aPolicy,
                     std::uint64_t aSeed,
                     const FloodMeasures& aMeasures)
{
  const nlohmann::ordered_json line{
    { "deployment", aDeployment },
    { "policy", aPolicy },
    { "seed", aSeed },
    { "buffer", aMeasures.m_buffer },
    { "withheld", aMeasures.m_withheld },
    { "urgent_kept", aMeasures.m_urgentKept },
    { "urgent_wait_quiet_p50_ms", aMeasures.m_quietP50 },
    { "urgent_wait_quiet_p99_ms", aMeasures.m_quietP99 },
    { "urgent_wait_flood_p50_ms", aMeasures.m_floodP50 },
    { "urgent_wait_flood_p99_ms", aMeasures.m_floodP99 },
    { "others_kept_may_wait_flood", aMeasures.m_othersMayWaitFlood },
    { "others_kept_urgent_flood", aMeasures.m_othersUrgentFlood },
    { "floor_kept", aMeasures.m_floor },
    { "may_wait_kept_urgent_flood", aMeasures.m_mayWaitKept },
    { "answered_quiet", aMeasures.m_answered },
    { "refused", aMeasures.m_refused },
    { "unknown", aMeasures.m_unknown },
    { "peak_slots", aMeasures.m_peakSlots },
  };
  return line.dump();
}

std::string TableHead()
{
  return fmt::format("{:<11} {:<14} {:>7} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>8} "
                     "{:>8} {:>9} {:>7} {:>4}",
                     "deployment",
                     "policy",
                     "buffer%",
                     "withheld",
                     "urgent%",
                     "worst%",
                     "quietP99",
                     "floodP50",
                     "floodP99",
                     "others%",
                     "floor%",
                     "maywait%",
                     "answer%",
                     "refused",
                     "unknown",
                     "peak");
}

std::string TableRow(const std::string& aDeployment,
                     const std::string& aPolicy,
                     const std::vector<FloodMeasures>& aMeasures)
{
  double refused = 0;
  double unknown = 0;
  int peak = 0;
  for (const FloodMeasures& measures : aMeasures) {
    refused += measures.m_refused;
    unknown += measures.m_unknown;
    peak = std::max(peak, measures.m_peakSlots);
  }
  const double others = std::min(Least(aMeasures, &FloodMeasures::m_othersMayWaitFlood),
                                 Least(aMeasures, &FloodMeasures::m_othersUrgentFlood));
  return fmt::format("{:<11} {:<14} {:>7.2f} {:>8.2f} {:>8.2f} {:>8.2f} {:>8.1f} {:>8.1f} {:>8.1f} "
                     "{:>7.1f} {:>7.1f} {:>8.1f} {:>8.2f} {:>9.0f} {:>7.0f} {:>4}",
                     aDeployment,
                     aPolicy,
                     100 * Mean(aMeasures, &FloodMeasures::m_buffer),
                     100 * Mean(aMeasures, &FloodMeasures::m_withheld),
                     100 * Mean(aMeasures, &FloodMeasures::m_urgentKept),
                     100 * Least(aMeasures, &FloodMeasures::m_urgentKept),
                     Mean(aMeasures, &FloodMeasures::m_quietP99),
                     Mean(aMeasures, &FloodMeasures::m_floodP50),
                     Mean(aMeasures, &FloodMeasures::m_floodP99),
                     100 * others,
                     100 * Least(aMeasures, &FloodMeasures::m_floor),
                     100 * Mean(aMeasures, &FloodMeasures::m_mayWaitKept),
                     100 * Mean(aMeasures, &FloodMeasures::m_answered),
                     refused,
                     unknown,
                     peak);
}

} // namespace mustardtray::bench
