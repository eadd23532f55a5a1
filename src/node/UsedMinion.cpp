#include "node/UsedMinion.h"

#include <nlohmann/json.hpp>

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

using nlohmann::json;

std::string EncodeUsedMinion(const job::MinionEntry& aEntry)
{
  return json{
    { "addr", aEntry.m_address }, { "machine", aEntry.m_machine }, { "born", aEntry.m_startedAtMs }
  }.dump();
}

job::MinionEntry DecodeUsedMinion(const std::string& aId, const std::string& aText)
{
  job::MinionEntry entry;
  entry.m_id = aId;
  try {
    const json in = json::parse(aText);
    entry.m_address = in.at("addr").get<std::string>();
    entry.m_machine = in.at("machine").get<std::string>();
    entry.m_startedAtMs = in.at("born").get<std::int64_t>();
  } catch (const json::exception& fault) {
    Log(LogCategory::Fleet,
        LogLevel::Error,
        "used-minion-unreadable",
        "minion",
        aId,
        "error",
        fault.what());
  }
  return entry;
}

} // namespace mustardtray::node
