#include "standin/LocalFleet.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <thread>

#include <boost/outcome/try.hpp>
#include <fmt/format.h>

#include "mustardtray/connection/HttpClient.h"
#include "mustardtray/process/Settings.h"
#include "mustardtray/version/CompiledConfiguration.h"
#include "mustardtray/version/ParseConfiguration.h"
#include "standin/VmFleet.h"

namespace mustardtray {

namespace {

constexpr std::uint16_t kLockPort = 19'999;
constexpr std::uint16_t kPlatformPort = 9'000;
constexpr std::uint16_t kMinionControlPort = 9'001;
constexpr std::uint16_t kCallerPort = 8'080;
constexpr std::uint16_t kForwardPort = 8'081;
constexpr std::uint16_t kPeerPort = 8'082;
constexpr std::uint16_t kOperatorPort = 8'083;
constexpr std::uint16_t kMetricsPort = 8'084;
constexpr int kFirstNetwork = 10;
constexpr int kLastNetwork = 250;
constexpr Millis kStartTimeout{ 10'000 };
constexpr Millis kStopTimeout{ 5'000 };

std::string MakeUrl(const std::string& aAddress, std::uint16_t aPort)
{
  return fmt::format("http://{}:{}", aAddress, aPort);
}

Error InternalError(std::string aStep, std::string aPeer, std::string aMessage)
{
  return { ErrorKind::Internal, std::move(aStep), std::move(aPeer), std::move(aMessage) };
}

void TerminateProcess(LocalProcess& aProcess)
{
  if (HasEnded(aProcess)) {
    return;
  }
  kill(aProcess.m_pid, SIGCONT);
  kill(aProcess.m_pid, SIGTERM);
  if (!WaitUntil(kStopTimeout, [&] { return HasEnded(aProcess); })) {
    KillProcess(aProcess);
  }
}

std::optional<HttpResponse> PostJson(const std::string& aUrl, const Json& aBody)
{
  HttpCall call;
  call.m_method = "POST";
  call.m_url = aUrl;
  call.m_headers.push_back({ "Content-Type", "application/json" });
  call.m_body = aBody.dump();
  HttpCallResult result = CallAndWait(std::move(call));
  if (result.has_error()) {
    return std::nullopt;
  }
  return std::move(result.value());
}

} // namespace

void SleepFor(Millis aTime)
{
  std::this_thread::sleep_for(aTime);
}

LocalFleet::LocalFleet(LocalFleetOptions aOptions)
  : m_options(std::move(aOptions))
  , m_networkLock(m_context)
{
}

LocalFleet::~LocalFleet()
{
  for (auto& [name, daemon] : m_daemons) {
    if (!HasEnded(daemon)) {
      kill(daemon.m_pid, SIGCONT);
      kill(daemon.m_pid, SIGKILL);
    }
  }
  for (auto& [name, daemon] : m_daemons) {
    TerminateProcess(daemon);
  }
  TerminateProcess(m_minions);
  TerminateProcess(m_platform);
}

Result<void> LocalFleet::Start()
{
  BOOST_OUTCOME_TRYV(ReadFiles());
  std::filesystem::create_directories(m_options.m_folder);
  m_platform = { "platform-standin",
                 { BinaryPath("platform-standin"),
                   "--settings",
                   WriteFile("platform.json", PlatformSettingsJson()) },
                 m_options.m_folder + "/platform.log" };
  m_minions = {
    "minion-standin",
    { BinaryPath("minion-standin"), "--settings", WriteFile("minions.json", MinionSettingsJson()) },
    m_options.m_folder + "/minions.log"
  };
  BOOST_OUTCOME_TRYV(StartProcess(m_platform));
  BOOST_OUTCOME_TRYV(StartProcess(m_minions));
  const bool areReachable = WaitForUrl(m_platformUrl + "/stats", kStartTimeout) &&
                            WaitForUrl(m_minionControlUrl + "/control/stats", kStartTimeout);
  if (!areReachable) {
    return InternalError(
      "start stand-ins", m_options.m_folder, "no response; see the logs in this folder");
  }
  BOOST_OUTCOME_TRYV(StartDaemons());
  if (RunClient({ "apply", m_options.m_configurationFile }) != 0) {
    return InternalError("apply configuration", m_options.m_configurationFile, "see client.log");
  }
  return boost::outcome_v2::success();
}

Result<void> LocalFleet::ReadFiles()
{
  BOOST_OUTCOME_TRY(document, LoadJsonFile(m_options.m_configurationFile));
  ParsedConfiguration parsed = ParseConfigurationDocument(document);
  m_configuration = std::move(parsed.m_configuration);
  FieldErrors errors = std::move(parsed.m_errors);
  BOOST_OUTCOME_TRY(vms, LoadJsonFile(m_options.m_vmsFile));
  ReserveNetwork();
  for (const Json& item : vms) {
    JsonReader reader(item, "", errors);
    VmListing vm = ReadStandinVm(reader).m_listing;
    const std::size_t secondOctet = vm.m_address.find('.', vm.m_address.find('.') + 1);
    vm.m_address = m_networkPrefix + vm.m_address.substr(secondOctet);
    m_vms.push_back(std::move(vm));
  }
  if (!errors.empty()) {
    return Error{ ErrorKind::Invalid, "read example", m_options.m_vmsFile, JoinErrors(errors) };
  }
  return boost::outcome_v2::success();
}

void LocalFleet::ReserveNetwork()
{
  for (int octet = kFirstNetwork; octet <= kLastNetwork; ++octet) {
    const std::string network = fmt::format("127.{}", octet);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(network + ".0.1"), kLockPort);
    asio::error_code error;
    m_networkLock = asio::ip::tcp::acceptor(m_context, endpoint.protocol());
    m_networkLock.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    m_networkLock.bind(endpoint, error);
    if (!error) {
      m_networkLock.listen(1, error);
    }
    if (!error) {
      m_networkPrefix = network;
      break;
    }
  }
  // The child processes must not inherit the lock.
  fcntl(m_networkLock.native_handle(), F_SETFD, FD_CLOEXEC);
  m_platformUrl = MakeUrl(m_networkPrefix + ".0.1", kPlatformPort);
  m_minionControlUrl = MakeUrl(m_networkPrefix + ".0.1", kMinionControlPort);
}

// --- Settings

Json LocalFleet::EntryVmSettingsJson(const VmListing& aVm) const
{
  const auto listen = [&](std::uint16_t aPort) {
    return Json{ { "address", aVm.m_address }, { "port", aPort } };
  };
  Json settings{ { "node", aVm.m_name },
                 { "zone", aVm.m_zone },
                 { "caller", listen(kCallerPort) },
                 { "forward", listen(kForwardPort) },
                 { "peer", listen(kPeerPort) },
                 { "operator", listen(kOperatorPort) },
                 { "metrics", listen(kMetricsPort) },
                 { "outbound_address", aVm.m_address },
                 { "platform", { { "url", m_platformUrl } } } };
  Json seeds = Json::array();
  for (const VmListing& other : m_vms) {
    if (other.m_role == VmRole::Entry && other.m_name != aVm.m_name) {
      seeds.push_back(MakeUrl(other.m_address, kPeerPort));
    }
  }
  settings["seeds"] = std::move(seeds);
  settings.merge_patch(m_options.m_extraSettings);
  return settings;
}

Json LocalFleet::PlatformSettingsJson() const
{
  Json vms = Json::array();
  const std::string control = fmt::format("{}.0.1:{}", m_networkPrefix, kMinionControlPort);
  for (const VmListing& vm : m_vms) {
    Json item{ { "name", vm.m_name },          { "address", vm.m_address },
               { "zone", vm.m_zone },          { "rack", vm.m_rack },
               { "role", ToName(vm.m_role) },  { "cores", vm.m_cores },
               { "memory_mb", vm.m_memoryMb }, { "accelerators", vm.m_accelerators } };
    if (vm.m_role == VmRole::Target) {
      item["control"] = control;
    }
    vms.push_back(std::move(item));
  }
  return Json{ { "address", m_networkPrefix + ".0.1" }, { "port", kPlatformPort }, { "vms", vms } };
}

Json LocalFleet::MinionSettingsJson() const
{
  const CompiledConfigurationPointer compiled =
    CompiledConfiguration::Compile(m_configuration, m_vms);
  Json minions = Json::array();
  for (const VmListing& vm : m_vms) {
    if (vm.m_role != VmRole::Target) {
      continue;
    }
    for (const auto& [name, service] : m_configuration.m_services) {
      minions.push_back({ { "vm", vm.m_name },
                          { "service", name },
                          { "pool", service.m_pool },
                          { "address", vm.m_address },
                          { "port", service.m_port },
                          { "slots", service.m_slots },
                          { "connections", service.m_connections },
                          { "run_ms", m_options.m_runTime.count() },
                          { "running", compiled->PoolOf(vm.m_name) == service.m_pool } });
    }
  }
  return Json{ { "control",
                 { { "address", m_networkPrefix + ".0.1" }, { "port", kMinionControlPort } } },
               { "minions", std::move(minions) } };
}

std::string LocalFleet::WriteFile(const std::string& aName, const Json& aContent) const
{
  const std::string path = m_options.m_folder + "/" + aName;
  std::ofstream(path) << aContent.dump(2) << "\n";
  return path;
}

std::string LocalFleet::BinaryPath(const std::string& aName) const
{
  return m_options.m_binaryFolder + "/" + aName;
}

// --- Processes

Result<void> LocalFleet::StartDaemons()
{
  for (const VmListing& vm : m_vms) {
    if (vm.m_role != VmRole::Entry) {
      continue;
    }
    m_entryVms.push_back({ vm.m_name,
                           vm.m_zone,
                           vm.m_address,
                           MakeUrl(vm.m_address, kCallerPort),
                           MakeUrl(vm.m_address, kPeerPort),
                           MakeUrl(vm.m_address, kOperatorPort),
                           MakeUrl(vm.m_address, kMetricsPort) });
    const std::string settings = WriteFile(vm.m_name + ".json", EntryVmSettingsJson(vm));
    LocalProcess& daemon = m_daemons[vm.m_name];
    daemon = { vm.m_name,
               { BinaryPath("mustardtray"), "serve", "--settings", settings },
               m_options.m_folder + "/" + vm.m_name + ".log" };
    BOOST_OUTCOME_TRYV(StartProcess(daemon));
  }
  for (const LocalEntryVm& entry : m_entryVms) {
    if (!WaitForUrl(entry.m_metricsUrl + "/healthz", kStartTimeout)) {
      return InternalError("start daemon", entry.m_name, "no response; see its log");
    }
  }
  return boost::outcome_v2::success();
}

int LocalFleet::RunClient(const std::vector<std::string>& aArguments, const std::string& aEntryVm)
{
  LocalProcess client{ "client",
                       { BinaryPath("mustardtray") },
                       m_options.m_folder + "/client.log" };
  client.m_command.insert(client.m_command.end(), aArguments.begin(), aArguments.end());
  client.m_command.push_back("--operator");
  const LocalEntryVm& entry = aEntryVm.empty() ? m_entryVms.front() : EntryVm(aEntryVm);
  client.m_command.push_back(entry.m_operatorUrl);
  if (StartProcess(client).has_error()) {
    return -1;
  }
  int status = 0;
  waitpid(client.m_pid, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

Json LocalFleet::ReadVmRow(const std::string& aVm) const
{
  const auto response =
    PostJson(m_platformUrl + "/table/read", Json{ { "keys", { "vm/" + aVm } } });
  const Json document = response ? Json::parse(response->m_body, nullptr, false) : Json();
  const bool hasRow = document.is_object() && !document.at("rows").empty();
  return hasRow ? document.at("rows").at(0).at("value") : Json::object();
}

bool LocalFleet::WaitForUrl(const std::string& aUrl, Millis aTimeout) const
{
  return WaitUntil(aTimeout, [&] {
    HttpCall call;
    call.m_url = aUrl;
    const HttpCallResult result = CallAndWait(std::move(call));
    return result.has_value() && result.value().m_status == 200;
  });
}

bool LocalFleet::WaitUntilServing(Millis aTimeout)
{
  const TimePoint end = MonotonicNow() + aTimeout;
  for (const LocalEntryVm& entry : m_entryVms) {
    if (HasEnded(m_daemons.at(entry.m_name))) {
      continue;
    }
    const Millis left = CeilMillis(std::max(end - MonotonicNow(), Micros(1)));
    const bool isServing = WaitUntil(left, [&] {
      HttpCall call;
      call.m_url = entry.m_metricsUrl + "/readyz";
      const HttpCallResult result = CallAndWait(std::move(call));
      return result.has_value() && result.value().m_status == 200;
    });
    if (!isServing) {
      return false;
    }
  }
  return true;
}

const LocalEntryVm& LocalFleet::EntryVm(const std::string& aName) const
{
  return *std::find_if(m_entryVms.begin(), m_entryVms.end(), [&](const LocalEntryVm& aEntry) {
    return aEntry.m_name == aName;
  });
}

std::string LocalFleet::AddressOf(const std::string& aVm) const
{
  const auto found = std::find_if(
    m_vms.begin(), m_vms.end(), [&](const VmListing& aOther) { return aOther.m_name == aVm; });
  return found == m_vms.end() ? "" : found->m_address;
}

void LocalFleet::SendSignal(const std::string& aEntryVm, int aSignal)
{
  const LocalProcess& daemon = m_daemons.at(aEntryVm);
  if (daemon.m_pid != 0) {
    kill(daemon.m_pid, aSignal);
  }
}

bool LocalFleet::WaitForExit(const std::string& aEntryVm, Millis aTimeout)
{
  return WaitUntil(aTimeout, [&] { return HasEnded(m_daemons.at(aEntryVm)); });
}

Result<void> LocalFleet::Restart(const std::string& aEntryVm)
{
  BOOST_OUTCOME_TRYV(StartProcess(m_daemons.at(aEntryVm)));
  if (!WaitForUrl(EntryVm(aEntryVm).m_metricsUrl + "/healthz", kStartTimeout)) {
    return InternalError("restart daemon", aEntryVm, "no response; see its log");
  }
  return boost::outcome_v2::success();
}

bool LocalFleet::SetPlatformFaults(const Json& aFaults)
{
  const auto response = PostJson(m_platformUrl + "/faults", aFaults);
  return response && response->m_status == 200;
}

bool LocalFleet::SetMinionFault(const std::string& aVm, const Json& aFault)
{
  const auto response = PostJson(m_minionControlUrl + "/control/minions/" + aVm, aFault);
  return response && response->m_status == 200;
}

Json LocalFleet::MinionStats() const
{
  HttpCall call;
  call.m_url = m_minionControlUrl + "/control/stats";
  const HttpCallResult result = CallAndWait(std::move(call));
  return result.has_value() ? Json::parse(result.value().m_body, nullptr, false) : Json();
}

} // namespace mustardtray
