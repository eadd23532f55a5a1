#include "bench/FloodLoad.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace mustardtray::bench {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::size_t kServices = 5;
constexpr std::size_t kQueues = 4; ///< Two urgent ones, then two that may wait.
constexpr std::size_t kUrgentQueues = 2;
constexpr int kFewestMinions = 8;
constexpr int kMostMinions = 12;
constexpr double kMeanLoad = 0.22; ///< Of the pool, for each queue: five times it is too much.
constexpr double kBurstFactor = 5;
constexpr double kCalmFactor = 0.05;
constexpr double kFloodFactor = 10; ///< Times the pool.
constexpr double kSkew = 4;
constexpr Seconds kBurst{ 3 };
/// A queue that bursts for this part of the time reaches its mean.
constexpr double kBurstPart = (1 - kCalmFactor) / (kBurstFactor - kCalmFactor);
constexpr Micros kMeanRun = std::chrono::milliseconds(200);

Service MakeService(std::size_t aIndex, std::size_t aZones, std::mt19937_64& aRandom)
{
  Service service;
  service.m_config.m_name = "service-" + std::to_string(aIndex);
  std::uniform_real_distribution<double> hintError(-2, 2);
  for (std::size_t i = 0; i < kQueues; ++i) {
    QueueConfig queue;
    const bool isUrgent = i < kUrgentQueues;
    queue.m_name = "queue-" + std::to_string(i);
    queue.m_urgency = isUrgent ? Urgency::Urgent : Urgency::MayWait;
    queue.m_idempotent = i % 2 == 1;
    queue.m_deadline = isUrgent ? Millis(2'000) : Millis(10'000);
    const double hint = static_cast<double>(kMeanRun.count()) * std::exp2(hintError(aRandom));
    queue.m_expectedRun = CeilMillis(Micros(static_cast<Micros::rep>(hint)));
    queue.m_floorShare = isUrgent ? 0 : 0.1;
    service.m_config.m_queues.push_back(queue);
    service.m_meanRuns.push_back(kMeanRun);
  }
  const int minions = std::uniform_int_distribution<int>(kFewestMinions, kMostMinions)(aRandom);
  for (int i = 0; i < minions; ++i) {
    service.m_minionZones.push_back(static_cast<int>(static_cast<std::size_t>(i) % aZones));
  }
  return service;
}

/// Requests a second of one queue, over time.
class Rate
{
public:
  Rate(const Service& aService, std::size_t aQueue, Seconds aPhase, double aFlood)
    : m_perPool(aService.Slots() / Seconds(aService.m_meanRuns[aQueue]).count())
    , m_phase(aPhase + aQueue * kCycle / double(kQueues))
    , m_flood(aFlood)
  {
  }

  double At(TimePoint aTime) const
  {
    const Seconds passed = aTime - kRunStart;
    const double position = std::fmod((passed + m_phase) / kCycle, 1.0);
    const double factor = position < kBurstPart ? kBurstFactor : kCalmFactor;
    const bool isFlooded = aTime >= kFloodStart && aTime < kFloodEnd;
    return m_perPool * (kMeanLoad * factor + (isFlooded ? m_flood : 0));
  }

  double Highest() const { return m_perPool * (kMeanLoad * kBurstFactor + m_flood); }

private:
  static constexpr Seconds kCycle = kBurst / kBurstPart;
  double m_perPool; ///< Requests a second that the whole pool can run.
  Seconds m_phase;
  double m_flood;
};

std::vector<double> EntryWeights(const Deployment& aDeployment, Spread aSpread)
{
  std::vector<double> weights;
  for (const int count : aDeployment.m_entryVms) {
    for (int i = 0; i < count; ++i) {
      weights.push_back(aSpread == Spread::Skewed && i == 0 ? kSkew : 1);
    }
  }
  return weights;
}

std::size_t FloodedQueue(Scenario aScenario)
{
  switch (aScenario) {
    case Scenario::UrgentFlood:
      return 0;
    case Scenario::MayWaitFlood:
      return kUrgentQueues;
    case Scenario::Quiet:
      break;
  }
  return kQueues;
}

} // namespace

const std::vector<Deployment>& Deployments()
{
  static const std::vector<Deployment> sDeployments{
    { "wroblewski", { 2, 2, 2, 1 }, std::chrono::milliseconds(1) },
    { "cascadia", { 3, 2, 2 }, std::chrono::milliseconds(1) },
  };
  return sDeployments;
}

FloodLoad MakeLoad(const Deployment& aDeployment,
                   Scenario aScenario,
                   Spread aSpread,
                   std::uint64_t aSeed)
{
  FloodLoad load;
  for (std::size_t zone = 0; zone < aDeployment.m_entryVms.size(); ++zone) {
    const auto count = static_cast<std::size_t>(aDeployment.m_entryVms[zone]);
    load.m_entryZones.insert(load.m_entryZones.end(), count, zone);
  }
  const std::vector<double> weights = EntryWeights(aDeployment, aSpread);
  std::mt19937_64 random(aSeed);
  for (std::size_t s = 0; s < kServices; ++s) {
    load.m_services.push_back(MakeService(s, aDeployment.m_entryVms.size(), random));
    const Seconds phase(std::uniform_real_distribution<double>(0, 30)(random));
    for (std::size_t q = 0; q < kQueues; ++q) {
      const bool isFlooded = s == 0 && q == FloodedQueue(aScenario);
      const Rate rate(load.m_services[s], q, phase, isFlooded ? kFloodFactor : 0);
      std::mt19937_64 arrivals(aSeed * 1'000 + s * 10 + q);
      std::exponential_distribution<double> gap(rate.Highest());
      std::exponential_distribution<double> run(1 / Seconds(kMeanRun).count());
      std::uniform_real_distribution<double> accept(0, rate.Highest());
      std::discrete_distribution<std::size_t> entry(weights.begin(), weights.end());
      TimePoint at = kRunStart;
      while (at < kRunStart + kRunLength) {
        at += std::chrono::duration_cast<Micros>(Seconds(gap(arrivals)));
        const Micros length = std::chrono::duration_cast<Micros>(Seconds(run(arrivals)));
        const std::size_t vm = entry(arrivals);
        if (accept(arrivals) < rate.At(at)) {
          load.m_arrivals.push_back({ at, s, q, vm, length + Micros(1) });
        }
      }
    }
  }
  const auto byTime = [](const Arrival& aLeft, const Arrival& aRight) {
    return aLeft.m_at < aRight.m_at;
  };
  std::stable_sort(load.m_arrivals.begin(), load.m_arrivals.end(), byTime);
  return load;
}

} // namespace mustardtray::bench
