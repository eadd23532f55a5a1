#include "bench/FleetBench.h"

#include <algorithm>
#include <random>

namespace mustardtray {

namespace {

constexpr std::size_t kControllers = 2;
constexpr Millis kPeriod{ 5'000 }; ///< Of controllers and entry VMs; hours need no finer grain.
constexpr int kTraceSeconds = 3 * 3'600;
constexpr double kBurstFactor = 5;
constexpr double kQuietFactor = 0.05;
constexpr double kMeanUse = 0.55; ///< Of a pool's capacity, over bursts and quiet.
constexpr int kDeficitVms = 2;    ///< VMs that a grown mean lacks.
constexpr int kDeficitStart = 1'800;
constexpr int kDeficitLength = 2 * 3'600; ///< Seconds.

/// The mean comes as bursts of five times the mean, a twentieth of it in between.
class PoolTrace
{
public:
  PoolTrace(double aMean, std::mt19937_64& aRandom)
    : m_mean(aMean)
  {
    std::uniform_int_distribution<int> length(5, 15);
    m_burst = length(aRandom);
    const double share = (1 - kQuietFactor) / (kBurstFactor - kQuietFactor);
    m_period = static_cast<int>(m_burst / share);
    std::uniform_int_distribution<int> phase(0, m_period - 1);
    m_phase = phase(aRandom);
  }

  double At(int aSecond, double aGrowth) const
  {
    const bool isBurst = (aSecond + m_phase) % m_period < m_burst;
    return m_mean * aGrowth * (isBurst ? kBurstFactor : kQuietFactor);
  }
  double Mean() const { return m_mean; }

private:
  double m_mean;
  int m_burst = 0;
  int m_period = 0;
  int m_phase = 0;
};

struct Growth
{
  std::size_t m_service = 0;
  int m_start = 0;
  double m_factor = 1;

  bool HoldsAt(int aSecond) const
  {
    return aSecond >= m_start && aSecond < m_start + kDeficitLength;
  }
};

int VmsInPool(const VirtualFleet& aFleet, const std::string& aPool)
{
  int count = 0;
  for (const auto& [name, row] : aFleet.View().m_vms) {
    const VmRecord& vm = row.m_value;
    count += vm.m_pool == aPool && !vm.IsOut() ? 1 : 0;
  }
  return count;
}

/// Loads of one run, second by second.
class LoadGenerator
{
public:
  LoadGenerator(FleetRun& aRun, const Deployment& aDeployment, LoadTrace aTrace, int aSeed)
    : m_run(aRun)
    , m_random(static_cast<std::uint64_t>(aSeed) + 2'000)
  {
    for (const int minions : aDeployment.m_minionsPerService) {
      m_traces.emplace_back(minions * kMeanUse, m_random);
    }
    m_traces.back() = PoolTrace(aDeployment.m_minionsPerService.back() * kMeanUse / 2, m_random);
    if (aTrace == LoadTrace::Lasting) {
      AddGrowth(aDeployment);
    }
  }

  int Deficits() const { return m_growth ? kDeficitVms : 0; }
  double UnservedShare() const { return m_offered > 0 ? m_unserved / m_offered : 0; }

  void Step(int aSecond)
  {
    std::vector<PoolLoad> loads;
    for (std::size_t i = 0; i < m_traces.size(); ++i) {
      const bool isGrown = m_growth && m_growth->m_service == i && m_growth->HoldsAt(aSecond);
      const double growth = isGrown ? m_growth->m_factor : 1;
      loads.push_back({ ServiceName(i), m_traces[i].At(aSecond, growth) });
      if (isGrown) {
        const double offered = m_traces[i].Mean() * growth;
        const double served =
          VmsInPool(m_run.Fleet(), ServiceName(i)) * FleetPolicy{}.m_targetUtilization;
        m_offered += offered;
        m_unserved += std::max(0.0, offered - served);
      }
    }
    for (std::size_t i = 0; i < kControllers; ++i) {
      m_run.At(i).AddLoads(loads, m_run.Time().Now());
    }
  }

private:
  /// The mean of one pool grows to what its VMs and kDeficitVms more carry at the target use.
  void AddGrowth(const Deployment& aDeployment)
  {
    std::uniform_int_distribution<std::size_t> which(0, m_traces.size() - 2);
    std::uniform_int_distribution<int> start(kDeficitStart / 2, kDeficitStart);
    Growth growth;
    growth.m_service = which(m_random);
    growth.m_start = start(m_random);
    const double wanted = aDeployment.m_minionsPerService[growth.m_service] + kDeficitVms - 0.3;
    growth.m_factor =
      wanted * FleetPolicy{}.m_targetUtilization / m_traces[growth.m_service].Mean();
    m_growth = growth;
  }

  FleetRun& m_run;
  std::mt19937_64 m_random;
  std::vector<PoolTrace> m_traces;
  std::optional<Growth> m_growth;
  double m_offered = 0;
  double m_unserved = 0;
};

} // namespace

FleetResult RunMoves(const Deployment& aDeployment,
                     const FleetPolicy& aPolicy,
                     LoadTrace aTrace,
                     int aSeed)
{
  FleetRun run(aDeployment, static_cast<std::uint64_t>(aSeed));
  run.SetPeriod(kPeriod);
  for (std::size_t i = 0; i < kControllers; ++i) {
    run.AddController(aPolicy);
  }
  run.Settle();
  LoadGenerator loads(run, aDeployment, aTrace, aSeed);
  for (int second = 0; second < kTraceSeconds; ++second) {
    loads.Step(second);
    run.RunFor(std::chrono::seconds(1));
  }
  FleetResult result;
  result.m_deficits = loads.Deficits();
  result.m_moves = run.Fleet().Moves();
  result.m_returns = run.Fleet().Returns();
  result.m_unservedShare = loads.UnservedShare();
  result.m_faults = run.Fleet().Faults();
  return result;
}

} // namespace mustardtray
