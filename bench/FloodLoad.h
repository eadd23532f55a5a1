#pragma once

/// Deployments and seeded arrivals for the flood bench.

#include <cstdint>
#include <string>
#include <vector>

#include "mustardtray/version/Configuration.h"

namespace mustardtray::bench {

/// Where the entry VMs stand and how far the zones are from each other.
struct Deployment
{
  std::string m_name;
  std::vector<int> m_entryVms; ///< In each zone.
  Micros m_hop{ 1'000 };       ///< One way between entry VMs.
};

const std::vector<Deployment>& Deployments();

enum class Scenario
{
  Quiet,        ///< Each queue in its turn asks five times its mean.
  MayWaitFlood, ///< Besides, one may-wait queue asks ten times what its pool holds.
  UrgentFlood,  ///< Besides, one urgent queue does.
};

/// How requests are spread over the entry VMs of a zone.
enum class Spread
{
  Even,
  Skewed, ///< The first entry VM of a zone gets four times as many as each other one.
};

struct Service
{
  ServiceConfig m_config;
  std::vector<int> m_minionZones; ///< Zone of each minion.
  std::vector<Micros> m_meanRuns; ///< True mean run time of each queue.

  int Slots() const { return static_cast<int>(m_minionZones.size()) * m_config.m_slots; }
};

struct Arrival
{
  TimePoint m_at;
  std::size_t m_service = 0;
  std::size_t m_queue = 0;
  std::size_t m_entryVm = 0;
  Micros m_run{ 0 };
};

/// Everything that a run is made of; the same for all policies.
struct FloodLoad
{
  std::vector<std::size_t> m_entryZones; ///< Zone of each entry VM.
  std::vector<Service> m_services;       ///< The first one is flooded.
  std::vector<Arrival> m_arrivals;       ///< By time.
};

inline constexpr TimePoint kRunStart{ std::chrono::seconds(1'000) };
inline constexpr Micros kRunLength = std::chrono::seconds(40);
inline constexpr TimePoint kFloodStart = kRunStart + std::chrono::seconds(10);
inline constexpr TimePoint kFloodEnd = kRunStart + std::chrono::seconds(25);

/// Arrivals of a queue that is not flooded are the same in all scenarios of a seed.
FloodLoad MakeLoad(const Deployment& aDeployment,
                   Scenario aScenario,
                   Spread aSpread,
                   std::uint64_t aSeed);

} // namespace mustardtray::bench
