#include "node/UsedMinion.h"

#include <nlohmann/json.hpp>

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

using nlohmann::json;

std::string EncodeUsedMinion(const UsedMinion& aMinion)
{
  const job::MinionEntry& entry = aMinion.m_entry;
  json out{ { "addr", entry.m_address },
            { "machine", entry.m_machine },
            { "born", entry.m_startedAtMs } };
  if (aMinion.m_finalLease) {
    out["epoch"] = aMinion.m_finalLease->m_epoch;
    out["lease_left_ms"] = aMinion.m_finalLease->m_left.count();
  }
  for (const auto& [unit, run] : aMinion.m_openStarts) {
    out["open"].push_back({ unit, run });
  }
  if (aMinion.m_hasLongLease) {
    out["long_lease"] = true;
  }
  return out.dump();
}

UsedMinion DecodeUsedMinion(const std::string& aId, const std::string& aText)
{
  UsedMinion minion;
  minion.m_entry.m_id = aId;
  try {
    const json in = json::parse(aText);
    minion.m_entry.m_address = in.at("addr").get<std::string>();
    minion.m_entry.m_machine = in.at("machine").get<std::string>();
    minion.m_entry.m_startedAtMs = in.at("born").get<std::int64_t>();
    if (in.contains("lease_left_ms")) {
      minion.m_finalLease = FinalLease{ in.at("epoch").get<std::uint32_t>(),
                                        Millis{ in.at("lease_left_ms").get<Millis::rep>() } };
    }
    minion.m_hasLongLease = in.contains("long_lease");
    if (const auto open = in.find("open"); open != in.end()) {
      for (const json& start : *open) {
        if (start.at(1).is_number_unsigned()) {
          minion.m_openStarts.emplace(start.at(0).get<std::string>(),
                                      start.at(1).get<std::uint32_t>());
        }
      }
    }
  } catch (const json::exception& fault) {
    Log(LogCategory::Fleet,
        LogLevel::Error,
        "used-minion-unreadable",
        "minion",
        aId,
        "error",
        fault.what());
  }
  return minion;
}

} // namespace mustardtray::node
