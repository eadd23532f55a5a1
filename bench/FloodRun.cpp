#include "bench/FloodRun.h"

#include <algorithm>
#include <charconv>
#include <tuple>

#include "mustardtray/process/SlotShares.h"

namespace mustardtray::bench {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Micros kHeartbeat = std::chrono::milliseconds(100);

enum class EventKind
{
  Arrival,   ///< At an entry VM, from a caller or another entry VM.
  Finished,  ///< An attempt at a minion, or a forwarded request.
  SlotFreed, ///< A minion has ended work whose attempt had timed out.
  Wake,
  Heartbeat,
};

std::string NameOf(std::size_t aIndex)
{
  return std::to_string(aIndex);
}

std::size_t IndexOf(const std::string& aName)
{
  std::size_t index = 0;
  std::from_chars(aName.data(), aName.data() + aName.size(), index);
  return index;
}

} // namespace

struct FloodRun::Request
{
  Arrival m_arrival;
  TimePoint m_started;
  std::size_t m_minion = 0;        ///< Of the last attempt.
  std::vector<std::size_t> m_path; ///< Entry VMs that it came through, the holder last.
};

struct FloodRun::Node
{
  std::vector<std::unique_ptr<Scheduler>> m_schedulers;
  std::vector<TimePoint> m_wakes;      ///< Scheduled, by service.
  std::vector<TimePoint> m_measuredAt; ///< By service.
  std::vector<ServiceLoad> m_loads;    ///< Since m_measuredAt.
};

struct FloodRun::Event
{
  EventKind m_kind = EventKind::Arrival;
  std::size_t m_node = 0;
  std::size_t m_service = 0;
  std::size_t m_request = 0; ///< Or the minion of SlotFreed.
  AttemptOutcome m_outcome = AttemptOutcome::Succeeded;
  Hops m_hops;
  Micros m_run{ 0 };
  TimePoint m_at;
  std::uint64_t m_sequence = 0;

  explicit Event(EventKind aKind,
                 std::size_t aNode = 0,
                 std::size_t aService = 0,
                 std::size_t aRequest = 0)
    : m_kind(aKind)
    , m_node(aNode)
    , m_service(aService)
    , m_request(aRequest)
  {
  }

  bool operator<(const Event& aOther) const
  {
    return std::tie(m_at, m_sequence) > std::tie(aOther.m_at, aOther.m_sequence);
  }
};

const std::vector<Policy>& Policies()
{
  const SchedulerPolicy ours;
  const SchedulerPolicy noReserve{ ReservePolicy::None, QueueOrder::ByUrgency };
  const SchedulerPolicy fixedReserve{ ReservePolicy::Fixed, QueueOrder::ByUrgency };
  const SchedulerPolicy firstCome{ ReservePolicy::None, QueueOrder::FirstComeFirstServed };
  static const std::vector<Policy> sPolicies{
    { "mustardtray", ours, Division::EvenShares, true },
    { "static-split", ours, Division::EvenShares, false },
    { "no-reserve", noReserve, Division::EvenShares, true },
    { "fixed-reserve", fixedReserve, Division::EvenShares, true },
    { "first-come", firstCome, Division::EvenShares, true },
    { "one-owner", ours, Division::OneOwner, true },
  };
  return sPolicies;
}

FloodRun::FloodRun(const FloodLoad& aLoad, const Policy& aPolicy, Micros aHop)
  : m_load(aLoad)
  , m_policy(aPolicy)
  , m_hop(aHop)
{
  for (const Service& service : m_load.m_services) {
    m_running.emplace_back(service.m_minionZones.size(), 0);
    ServiceResult result;
    result.m_queues.resize(service.m_config.m_queues.size());
    m_results.push_back(std::move(result));
  }
  const std::size_t services = m_load.m_services.size();
  for (std::size_t n = 0; n < m_load.m_entryZones.size(); ++n) {
    Node node;
    node.m_wakes.assign(services, TimePoint::max());
    node.m_measuredAt.assign(services, kRunStart);
    node.m_loads.resize(services);
    for (std::size_t s = 0; s < services; ++s) {
      node.m_schedulers.push_back(
        std::make_unique<Scheduler>(m_load.m_services[s].m_config, aPolicy.m_scheduler));
      node.m_schedulers.back()->SetMinions(kRunStart, SharesOf(n, s));
    }
    m_nodes.push_back(std::move(node));
  }
}

FloodRun::~FloodRun() = default;

Scheduler& FloodRun::At(std::size_t aNode, std::size_t aService)
{
  return *m_nodes[aNode].m_schedulers[aService];
}

std::vector<MinionShare> FloodRun::SharesOf(std::size_t aNode, std::size_t aService) const
{
  const auto& zones = m_load.m_entryZones;
  const std::size_t zone = zones[aNode];
  const auto first = std::find(zones.begin(), zones.end(), zone);
  const auto members = static_cast<std::size_t>(std::count(zones.begin(), zones.end(), zone));
  const std::size_t index = aNode - static_cast<std::size_t>(first - zones.begin());
  const Service& service = m_load.m_services[aService];
  std::vector<MinionShare> shares;
  std::size_t inZone = 0;
  for (std::size_t m = 0; m < service.m_minionZones.size(); ++m) {
    if (static_cast<std::size_t>(service.m_minionZones[m]) != zone) {
      continue;
    }
    const std::string name = NameOf(m);
    const bool isOwner = inZone++ % members == index;
    int slots = EvenShare(service.m_config.m_slots, index, members, name);
    if (m_policy.m_division == Division::OneOwner) {
      slots = isOwner ? service.m_config.m_slots : 0;
    }
    shares.push_back({ name, slots, service.m_config.m_connections / static_cast<int>(members) });
  }
  return shares;
}

void FloodRun::Add(TimePoint aAt, Event aEvent)
{
  aEvent.m_at = aAt;
  aEvent.m_sequence = ++m_sequence;
  m_events.push(aEvent);
}

std::vector<ServiceResult> FloodRun::Run()
{
  Add(kRunStart, Event(EventKind::Heartbeat));
  for (const Arrival& arrival : m_load.m_arrivals) {
    m_requests.push_back({ arrival, {}, 0, {} });
  }
  std::size_t next = 0;
  while (next < m_requests.size() || !m_events.empty()) {
    const bool isArrival =
      next < m_requests.size() &&
      (m_events.empty() || m_requests[next].m_arrival.m_at < m_events.top().m_at);
    if (isArrival) {
      const Arrival& arrival = m_requests[next].m_arrival;
      m_now = arrival.m_at;
      Arrive(arrival.m_entryVm, next++, {});
      continue;
    }
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.m_at;
    Handle(event);
  }
  return std::move(m_results);
}

void FloodRun::Handle(const Event& aEvent)
{
  switch (aEvent.m_kind) {
    case EventKind::Arrival:
      Arrive(aEvent.m_node, aEvent.m_request, aEvent.m_hops);
      break;
    case EventKind::Finished:
      Finish(aEvent.m_node, aEvent.m_request, aEvent.m_outcome, aEvent.m_run);
      break;
    case EventKind::SlotFreed:
      --m_running[aEvent.m_service][aEvent.m_request];
      At(aEvent.m_node, aEvent.m_service).OnSlotFreed(m_now, NameOf(aEvent.m_request));
      Pump(aEvent.m_node, aEvent.m_service);
      break;
    case EventKind::Wake:
      m_nodes[aEvent.m_node].m_wakes[aEvent.m_service] = TimePoint::max();
      Pump(aEvent.m_node, aEvent.m_service);
      break;
    case EventKind::Heartbeat:
      ShareLoads();
      break;
  }
}

void FloodRun::ShareLoads()
{
  if (m_now > kRunStart + kRunLength) {
    return;
  }
  Add(m_now + kHeartbeat, Event(EventKind::Heartbeat));
  for (std::size_t s = 0; s < m_load.m_services.size() && m_policy.m_forwards; ++s) {
    for (std::size_t to = 0; to < m_nodes.size(); ++to) {
      std::vector<PeerCapacity> rooms;
      for (std::size_t from = 0; from < m_nodes.size(); ++from) {
        if (from == to) {
          continue;
        }
        const ServiceLoad load = At(from, s).Load(m_now);
        const bool sameZone = m_load.m_entryZones[from] == m_load.m_entryZones[to];
        rooms.push_back(
          { NameOf(from), sameZone, load.m_freeUrgent, load.m_freeMayWait, 2 * m_hop });
      }
      At(to, s).SetPeers(m_now, std::move(rooms));
    }
  }
  for (std::size_t s = 0; s < m_load.m_services.size(); ++s) {
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
      Pump(n, s);
    }
  }
}

void FloodRun::Arrive(std::size_t aNode, std::size_t aRequest, const Hops& aHops)
{
  Request& request = m_requests[aRequest];
  const Arrival& arrival = request.m_arrival;
  const QueueConfig& queue =
    m_load.m_services[arrival.m_service].m_config.m_queues[arrival.m_queue];
  if (request.m_path.empty()) {
    QueueResult& result = m_results[arrival.m_service].m_queues[arrival.m_queue];
    ++result.m_asked;
    if (m_now >= kFloodStart && m_now < kFloodEnd) {
      const auto second = static_cast<std::size_t>((m_now - kFloodStart) / std::chrono::seconds(1));
      result.m_askedInFlood[second] += Seconds(arrival.m_run).count();
    }
  }
  request.m_path.push_back(aNode);
  const RequestInfo info{
    aRequest, arrival.m_queue, arrival.m_at + queue.m_deadline, queue.m_idempotent, aHops
  };
  if (At(aNode, arrival.m_service).Offer(m_now, info)) {
    End(aNode, aRequest, NextStep::Refuse);
  }
  Pump(aNode, arrival.m_service);
}

void FloodRun::Pump(std::size_t aNode, std::size_t aService)
{
  Scheduler& scheduler = At(aNode, aService);
  MeasureReserve(aNode, aService);
  while (const auto assignment = scheduler.Next(m_now)) {
    Send(aNode, aService, *assignment);
  }
  for (const ExpiredRequest& expired : scheduler.Expire(m_now)) {
    const bool mayHaveRun = expired.m_refusal.m_mayHaveRun;
    End(aNode, expired.m_request, mayHaveRun ? NextStep::Unknown : NextStep::Refuse);
  }
  m_nodes[aNode].m_loads[aService] = scheduler.Load(m_now);
  const auto wake = scheduler.NextWake(m_now);
  TimePoint& scheduled = m_nodes[aNode].m_wakes[aService];
  if (wake && *wake < scheduled) {
    scheduled = std::max(*wake, m_now + Micros(1));
    Add(scheduled, Event(EventKind::Wake, aNode, aService));
  }
}

void FloodRun::Send(std::size_t aNode, std::size_t aService, const Assignment& aAssignment)
{
  Request& request = m_requests[aAssignment.m_request];
  Event event(EventKind::Finished, aNode, aService, aAssignment.m_request);
  if (aAssignment.m_target.m_kind == TargetKind::EntryVm) {
    event.m_kind = EventKind::Arrival;
    event.m_node = IndexOf(aAssignment.m_target.m_id);
    event.m_hops = aAssignment.m_hops;
    Add(m_now + m_hop, event);
    return;
  }
  const std::size_t minion = IndexOf(aAssignment.m_target.m_id);
  int& running = m_running[aService][minion];
  ++running;
  m_results[aService].m_peakSlots = std::max(m_results[aService].m_peakSlots, running);
  request.m_started = m_now;
  const Micros run = request.m_arrival.m_run;
  if (m_now >= kFloodStart && m_now < kFloodEnd) {
    QueueResult& result = m_results[aService].m_queues[request.m_arrival.m_queue];
    result.m_servedInFlood += Seconds(run).count();
  }
  event.m_run = std::min(run, aAssignment.m_timeout);
  event.m_outcome =
    run <= aAssignment.m_timeout ? AttemptOutcome::Succeeded : AttemptOutcome::TimedOut;
  Add(m_now + event.m_run, event);
  request.m_minion = minion;
  if (event.m_outcome == AttemptOutcome::TimedOut) {
    Add(m_now + run, Event(EventKind::SlotFreed, aNode, aService, minion));
  }
}

void FloodRun::Finish(std::size_t aNode, std::size_t aRequest, AttemptOutcome aOutcome, Micros aRun)
{
  const Request& request = m_requests[aRequest];
  const std::size_t service = request.m_arrival.m_service;
  const bool wasAtMinion = aRun > Micros(0);
  if (wasAtMinion && aOutcome == AttemptOutcome::Succeeded) {
    --m_running[service][request.m_minion];
  }
  MeasureReserve(aNode, service);
  const AttemptDecision verdict =
    At(aNode, service).OnAttemptFinished(m_now, aRequest, aOutcome, aRun);
  if (verdict.m_step != NextStep::Retry) {
    End(aNode, aRequest, verdict.m_step);
  }
  Pump(aNode, service);
}

void FloodRun::End(std::size_t aNode, std::size_t aRequest, NextStep aStep)
{
  Request& request = m_requests[aRequest];
  request.m_path.pop_back();
  if (request.m_path.empty()) {
    Settle(request, aStep);
    return;
  }
  Event event(EventKind::Finished, request.m_path.back(), request.m_arrival.m_service, aRequest);
  event.m_outcome = AttemptOutcome::Succeeded;
  if (aStep != NextStep::PassOn) {
    event.m_outcome =
      aStep == NextStep::Refuse ? AttemptOutcome::RefusedNotRun : AttemptOutcome::Broken;
  }
  Add(m_now + m_hop, event);
}

void FloodRun::Settle(const Request& aRequest, NextStep aStep)
{
  const Arrival& arrival = aRequest.m_arrival;
  QueueResult& result = m_results[arrival.m_service].m_queues[arrival.m_queue];
  if (aStep == NextStep::PassOn) {
    ++result.m_answered;
    result.m_waits.push_back(aRequest.m_started - arrival.m_at);
  } else if (aStep == NextStep::Refuse) {
    ++result.m_refused;
  } else {
    ++result.m_unknown;
  }
}

void FloodRun::MeasureReserve(std::size_t aNode, std::size_t aService)
{
  Node& node = m_nodes[aNode];
  const TimePoint end = kRunStart + kRunLength;
  const Seconds passed = std::min(m_now, end) - std::min(node.m_measuredAt[aService], end);
  node.m_measuredAt[aService] = m_now;
  const ServiceLoad& load = node.m_loads[aService];
  const double reserved = std::min(load.m_reserve, load.m_freeUrgent) * passed.count();
  ServiceResult& result = m_results[aService];
  result.m_slotSeconds += load.m_slots * passed.count();
  result.m_reservedSeconds += reserved;
  result.m_withheldSeconds += load.m_queuedMayWait > 0 ? reserved : 0;
}

} // namespace mustardtray::bench
