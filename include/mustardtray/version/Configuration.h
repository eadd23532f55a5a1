#pragma once

/// The operators' configuration: what a version holds, as plain data. ParseConfiguration fills it,
/// CheckConfiguration judges it as a whole.

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

/// Labels that each VM has by the platform's list; the configuration can't set them.
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

/// One kind of work of a service. A request belongs to the first queue that matches it.
struct QueueConfig
{
  std::string m_name;
  Urgency m_urgency = Urgency::MayWait;
  bool m_idempotent = false;
  std::vector<std::string> m_methods; ///< Empty matches every method.
  std::string m_pathPrefix;           ///< Below the service's own prefix; empty matches all.
  Millis m_deadline{ 10'000 };        ///< From arrival to the whole answer.
  Millis m_expectedRun{ 100 };        ///< The operators' hint; measured times go before it.
  int m_maxQueued = 256;              ///< Requests that may wait at one entry VM.
  double m_floorShare = 0.1;          ///< Part of the slots that this queue keeps in any flood.

  bool operator==(const QueueConfig&) const = default;
};

/// How many of a service's minions may be out of service at once.
struct AvailabilityBudget
{
  int m_maxUnavailable = 1; ///< Planned and unplanned together.
  int m_failureReserve = 0; ///< Of these, kept free of planned stops for failures within a wave.

  bool operator==(const AvailabilityBudget&) const = default;
};

/// Requests to one path prefix, and where they run.
struct ServiceConfig
{
  std::string m_name;
  std::string m_pool;        ///< The service runs one minion on each VM of this pool ...
  Selector m_selector;       ///< ... whose labels match; an empty selector matches all.
  std::string m_pathPrefix;  ///< Requests below it belong to the service (PathPrefix.h).
  std::uint16_t m_port = 0;  ///< Minions listen on their VM's address and this port.
  int m_slots = 8;           ///< Requests that one minion runs at once.
  int m_connections = 64;    ///< Connections that one minion takes at once.
  Millis m_maxRun{ 30'000 }; ///< Longest time that a minion works on one request.
  AvailabilityBudget m_budget;
  std::vector<QueueConfig> m_queues;

  bool operator==(const ServiceConfig&) const = default;
};

/// VMs whose labels match belong to the pool; no VM may match two.
struct PoolConfig
{
  std::string m_name;
  Selector m_selector;
  int m_minVms = 0; ///< A move never leaves fewer.

  bool operator==(const PoolConfig&) const = default;
};

/// Quota of a team: what its jobs may hold at once. 0 accelerators allows none.
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

/// Weekly times at which waves may take VMs out, in UTC.
struct MaintenanceWindow
{
  std::string m_name;
  Selector m_selector;
  std::vector<int> m_weekdays; ///< 0 is Sunday.
  int m_startMinute = 0;       ///< Minutes after midnight.
  int m_lengthMinutes = 0;

  bool operator==(const MaintenanceWindow&) const = default;
};

/// One version, complete.
struct Configuration
{
  std::uint64_t m_version = 0;              ///< 0 before anything was accepted.
  std::map<std::string, Labels> m_vmLabels; ///< By VM name.
  std::map<std::string, PoolConfig> m_pools;
  std::string m_sparePool; ///< Empty when there is none.
  std::map<std::string, ServiceConfig> m_services;
  std::map<std::string, TeamConfig> m_teams;
  std::map<std::string, MaintenanceWindow> m_windows;

  bool operator==(const Configuration&) const = default;
};

} // namespace mustardtray
