#include "mustardtray/version/ParseConfiguration.h"

namespace mustardtray {

namespace {

Json ToJson(const QueueConfig& aQueue)
{
  return Json{ { "name", aQueue.m_name },
               { "urgency", ToName(aQueue.m_urgency) },
               { "idempotent", aQueue.m_idempotent },
               { "methods", aQueue.m_methods },
               { "path_prefix", aQueue.m_pathPrefix },
               { "deadline_ms", aQueue.m_deadline.count() },
               { "expected_run_ms", aQueue.m_expectedRun.count() },
               { "max_queued", aQueue.m_maxQueued },
               { "floor_share", aQueue.m_floorShare } };
}

template<typename T>
Json ToJsonObject(const std::map<std::string, T>& aItems)
{
  Json object = Json::object();
  for (const auto& [name, item] : aItems) {
    object[name] = ToJson(item);
  }
  return object;
}

} // namespace

Json ToJson(const Selector& aSelector)
{
  Json terms = Json::object();
  for (const auto& [key, values] : aSelector.m_anyOf) {
    terms[key] = values;
  }
  return terms;
}

Json ToJson(const PoolConfig& aPool)
{
  return Json{ { "selector", ToJson(aPool.m_selector) }, { "min_vms", aPool.m_minVms } };
}

Json ToJson(const ServiceConfig& aService)
{
  Json queues = Json::array();
  for (const QueueConfig& queue : aService.m_queues) {
    queues.push_back(ToJson(queue));
  }
  const AvailabilityBudget& budget = aService.m_budget;
  return Json{ { "pool", aService.m_pool },
               { "selector", ToJson(aService.m_selector) },
               { "path_prefix", aService.m_pathPrefix },
               { "port", aService.m_port },
               { "slots", aService.m_slots },
               { "connections", aService.m_connections },
               { "max_run_ms", aService.m_maxRun.count() },
               { "budget",
                 { { "max_unavailable", budget.m_maxUnavailable },
                   { "failure_reserve", budget.m_failureReserve } } },
               { "queues", std::move(queues) } };
}

Json ToJson(const TeamConfig& aTeam)
{
  return Json{ { "cores", aTeam.m_cores },
               { "memory_mb", aTeam.m_memoryMb },
               { "accelerators", aTeam.m_accelerators } };
}

Json ToJson(const MaintenanceWindow& aWindow)
{
  Json weekdays = Json::array();
  for (const int weekday : aWindow.m_weekdays) {
    weekdays.push_back(ToName(static_cast<Weekday>(weekday)));
  }
  return Json{ { "selector", ToJson(aWindow.m_selector) },
               { "weekdays", std::move(weekdays) },
               { "start_minute", aWindow.m_startMinute },
               { "length_minutes", aWindow.m_lengthMinutes } };
}

Json ToJson(const Configuration& aConfiguration)
{
  return Json{ { "version", aConfiguration.m_version },
               { "vm_labels", Json(aConfiguration.m_vmLabels) },
               { "pools", ToJsonObject(aConfiguration.m_pools) },
               { "spare_pool", aConfiguration.m_sparePool },
               { "services", ToJsonObject(aConfiguration.m_services) },
               { "teams", ToJsonObject(aConfiguration.m_teams) },
               { "maintenance_windows", ToJsonObject(aConfiguration.m_windows) } };
}

} // namespace mustardtray
