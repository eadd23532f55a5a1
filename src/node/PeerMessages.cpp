#include "node/PeerMessages.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace mustardtray {

template<>
struct EnumNames<node::SubmitOutcome>
{
  static constexpr std::array kTable{
    std::pair{ node::SubmitOutcome::Accepted, std::string_view("accepted") },
    std::pair{ node::SubmitOutcome::Refused, std::string_view("refused") },
    std::pair{ node::SubmitOutcome::Invalid, std::string_view("invalid") },
    std::pair{ node::SubmitOutcome::NotOwner, std::string_view("not-owner") },
    std::pair{ node::SubmitOutcome::Forbidden, std::string_view("forbidden") },
    std::pair{ node::SubmitOutcome::Unknown, std::string_view("unknown") },
  };
};

} // namespace mustardtray

namespace mustardtray::node {

using nlohmann::json;

namespace {

template<typename T, typename Decode>
Result<T> Parse(const std::string& aText, Decode aDecode)
{
  try {
    return aDecode(json::parse(aText));
  } catch (const json::exception& fault) {
    return Error{ ErrorKind::Invalid, "decode peer message", "", fault.what() };
  }
}

} // namespace

HttpCall MakePeerCall(const std::string& aAddress,
                      const char* aPath,
                      std::string aBody,
                      Millis aTimeout)
{
  HttpCall call;
  call.m_method = "POST";
  call.m_url = "http://" + aAddress + aPath;
  call.m_body = std::move(aBody);
  call.m_timeout = aTimeout;
  call.m_connectTimeout = aTimeout;
  call.m_step = aPath;
  return call;
}

std::string EncodeSubmitRequest(const std::string& aPool, const job::JobRecord& aRecord)
{
  // The record is sent in its stored form.
  return json{ { "pool", aPool }, { "record", job::EncodeJobRecord(aRecord) } }.dump(
    -1, ' ', false, json::error_handler_t::replace);
}

Result<SubmitRequest> DecodeSubmitRequest(const std::string& aText)
{
  std::string record;
  auto message = Parse<SubmitRequest>(aText, [&](const json& aIn) {
    record = aIn.at("record").get<std::string>();
    return SubmitRequest{ aIn.at("pool").get<std::string>(), {} };
  });
  if (!message) {
    return message.error();
  }
  auto decoded = job::DecodeJobRecord(record);
  if (!decoded) {
    return decoded.error();
  }
  message.value().m_record = std::move(decoded.value());
  return message;
}

std::string EncodeAdoptRequest(const AdoptRequest& aRequest)
{
  return EncodeSubmitRequest(aRequest.m_shard, aRequest.m_record);
}

Result<AdoptRequest> DecodeAdoptRequest(const std::string& aText)
{
  auto message = DecodeSubmitRequest(aText);
  if (!message) {
    return message.error();
  }
  return AdoptRequest{ std::move(message.value().m_pool), std::move(message.value().m_record) };
}

std::string EncodeAdoptOutcome(AdoptOutcome aOutcome)
{
  return json{ { "outcome", ToName(aOutcome) } }.dump();
}

Result<AdoptOutcome> DecodeAdoptOutcome(const std::string& aText)
{
  return Parse<AdoptOutcome>(aText, [](const json& aIn) {
    return FromName<AdoptOutcome>(aIn.at("outcome").get<std::string>())
      .value_or(AdoptOutcome::NotOwner);
  });
}

std::string EncodeRoomRequest(const RoomRequest& aRequest)
{
  json records = json::array();
  for (const job::JobRecord& record : aRequest.m_records) {
    records.push_back(job::EncodeJobRecord(record));
  }
  return json{ { "shard", aRequest.m_shard }, { "records", std::move(records) } }.dump(
    -1, ' ', false, json::error_handler_t::replace);
}

Result<RoomRequest> DecodeRoomRequest(const std::string& aText)
{
  std::vector<std::string> records;
  auto request = Parse<RoomRequest>(aText, [&](const json& aIn) {
    records = aIn.at("records").get<std::vector<std::string>>();
    return RoomRequest{ aIn.at("shard").get<std::string>(), {} };
  });
  if (!request) {
    return request.error();
  }
  for (const std::string& text : records) {
    auto record = job::DecodeJobRecord(text);
    if (!record) {
      return record.error();
    }
    request.value().m_records.push_back(std::move(record.value()));
  }
  return request;
}

std::string EncodeRoom(const std::vector<job::ShardRoom>& aRoom)
{
  json out = json::array();
  for (const job::ShardRoom& room : aRoom) {
    out.push_back({ room.m_waitingUnits, room.m_holdableUnits, room.m_startableUnits });
  }
  return out.dump();
}

Result<std::vector<job::ShardRoom>> DecodeRoom(const std::string& aText)
{
  return Parse<std::vector<job::ShardRoom>>(aText, [](const json& aIn) {
    std::vector<job::ShardRoom> rooms;
    for (const json& room : aIn) {
      rooms.push_back({ room.at(0).get<std::uint32_t>(),
                        room.at(1).get<std::uint32_t>(),
                        room.at(2).get<std::uint32_t>() });
    }
    return rooms;
  });
}

std::string EncodeSubmitResult(const SubmitResult& aResult)
{
  json out{ { "outcome", ToName(aResult.m_outcome) },
            { "retry-ms", aResult.m_retryAfter.count() } };
  if (!aResult.m_reason.empty()) {
    out["reason"] = aResult.m_reason;
  }
  if (aResult.m_askFirst.count() > 0) {
    out["ask-first-ms"] = aResult.m_askFirst.count();
  }
  return out.dump();
}

Result<SubmitResult> DecodeSubmitResult(const std::string& aText)
{
  return Parse<SubmitResult>(aText, [](const json& aIn) {
    SubmitResult result;
    result.m_outcome = FromName<SubmitOutcome>(aIn.at("outcome").get<std::string>())
                         .value_or(SubmitOutcome::Unknown);
    result.m_retryAfter = Millis(aIn.at("retry-ms").get<Millis::rep>());
    result.m_reason = aIn.value("reason", std::string{});
    result.m_askFirst = Millis(aIn.value("ask-first-ms", Millis::rep{ 0 }));
    return result;
  });
}

std::string EncodeJobQuery(const JobQuery& aQuery)
{
  json out{ { "pool", aQuery.m_pool }, { "job", aQuery.m_job }, { "queue", aQuery.m_queue } };
  if (aQuery.m_caller.m_isChecked) {
    out["account"] = aQuery.m_caller.m_account;
  }
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<JobQuery> DecodeJobQuery(const std::string& aText)
{
  return Parse<JobQuery>(aText, [](const json& aIn) {
    const bool isChecked = aIn.contains("account");
    return JobQuery{ aIn.at("pool").get<std::string>(),
                     aIn.at("job").get<std::string>(),
                     aIn.at("queue").get<std::string>(),
                     { isChecked, aIn.value("account", std::string{}) } };
  });
}

std::string EncodeJobQueryResult(const JobQueryResult& aQueryResult)
{
  json out{ { "owner", aQueryResult.m_isOwner },
            { "known", aQueryResult.m_isKnown },
            { "state", ToName(aQueryResult.m_state) },
            { "waiting", aQueryResult.m_waiting },
            { "forbidden", aQueryResult.m_isForbidden } };
  if (!aQueryResult.m_forwardedTo.empty()) {
    out["forwarded-to"] = aQueryResult.m_forwardedTo;
  }
  return out.dump();
}

Result<JobQueryResult> DecodeJobQueryResult(const std::string& aText)
{
  return Parse<JobQueryResult>(aText, [](const json& aIn) {
    JobQueryResult queryResult;
    queryResult.m_isOwner = aIn.at("owner").get<bool>();
    queryResult.m_isKnown = aIn.at("known").get<bool>();
    queryResult.m_state =
      FromName<job::JobState>(aIn.at("state").get<std::string>()).value_or(job::JobState::Queued);
    queryResult.m_waiting = aIn.at("waiting").get<std::size_t>();
    // A node of an earlier release does not send it.
    queryResult.m_isForbidden = aIn.value("forbidden", false);
    queryResult.m_forwardedTo = aIn.value("forwarded-to", std::set<std::string>{});
    return queryResult;
  });
}

std::string EncodeFleetSyncRequest(const FleetSyncRequest& aRequest)
{
  json out{ { "pool", aRequest.m_pool },
            { "cordons", aRequest.m_restrictions.m_cordoned },
            { "awaiting", aRequest.m_restrictions.m_awaitingMaintenance },
            { "cordon-ms", aRequest.m_restrictions.m_cordonTime.count() } };
  job::AddAccounts(out, aRequest.m_grants);
  return out.dump();
}

Result<FleetSyncRequest> DecodeFleetSyncRequest(const std::string& aText)
{
  return Parse<FleetSyncRequest>(aText, [](const json& aIn) {
    return FleetSyncRequest{ aIn.at("pool").get<std::string>(),
                             { aIn.at("cordons").get<std::set<std::string>>(),
                               aIn.value("awaiting", std::set<std::string>{}),
                               Millis(aIn.value("cordon-ms", job::kMinCordonTime.count())) },
                             job::AccountGrantsOf(aIn) };
  });
}

std::string EncodeFleetReport(const FleetReport& aReport)
{
  json unplaced = json::array();
  for (const job::UnplacedUnits& units : aReport.m_load.m_unplaced) {
    unplaced.push_back({ { "cpu", units.m_need.m_cpu },
                         { "memory", units.m_need.m_memoryMb },
                         { "gpu", units.m_need.m_gpu },
                         { "label", units.m_requiredLabel },
                         { "per-minion", units.m_maxPerMinion },
                         { "count", units.m_count },
                         { "gang", units.m_isGang } });
  }
  json out{ { "capacity", aReport.m_load.m_capacityCpu },
            { "used", aReport.m_load.m_usedCpu },
            { "waiting", aReport.m_load.m_waitingCpu },
            { "lasting", aReport.m_load.m_longRunningCpu },
            { "backlog", aReport.m_load.m_backlogCores },
            { "arriving", aReport.m_load.m_arrivingCores },
            { "spread", aReport.m_load.m_spreadMinions },
            { "lacks-memory", aReport.m_load.m_lacksMemory },
            { "minions", aReport.m_load.m_minions },
            { "hosts", aReport.m_load.m_hostMinions },
            { "age-ms", aReport.m_load.m_ownerAge.count() },
            { "unplaced", std::move(unplaced) },
            { "clear", aReport.m_drainedMachines },
            { "idle", aReport.m_idleMachines } };
  job::AddAccounts(out, aReport.m_accounts);
  return out.dump();
}

Result<FleetReport> DecodeFleetReport(const std::string& aText)
{
  return Parse<FleetReport>(aText, [](const json& aIn) {
    FleetReport report;
    report.m_load.m_capacityCpu = aIn.at("capacity").get<std::int64_t>();
    report.m_load.m_usedCpu = aIn.at("used").get<std::int64_t>();
    report.m_load.m_waitingCpu = aIn.at("waiting").get<std::int64_t>();
    report.m_load.m_longRunningCpu = aIn.at("lasting").get<std::int64_t>();
    report.m_load.m_backlogCores = aIn.at("backlog").get<double>();
    report.m_load.m_arrivingCores = aIn.at("arriving").get<double>();
    report.m_load.m_lacksMemory = aIn.at("lacks-memory").get<bool>();
    report.m_load.m_spreadMinions = aIn.at("spread").get<std::size_t>();
    // A node of an earlier release does not send these.
    report.m_load.m_minions = aIn.value("minions", std::size_t{ 0 });
    report.m_load.m_hostMinions = aIn.value("hosts", std::size_t{ 0 });
    report.m_load.m_ownerAge = Millis(aIn.value("age-ms", Millis::rep{ 0 }));
    for (const json& in : aIn.value("unplaced", json::array())) {
      job::UnplacedUnits units;
      units.m_need = { in.at("cpu").get<std::int64_t>(),
                       in.at("memory").get<std::int64_t>(),
                       in.at("gpu").get<std::int64_t>() };
      units.m_requiredLabel = in.at("label").get<std::string>();
      units.m_maxPerMinion = in.at("per-minion").get<std::uint32_t>();
      units.m_count = std::min(in.at("count").get<std::uint32_t>(),
                               static_cast<std::uint32_t>(job::kMaxUnitsPerJob));
      units.m_isGang = in.at("gang").get<bool>();
      report.m_load.m_unplaced.push_back(std::move(units));
    }
    report.m_drainedMachines = aIn.at("clear").get<std::vector<std::string>>();
    report.m_idleMachines = aIn.at("idle").get<std::vector<std::string>>();
    report.m_accounts = job::AccountReportOf(aIn);
    return report;
  });
}

} // namespace mustardtray::node
