#include "tests/soak/MachineStandin.h"

#include <fmt/format.h>

#include "standin/StandinJson.h"

/// Waves and the interface that lists, moves and maintains machines.

namespace mustardtray::soak {

namespace {

constexpr int kConflict = 409;

TimePoint Now()
{
  return std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
}

} // namespace

void MachineStandin::StartWave(std::uint64_t aNumber,
                               const std::vector<std::string>& aMachines,
                               std::size_t aMaxInMaintenance)
{
  m_waveMachines[aNumber] = { aMachines.begin(), aMachines.end() };
  m_waveLimits[aNumber] = aMaxInMaintenance;
  m_store.Put("op",
              fmt::format("wave/{}", aNumber),
              Json{ { "wave", aNumber },
                    { "machines", aMachines },
                    { "duration_s", 12 },
                    { "max_count", aMaxInMaintenance } }
                .dump());
}

void MachineStandin::HandleCloudApiRequest(const std::shared_ptr<StandinExchange>& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  aExchange->SendResponse(request.m_method == "GET" ? ListMachines() : ExecuteOrder(request));
}

HttpResponse MachineStandin::ListMachines() const
{
  Json machines = Json::array();
  for (const auto& [name, machine] : m_machines) {
    machines.push_back(
      { { "machine", name },
        { "pool", machine->m_pool },
        { "state", machine->m_state },
        { "zone", "z1" },
        { "labels", { machine->m_kind, "rack-1" } },
        { "capacity", { { "cpu", machine->m_cpu }, { "mem_mb", 65'536 }, { "gpu", 0 } } },
        { "id", machine->m_incarnation ? Json(machine->m_incarnation->m_id) : Json() } });
  }
  return JsonResponse(200, Json{ { "machines", std::move(machines) } }.dump());
}

HttpResponse MachineStandin::ExecuteOrder(const HttpRequest& aRequest)
{
  const Json body = Json::parse(aRequest.m_body, nullptr, false);
  const auto found = m_machines.find(body.value("machine", std::string{}));
  const std::string* holder = aRequest.Header("Lease-Holder");
  const std::string* token = aRequest.Header("Fencing-Token");
  if (found == m_machines.end() || !holder || !token) {
    return JsonResponse(400, "{}");
  }
  Machine& machine = *found->second;
  const std::uint64_t number = std::strtoull(token->c_str(), nullptr, 10);
  const bool isOtherHolder = !machine.m_leaseHolder.empty() && machine.m_leaseHolder != *holder;
  if (isOtherHolder && Now() - machine.m_orderedAt < kMachineOrderLease) {
    m_checker.ReportViolation("two lease holders sent orders for " + machine.m_name +
                              " within one order lease: " + machine.m_leaseHolder + " and " +
                              *holder);
  }
  if (number < machine.m_orderToken || (isOtherHolder && number == machine.m_orderToken)) {
    m_checker.ReportViolation("an order has an outdated fencing token: " + machine.m_name);
  }
  machine.m_leaseHolder = *holder;
  machine.m_orderToken = number;
  machine.m_orderedAt = Now();
  if (machine.m_state != "up") {
    return JsonResponse(kConflict, R"({"reason":"busy"})");
  }
  if (aRequest.m_path == "/-/machine-move") {
    LeaveService(machine);
    machine.m_pool = body.at("pool");
    machine.m_state = "moving";
    ReturnAfter(machine, kMoveDuration, {});
    return JsonResponse(200, "{}");
  }
  const auto wave = body.at("wave").get<std::uint64_t>();
  if (!m_maintained.insert({ wave, machine.m_name }).second) {
    return JsonResponse(200, "{}"); // The maintenance has already been ordered.
  }
  if (!m_waveMachines[wave].contains(machine.m_name)) {
    return JsonResponse(kConflict, R"({"reason":"wave"})");
  }
  std::size_t inMaintenance = 0;
  for (const auto& [name, other] : m_machines) {
    inMaintenance += other->m_state == "upkeep" && other->m_wave == wave ? 1 : 0;
  }
  if (inMaintenance >= m_waveLimits[wave]) {
    m_checker.ReportViolation("too many machines in maintenance at once: " + machine.m_name);
  }
  LeaveService(machine);
  machine.m_state = "upkeep";
  machine.m_wave = wave;
  ReturnAfter(machine, kMaintenanceDuration, {});
  return JsonResponse(200, "{}");
}

} // namespace mustardtray::soak
