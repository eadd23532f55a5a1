#include "node/JobMove.h"

#include <nlohmann/json.hpp>

namespace mustardtray::node {

using nlohmann::json;

std::string EncodeJobForward(const JobForward& aForward)
{
  json out{ { "shard", aForward.m_shard },
            { "moves", aForward.m_moves },
            { "queue", aForward.m_queue } };
  if (aForward.m_isDone) {
    out["done"] = true;
  }
  if (!aForward.m_account.empty()) {
    out["account"] = aForward.m_account;
  }
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<JobForward> DecodeJobForward(const std::string& aJob, const std::string& aValue)
{
  try {
    const json in = json::parse(aValue);
    return JobForward{ in.at("shard").get<std::string>(),
                       in.at("moves").get<std::uint32_t>(),
                       in.value("done", false),
                       in.at("queue").get<std::string>(),
                       in.value("account", std::string{}) };
  } catch (const json::exception& fault) {
    return Error{ ErrorKind::Invalid, "decode job forward", aJob, fault.what() };
  }
}

} // namespace mustardtray::node
