#include "mustardtray/process/Heartbeat.h"

namespace mustardtray {

namespace {

constexpr double kMaxDemand = 1e9;

std::uint64_t ReadCount(JsonReader& aReader, std::string_view aKey)
{
  return static_cast<std::uint64_t>(aReader.Integer(aKey, 0, 0, INT64_MAX));
}

NodeInfo ReadNodeInfo(JsonReader& aReader)
{
  NodeInfo info;
  info.m_id.m_node = aReader.RequiredString("node");
  info.m_id.m_incarnation = ReadCount(aReader, "incarnation");
  info.m_zone = aReader.RequiredString("zone");
  info.m_region = aReader.String("region", "");
  info.m_peerUrl = aReader.RequiredString("peer_url");
  info.m_forwardUrl = aReader.RequiredString("forward_url");
  return info;
}

void ReadMaps(JsonReader& aReader, Heartbeat& aHeartbeat)
{
  aReader.EachMember("free", [&](const std::string& aService, JsonReader& aFree) {
    FreeSlots& free = aHeartbeat.m_freeSlots[aService];
    free.m_urgent = static_cast<int>(aFree.Integer("urgent", 0, 0, INT32_MAX));
    free.m_mayWait = static_cast<int>(aFree.Integer("may_wait", 0, 0, INT32_MAX));
    free.m_demand = aFree.Number("demand", 0, 0, kMaxDemand);
  });
  aReader.Object("leaving", [&](JsonReader& aVms) {
    for (const auto& [vm, generation] : aVms.Value().items()) {
      aHeartbeat.m_outOfServiceVms[vm] = ReadCount(aVms, vm);
    }
  });
}

} // namespace

Json ToJson(const NodeInfo& aInfo)
{
  return Json{ { "node", aInfo.m_id.m_node },   { "incarnation", aInfo.m_id.m_incarnation },
               { "zone", aInfo.m_zone },        { "region", aInfo.m_region },
               { "peer_url", aInfo.m_peerUrl }, { "forward_url", aInfo.m_forwardUrl } };
}

Result<NodeInfo> ParseNodeInfo(const Json& aValue)
{
  FieldErrors errors;
  JsonReader reader(aValue, "", errors);
  NodeInfo info = ReadNodeInfo(reader);
  if (!errors.empty()) {
    return Error{ ErrorKind::Invalid, "parse node row", "", errors.front().Text() };
  }
  return info;
}

Json ToJson(const Heartbeat& aHeartbeat)
{
  Json free = Json::object();
  for (const auto& [service, slots] : aHeartbeat.m_freeSlots) {
    free[service] = Json{ { "urgent", slots.m_urgent },
                          { "may_wait", slots.m_mayWait },
                          { "demand", slots.m_demand } };
  }
  return Json{ { "sender", ToJson(aHeartbeat.m_sender) },
               { "is_leaving", aHeartbeat.m_isLeaving },
               { "config_version", aHeartbeat.m_configVersion },
               { "shares_acknowledged", aHeartbeat.m_acknowledgedShareGeneration },
               { "shares_settled_loss", aHeartbeat.m_settledShareLossGeneration },
               { "free", std::move(free) },
               { "leaving", aHeartbeat.m_outOfServiceVms } };
}

Result<Heartbeat> ParseHeartbeat(const Json& aValue)
{
  FieldErrors errors;
  JsonReader reader(aValue, "", errors);
  Heartbeat heartbeat;
  reader.RequiredObject("sender",
                        [&](JsonReader& aSender) { heartbeat.m_sender = ReadNodeInfo(aSender); });
  heartbeat.m_isLeaving = reader.Bool("is_leaving", false);
  heartbeat.m_configVersion = ReadCount(reader, "config_version");
  heartbeat.m_acknowledgedShareGeneration = ReadCount(reader, "shares_acknowledged");
  heartbeat.m_settledShareLossGeneration = ReadCount(reader, "shares_settled_loss");
  ReadMaps(reader, heartbeat);
  if (!errors.empty()) {
    return Error{ ErrorKind::Invalid, "parse heartbeat", "", errors.front().Text() };
  }
  return heartbeat;
}

} // namespace mustardtray
