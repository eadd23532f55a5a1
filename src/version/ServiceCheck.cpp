#include "version/ServiceCheck.h"

#include <algorithm>

#include <fmt/format.h>

#include "mustardtray/version/PathPrefix.h"

namespace mustardtray {

namespace {

/// Tolerance for rounding errors in the sum of floor shares.
constexpr double kFloorShareTolerance = 1e-9;

std::string ServicePointer(const ServiceConfig& aService)
{
  return "/services/" + aService.m_name;
}

/// Reports services with the same prefix, or with the same port in the same pool: their requests or
/// minions could not be distinguished.
void CheckServicePair(const ServiceConfig& aFirst,
                      const ServiceConfig& aSecond,
                      FieldErrors& aErrors)
{
  if (StripTrailingSlash(aFirst.m_pathPrefix) == StripTrailingSlash(aSecond.m_pathPrefix)) {
    aErrors.push_back({ ServicePointer(aSecond) + "/path_prefix",
                        ShortText(aSecond.m_pathPrefix),
                        fmt::format("a prefix that service {} does not have", aFirst.m_name) });
  }
  if (aFirst.m_pool == aSecond.m_pool && aFirst.m_port == aSecond.m_port) {
    aErrors.push_back(
      { ServicePointer(aSecond) + "/port",
        std::to_string(aSecond.m_port),
        fmt::format("a port that service {} in the same pool does not have", aFirst.m_name) });
  }
}

bool CoversMethods(const QueueConfig& aFirst, const QueueConfig& aSecond)
{
  if (aFirst.m_methods.empty() || aSecond.m_methods.empty()) {
    return aFirst.m_methods.empty();
  }
  return std::all_of(
    aSecond.m_methods.begin(), aSecond.m_methods.end(), [&aFirst](const std::string& aMethod) {
      return std::find(aFirst.m_methods.begin(), aFirst.m_methods.end(), aMethod) !=
             aFirst.m_methods.end();
    });
}

/// True when the earlier queue aFirst matches every request that aSecond matches.
bool Shadows(const QueueConfig& aFirst, const QueueConfig& aSecond)
{
  return CoversMethods(aFirst, aSecond) && HasPathPrefix(aSecond.m_pathPrefix, aFirst.m_pathPrefix);
}

void CheckQueue(const ServiceConfig& aService, std::size_t aIndex, FieldErrors& aErrors)
{
  const QueueConfig& queue = aService.m_queues[aIndex];
  const std::string pointer = fmt::format("{}/queues/{}", ServicePointer(aService), aIndex);
  for (std::size_t i = 0; i < aIndex; ++i) {
    const QueueConfig& earlier = aService.m_queues[i];
    if (earlier.m_name == queue.m_name) {
      aErrors.push_back({ pointer + "/name", ShortText(queue.m_name), "each queue name once" });
    } else if (Shadows(earlier, queue)) {
      aErrors.push_back({ pointer + "/path_prefix",
                          ShortText(queue.m_pathPrefix),
                          fmt::format("a prefix or methods that the earlier queue {} does not take",
                                      earlier.m_name) });
    }
  }
}

void CheckQueues(const ServiceConfig& aService, FieldErrors& aErrors)
{
  const std::string pointer = ServicePointer(aService) + "/queues";
  if (aService.m_queues.empty()) {
    aErrors.push_back({ pointer, "no queue", "at least one queue" });
  }
  double floorShareSum = 0;
  for (std::size_t i = 0; i < aService.m_queues.size(); ++i) {
    CheckQueue(aService, i, aErrors);
    floorShareSum += aService.m_queues[i].m_floorShare;
  }
  if (floorShareSum > 1 + kFloorShareTolerance) {
    aErrors.push_back({ pointer,
                        fmt::format("floor_share adds up to {:.3g}", floorShareSum),
                        "a sum of at most 1" });
  }
}

void CheckFailureReserve(const ServiceConfig& aService, FieldErrors& aErrors)
{
  const AvailabilityBudget& budget = aService.m_budget;
  if (budget.m_maxUnavailable - budget.m_failureReserve < 1) {
    aErrors.push_back(
      { ServicePointer(aService) + "/budget/failure_reserve",
        fmt::format("{} of max_unavailable {}", budget.m_failureReserve, budget.m_maxUnavailable),
        "less than max_unavailable, so that a drain can take at least one VM" });
  }
}

} // namespace

void CheckServices(const Configuration& aConfiguration, FieldErrors& aErrors)
{
  const auto& services = aConfiguration.m_services;
  for (auto second = services.begin(); second != services.end(); ++second) {
    for (auto first = services.begin(); first != second; ++first) {
      CheckServicePair(first->second, second->second, aErrors);
    }
    CheckQueues(second->second, aErrors);
    CheckFailureReserve(second->second, aErrors);
  }
}

} // namespace mustardtray
