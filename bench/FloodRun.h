#pragma once

/// Runs the schedulers of all entry VMs under virtual time and measures what becomes of requests.

#include <array>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "bench/FloodLoad.h"
#include "mustardtray/request/Scheduler.h"

namespace mustardtray::bench {

/// How minions are divided among the entry VMs of a zone.
enum class Division
{
  EvenShares, ///< Each entry VM has its share of each minion.
  OneOwner,   ///< Each minion belongs to one entry VM.
};

/// What is compared.
struct Policy
{
  std::string m_name;
  SchedulerPolicy m_scheduler;
  Division m_division = Division::EvenShares;
  bool m_forwards = true; ///< Requests may go to other entry VMs.
};

const std::vector<Policy>& Policies();

inline constexpr std::size_t kFloodSeconds = (kFloodEnd - kFloodStart) / std::chrono::seconds(1);

/// What became of one queue's requests.
struct QueueResult
{
  int m_asked = 0;
  int m_answered = 0;
  int m_refused = 0;
  int m_unknown = 0;
  /// Slot-seconds that arrived in each second of the flood.
  std::array<double, kFloodSeconds> m_askedInFlood{};
  double m_servedInFlood = 0;  ///< Slot-seconds that started during the flood.
  std::vector<Micros> m_waits; ///< From arrival to the start at a minion, of answered requests.
};

struct ServiceResult
{
  std::vector<QueueResult> m_queues;
  double m_slotSeconds = 0;
  double m_reservedSeconds = 0; ///< Slot time that stood free in the reserve.
  double m_withheldSeconds = 0; ///< The part of it while may-wait work waited.
  int m_peakSlots = 0;          ///< Highest number of requests at one minion.
};

/// One policy on one load.
class FloodRun
{
public:
  FloodRun(const FloodLoad& aLoad, const Policy& aPolicy, Micros aHop);
  ~FloodRun();

  std::vector<ServiceResult> Run();

private:
  struct Request;
  struct Node;
  struct Event;

  void Add(TimePoint aAt, Event aEvent);
  void Handle(const Event& aEvent);
  void Arrive(std::size_t aNode, std::size_t aRequest, const Hops& aHops);
  void Pump(std::size_t aNode, std::size_t aService);
  void Send(std::size_t aNode, std::size_t aService, const Assignment& aAssignment);
  void Finish(std::size_t aNode, std::size_t aRequest, AttemptOutcome aOutcome, Micros aRun);
  void End(std::size_t aNode, std::size_t aRequest, NextStep aStep);
  void Settle(const Request& aRequest, NextStep aStep);
  void ShareLoads();
  void MeasureReserve(std::size_t aNode, std::size_t aService);
  std::vector<MinionShare> SharesOf(std::size_t aNode, std::size_t aService) const;
  Scheduler& At(std::size_t aNode, std::size_t aService);

  const FloodLoad& m_load;
  const Policy& m_policy;
  Micros m_hop;
  TimePoint m_now = kRunStart;
  std::uint64_t m_sequence = 0;
  std::vector<Request> m_requests;
  std::vector<Node> m_nodes;
  std::vector<std::vector<int>> m_running; ///< By service and minion.
  std::priority_queue<Event> m_events;
  std::vector<ServiceResult> m_results;
};

} // namespace mustardtray::bench
