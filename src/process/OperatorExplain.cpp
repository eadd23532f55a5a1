#include <fmt/format.h>
#include <fmt/ranges.h>

#include "mustardtray/process/OperatorInterface.h"
#include "mustardtray/version/VmPlacement.h"

namespace mustardtray {

namespace {

std::string TextOf(const Selector& aSelector)
{
  std::string text;
  for (const auto& [key, values] : aSelector.m_anyOf) {
    text += fmt::format("{}{}={}", text.empty() ? "" : ",", key, fmt::join(values, "|"));
  }
  return text.empty() ? "every label" : text;
}

std::string TextOf(const Labels& aLabels)
{
  std::string text;
  for (const auto& [key, value] : aLabels) {
    text += fmt::format("{}{}={}", text.empty() ? "" : ",", key, value);
  }
  return text.empty() ? "none" : text;
}

} // namespace

std::vector<std::string> ExplainPlacement(const CompiledConfiguration& aCompiled,
                                          const std::string& aVm)
{
  const Configuration& source = aCompiled.Source();
  const auto labels = source.m_vmLabels.find(aVm);
  const std::string_view wanted = aCompiled.DesiredPoolOf(aVm);
  const std::string_view pool = aCompiled.PoolOf(aVm);
  if (labels == source.m_vmLabels.end() && pool.empty()) {
    return {};
  }
  std::vector<std::string> lines;
  lines.push_back("labels: " +
                  TextOf(labels == source.m_vmLabels.end() ? Labels() : labels->second));
  if (wanted.empty()) {
    lines.emplace_back("no pool's selector matches these labels");
  } else {
    const Selector& selector = source.m_pools.at(std::string(wanted)).m_selector;
    lines.push_back(fmt::format("pool {} matches them by {}", wanted, TextOf(selector)));
  }
  if (pool != wanted && !pool.empty()) {
    lines.push_back(fmt::format("it is still in pool {} and has to move", pool));
  }
  for (const std::string& service : aCompiled.ServicesOn(aVm)) {
    lines.push_back(
      fmt::format("runs service {} on port {}", service, source.m_services.at(service).m_port));
  }
  return lines;
}

std::vector<std::string> ExplainService(const CompiledConfiguration& aCompiled,
                                        const std::string& aService)
{
  const auto& services = aCompiled.Source().m_services;
  const auto found = services.find(aService);
  if (found == services.end()) {
    return {};
  }
  const ServiceConfig& service = found->second;
  const AvailabilityBudget& budget = service.m_budget;
  std::vector<std::string> lines;
  lines.push_back(fmt::format("takes requests below {}", service.m_pathPrefix));
  lines.push_back(fmt::format(
    "runs on the VMs of pool {} that match {}", service.m_pool, TextOf(service.m_selector)));
  for (const auto& [zone, minions] : aCompiled.MinionsOf(aService)) {
    std::vector<std::string> vms;
    for (const Minion& minion : minions) {
      vms.push_back(minion.m_vm);
    }
    lines.push_back(fmt::format("zone {}: {} minions: {}", zone, vms.size(), fmt::join(vms, " ")));
  }
  lines.push_back(fmt::format("of {} minions {} may be unavailable, {} of them kept for failures",
                              aCompiled.MinionCount(aService),
                              budget.m_maxUnavailable,
                              budget.m_failureReserve));
  for (const QueueConfig& queue : service.m_queues) {
    lines.push_back(fmt::format(
      "queue {}: {}, {}, {} {}, deadline {} ms",
      queue.m_name,
      ToName(queue.m_urgency),
      queue.m_idempotent ? "idempotent" : "not idempotent",
      queue.m_methods.empty() ? "every method" : fmt::format("{}", fmt::join(queue.m_methods, "|")),
      queue.m_pathPrefix.empty() ? "every path" : queue.m_pathPrefix,
      queue.m_deadline.count()));
  }
  return lines;
}

std::vector<std::string> ExplainRequest(const CompiledConfiguration& aCompiled,
                                        const std::string& aMethod,
                                        const std::string& aPath)
{
  const RequestRoute route = aCompiled.FindRoute(aMethod, aPath);
  if (!route.m_service) {
    return { fmt::format("refused: no service has a path prefix of {}", aPath) };
  }
  std::vector<std::string> lines;
  lines.push_back(fmt::format(
    "service {}: longest prefix is {}", route.m_service->m_name, route.m_service->m_pathPrefix));
  if (!route.m_queue) {
    lines.push_back(fmt::format("refused: no queue of it takes {} {}", aMethod, aPath));
    return lines;
  }
  lines.push_back(fmt::format("queue {}: the first that takes method and path, {}",
                              route.m_queue->m_name,
                              ToName(route.m_queue->m_urgency)));
  lines.push_back(
    fmt::format("{} minions can run it", aCompiled.MinionCount(route.m_service->m_name)));
  return lines;
}

} // namespace mustardtray
