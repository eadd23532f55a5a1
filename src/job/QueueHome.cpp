#include "mustardtray/job/QueueHome.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace mustardtray::job {

using nlohmann::json;

std::string QueueKeyOf(const QueueSpec& aQueue)
{
  const std::string address = aQueue.m_host + '\0' + aQueue.m_prefix;
  const XXH128_hash_t hash = XXH3_128bits(address.data(), address.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

QueueHome QueueHomes::MakeHome(const QueueSpec& aQueue) const
{
  const std::string& name = aQueue.m_queuePolicy.m_queue;
  const bool isUsed = std::any_of(m_homes.begin(), m_homes.end(), [&](const auto& aEntry) {
    return aEntry.second.m_queue == name;
  });
  return { aQueue.m_pool, isUsed ? fmt::format("{}@{}", name, QueueKeyOf(aQueue)) : name };
}

std::string EncodeQueueHome(const QueueHome& aHome)
{
  return json{ { "pool", aHome.m_pool }, { "queue", aHome.m_queue } }.dump(
    -1, ' ', false, json::error_handler_t::replace);
}

Result<QueueHome> DecodeQueueHome(const std::string& aKey, const std::string& aValue)
{
  try {
    const json in = json::parse(aValue);
    return QueueHome{ in.at("pool").get<std::string>(), in.at("queue").get<std::string>() };
  } catch (const json::exception& fault) {
    return Error{ ErrorKind::Invalid, "decode queue home", aKey, fault.what() };
  }
}

} // namespace mustardtray::job
