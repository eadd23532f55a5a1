#include "standin/MinionStandin.h"

#include <algorithm>

#include <boost/outcome/try.hpp>

#include "standin/StandinJson.h"

namespace mustardtray {

namespace {

constexpr std::string_view kMinionsPath = "/control/minions/";

Json ToJson(Minion& aMinion)
{
  const MinionSettings& settings = aMinion.Settings();
  const MinionCounts& counts = aMinion.Counts();
  const auto connectionLimit = static_cast<std::size_t>(settings.m_maxConnections);
  return { { "vm", settings.m_vm },
           { "service", settings.m_service },
           { "pool", settings.m_pool },
           { "address", settings.m_address },
           { "port", aMinion.Port() },
           { "running", aMinion.IsRunning() },
           { "fault", ToName(aMinion.Fault().m_kind) },
           { "requests", counts.m_requests },
           { "runs", counts.m_runs },
           { "refused", counts.m_refused },
           { "peak_occupancy", counts.m_peakOccupancy },
           { "peak_connections", counts.m_peakConnections },
           { "slot_violations", counts.m_slotViolations },
           { "over_connections", counts.m_peakConnections > connectionLimit },
           { "late_arrivals", counts.m_lateArrivals },
           { "stops", counts.m_stops },
           { "stops_with_work", counts.m_stopsWithWork },
           { "kills", counts.m_kills },
           { "killed_runs", counts.m_killedRuns } };
}

} // namespace

Result<MinionStandinSettings> ParseMinionStandinSettings(std::string_view aText)
{
  return ParseDocument<MinionStandinSettings>("minion stand-in", aText, [](JsonReader& aReader) {
    MinionStandinSettings settings;
    aReader.Object("control", [&](JsonReader& aControl) {
      settings.m_controlAddress = aControl.String("address", settings.m_controlAddress);
      settings.m_controlPort = static_cast<std::uint16_t>(aControl.Integer("port", 0, 0, 65'535));
    });
    aReader.Each("minions", [&](JsonReader& aItem) {
      settings.m_minions.push_back(ReadMinionSettings(aItem));
    });
    return settings;
  });
}

MinionStandin::MinionStandin(asio::io_context& aContext, MinionStandinSettings aSettings)
  : m_control(aContext,
              aSettings.m_controlAddress,
              aSettings.m_controlPort,
              [this](const Exchange& aExchange) { OnControl(aExchange); })
{
  for (MinionSettings& minion : aSettings.m_minions) {
    m_minions.push_back(std::make_unique<Minion>(aContext, std::move(minion), m_runCounter));
  }
}

Result<void> MinionStandin::Start()
{
  BOOST_OUTCOME_TRYV(m_control.Listen());
  for (const auto& minion : m_minions) {
    if (minion->Settings().m_isInitiallyRunning) {
      BOOST_OUTCOME_TRYV(minion->Start());
    }
  }
  return boost::outcome_v2::success();
}

Json MinionStandin::Stats() const
{
  MinionCounts total;
  std::size_t overConnections = 0;
  for (const auto& minion : m_minions) {
    const MinionCounts& counts = minion->Counts();
    total.m_requests += counts.m_requests;
    total.m_refused += counts.m_refused;
    total.m_peakOccupancy = std::max(total.m_peakOccupancy, counts.m_peakOccupancy);
    total.m_peakConnections = std::max(total.m_peakConnections, counts.m_peakConnections);
    total.m_slotViolations += counts.m_slotViolations;
    total.m_lateArrivals += counts.m_lateArrivals;
    total.m_stops += counts.m_stops;
    total.m_stopsWithWork += counts.m_stopsWithWork;
    total.m_kills += counts.m_kills;
    total.m_killedRuns += counts.m_killedRuns;
    const int limit = minion->Settings().m_maxConnections;
    overConnections += counts.m_peakConnections > static_cast<std::size_t>(limit) ? 1 : 0;
  }
  return { { "requests", total.m_requests },
           { "refused", total.m_refused },
           { "work", mustardtray::ToJson(m_runCounter) },
           { "peak_occupancy", total.m_peakOccupancy },
           { "peak_connections", total.m_peakConnections },
           { "slot_violations", total.m_slotViolations },
           { "minions_over_connections", overConnections },
           { "late_arrivals", total.m_lateArrivals },
           { "stops", total.m_stops },
           { "stops_with_work", total.m_stopsWithWork },
           { "kills", total.m_kills },
           { "killed_runs", total.m_killedRuns },
           { "minions", MinionList() } };
}

Json MinionStandin::MinionList() const
{
  Json list = Json::array();
  for (const auto& minion : m_minions) {
    list.push_back(ToJson(*minion));
  }
  return list;
}

std::vector<Minion*> MinionStandin::SelectMinions(const MinionFilter& aFilter) const
{
  std::vector<Minion*> selected;
  for (const auto& minion : m_minions) {
    const MinionSettings& settings = minion->Settings();
    const bool matches =
      settings.m_vm == aFilter.m_vm &&
      (aFilter.m_service.empty() || settings.m_service == aFilter.m_service) &&
      (aFilter.m_pool.empty() || settings.m_pool.empty() || settings.m_pool == aFilter.m_pool);
    if (matches) {
      selected.push_back(minion.get());
    }
  }
  return selected;
}

void MinionStandin::OnControl(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  const bool isGet = request.m_method == "GET";
  if (isGet && request.m_path == "/control/stats") {
    SendJson(*aExchange, 200, Stats());
  } else if (isGet && request.m_path == "/control/minions") {
    SendJson(*aExchange, 200, { { "minions", MinionList() } });
  } else if (request.m_method == "POST" && request.m_path.starts_with(kMinionsPath)) {
    OnMinionControl(aExchange, request.m_path.substr(kMinionsPath.size()));
  } else {
    SendError(*aExchange, 404, "no such path");
  }
}

void MinionStandin::OnMinionControl(const Exchange& aExchange, const std::string& aPath)
{
  const std::size_t slash = aPath.find('/');
  const std::string vm = aPath.substr(0, slash);
  if (SelectMinions({ vm, "", "" }).empty()) {
    SendError(*aExchange, 404, "no minion on VM " + vm);
  } else if (slash == std::string::npos) {
    OnFault(aExchange, vm);
  } else {
    OnCommand(aExchange, vm, std::string_view(aPath).substr(slash + 1));
  }
}

void MinionStandin::OnFault(const Exchange& aExchange, const std::string& aVm)
{
  MinionFilter filter{ aVm, "", "" };
  const auto fault = ParseDocument<MinionFault>(
    "minion fault", aExchange->Request().m_body, [&](JsonReader& aReader) {
      filter.m_service = aReader.String("service", "");
      return ReadMinionFault(aReader);
    });
  if (!fault) {
    SendError(*aExchange, 400, fault.error().m_message);
    return;
  }
  for (Minion* minion : SelectMinions(filter)) {
    minion->SetFault(fault.value());
  }
  SendJson(*aExchange, 200, { { "fault", ToName(fault.value().m_kind) } });
}

void MinionStandin::OnCommand(const Exchange& aExchange,
                              const std::string& aVm,
                              std::string_view aCommand)
{
  bool isLeaving = true;
  const std::string& body = aExchange->Request().m_body;
  const auto filter = ParseDocument<MinionFilter>(
    "minion control", body.empty() ? "{}" : body, [&](JsonReader& aReader) {
      const std::string service = aReader.String("service", "");
      isLeaving = aReader.Bool("on", true);
      return MinionFilter{ aVm, service, aReader.String("pool", "") };
    });
  if (!filter) {
    SendError(*aExchange, 400, filter.error().m_message);
    return;
  }
  const std::vector<Minion*> minions = SelectMinions(filter.value());
  if (aCommand == "start") {
    StartMinions(aExchange, minions);
    return;
  }
  if (aCommand != "stop" && aCommand != "kill" && aCommand != "leaving") {
    SendError(*aExchange, 404, "allowed: start, stop, kill, leaving");
    return;
  }
  // The deleter sends the response when the last minion releases its reference.
  const std::shared_ptr<void> sendDone(nullptr, [aExchange](std::nullptr_t) {
    SendJson(*aExchange, 200, { { "done", true } });
  });
  for (Minion* minion : minions) {
    if (aCommand == "stop") {
      minion->Stop([sendDone] {});
    } else if (aCommand == "kill") {
      minion->Kill();
    } else {
      minion->SetLeaving(isLeaving);
    }
  }
}

void MinionStandin::StartMinions(const Exchange& aExchange, const std::vector<Minion*>& aMinions)
{
  for (Minion* minion : aMinions) {
    const Result<void> started = minion->Start();
    if (!started) {
      SendError(*aExchange, 409, started.error().Text());
      return;
    }
  }
  SendJson(*aExchange, 200, { { "done", true } });
}

} // namespace mustardtray
