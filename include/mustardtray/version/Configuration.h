#pragma once

/// One version of the operators' configuration as plain data. ParseConfiguration reads it,
/// CheckConfiguration validates it as a whole.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

using Labels = std::map<std::string, std::string>;

/// Labels that the platform's VM list gives to each VM; the configuration cannot set them.
inline constexpr std::string_view kVmLabel = "vm";
inline constexpr std::string_view kZoneLabel = "zone";
inline constexpr std::string_view kRackLabel = "rack";

/// Matches label sets: every key must be present with one of the listed values. An empty selector
/// matches all.
struct Selector
{
  std::map<std::string, std::vector<std::string>> m_anyOf;

  bool Matches(const Labels& aLabels) const;
  bool operator==(const Selector&) const = default;
};

enum class Urgency
{
  Urgent,
  MayWait,
};

template<>
struct EnumNames<Urgency>
{
  static constexpr std::array kTable{
    std::pair{ Urgency::Urgent, std::string_view("urgent") },
    std::pair{ Urgency::MayWait, std::string_view("may-wait") },
  };
};

/// One class of a service's requests. A request belongs to the first queue that matches it.
struct QueueConfig
{
  std::string m_name;
  Urgency m_urgency = Urgency::MayWait;
  bool m_idempotent = false;
  std::vector<std::string> m_methods; ///< Empty matches every method.
  std::string m_pathPrefix;           ///< Relative to the service's prefix; empty matches all.
  Millis m_deadline{ 10'000 };        ///< From arrival to the complete response.
  Millis m_expectedRun{ 100 };        ///< Operators' estimate; measured run times override it.
  int m_maxQueued = 256;              ///< Requests that may wait at one entry VM.
  double m_floorShare = 0.1; ///< Part of the slots reserved for this queue under any overload.

  bool operator==(const QueueConfig&) const = default;
};

/// Limits how many of a service's minions may be out of service at once.
struct AvailabilityBudget
{
  int m_maxUnavailable = 1; ///< Planned stops and failures together.
  int m_failureReserve = 0; ///< Part of m_maxUnavailable that planned stops leave to failures
                            ///< during a wave.

  bool operator==(const AvailabilityBudget&) const = default;
};

/// A service: the path prefix of its requests and the VMs that run its minions.
struct ServiceConfig
{
  std::string m_name;
  std::string m_pool;        ///< Pool whose VMs run the service, each with one minion.
  Selector m_selector;       ///< Limits the service to matching VMs of the pool.
  std::string m_pathPrefix;  ///< Prefix of the service's request paths (PathPrefix.h).
  std::uint16_t m_port = 0;  ///< Port that minions listen on, at the address of their VM.
  int m_slots = 8;           ///< Requests that one minion runs concurrently.
  int m_connections = 64;    ///< Concurrent connections that one minion accepts.
  Millis m_maxRun{ 30'000 }; ///< Longest time that a minion may run one request.
  AvailabilityBudget m_budget;
  std::vector<QueueConfig> m_queues;

  bool operator==(const ServiceConfig&) const = default;
};

/// A pool of the VMs whose labels match. No VM may match more than one pool.
struct PoolConfig
{
  std::string m_name;
  Selector m_selector;
  int m_minVms = 0; ///< Moves to other pools never leave fewer VMs.

  bool operator==(const PoolConfig&) const = default;
};

/// Quota of a team: resources that its jobs may hold at once. A limit of 0 accelerators allows
/// none.
struct TeamConfig
{
  std::string m_name;
  double m_cores = 0;
  std::int64_t m_memoryMb = 0;
  int m_accelerators = 0;

  bool operator==(const TeamConfig&) const = default;
};

enum class Weekday
{
  Sunday,
  Monday,
  Tuesday,
  Wednesday,
  Thursday,
  Friday,
  Saturday,
};

template<>
struct EnumNames<Weekday>
{
  static constexpr std::array kTable{
    std::pair{ Weekday::Sunday, std::string_view("sunday") },
    std::pair{ Weekday::Monday, std::string_view("monday") },
    std::pair{ Weekday::Tuesday, std::string_view("tuesday") },
    std::pair{ Weekday::Wednesday, std::string_view("wednesday") },
    std::pair{ Weekday::Thursday, std::string_view("thursday") },
    std::pair{ Weekday::Friday, std::string_view("friday") },
    std::pair{ Weekday::Saturday, std::string_view("saturday") },
  };
};

/// Weekly times, in UTC, at which waves may take VMs out of service.
struct MaintenanceWindow
{
  std::string m_name;
  Selector m_selector;
  std::vector<int> m_weekdays; ///< 0 is Sunday.
  int m_startMinute = 0;       ///< Minutes after midnight.
  int m_lengthMinutes = 0;

  bool operator==(const MaintenanceWindow&) const = default;
};

/// One complete version of the configuration.
struct Configuration
{
  std::uint64_t m_version = 0;              ///< 0 before any version was accepted.
  std::map<std::string, Labels> m_vmLabels; ///< By VM name.
  std::map<std::string, PoolConfig> m_pools;
  std::string m_sparePool; ///< Empty when there is none.
  std::map<std::string, ServiceConfig> m_services;
  std::map<std::string, TeamConfig> m_teams;
  std::map<std::string, MaintenanceWindow> m_windows;

  bool operator==(const Configuration&) const = default;
};

} // namespace mustardtray
