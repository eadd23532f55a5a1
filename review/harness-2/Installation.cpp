#include "review/harness-2/Installation.h"

#include <csignal>
#include <cstring>
#include <ctime>
#include <fstream>
#include <unistd.h>

#include <asio/ip/tcp.hpp>

#include "mustardtray/process/JsonReader.h"

namespace mustardtray::review {

namespace {

constexpr std::uint16_t kFrontPort = 8624;
constexpr std::uint16_t kReadyPort = 8622;
constexpr std::uint16_t kControlPort = 8623;
constexpr std::uint16_t kFirstPeerPort = 7060;
constexpr std::uint16_t kLastPeerPort = 7075;
constexpr Millis kDeadline{ 3'000 };
constexpr Millis kStartLimit{ 20'000 };
constexpr Millis kRunStep{ 10 };
constexpr const char* kHost = "review.example";
constexpr Millis kAllowanceWindow{ 100 };
constexpr Millis kAllowanceCheck{ 3 };
constexpr Millis kMemoryCheck{ 50 };
/// After a process has been killed for its memory.
constexpr Millis kRestartDelay{ 1'000 };
constexpr const char* kWrobLodzBounds =
  "bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\n"
  "bounds.config_deadline_ms=2000\nbounds.max_skew_ms=5000\nbounds.recovery_s=12\n"
  "bounds.hold_max_ms=6000\nbounds.gang_ms=3000\nbounds.cancel_ms=3000\nbounds.far_x=2\n"
  "bounds.checkpoint_s=0.5\nbounds.restore_ms=250\nbounds.notice_ms=4500\nbounds.harm_ms=4000\n";
constexpr const char* kRutachapinBounds =
  "bounds.contact_ms=4000\nbounds.ack_ms=6000\nbounds.catch_up_s=6\nbounds.drain_ms=3000\n"
  "bounds.config_deadline_ms=3000\nbounds.max_skew_ms=6000\nbounds.recovery_s=15\n"
  "bounds.hold_max_ms=10000\nbounds.gang_ms=4000\nbounds.cancel_ms=4000\nbounds.far_x=3\n"
  "bounds.checkpoint_s=2\nbounds.restore_ms=100\nbounds.notice_ms=5500\nbounds.harm_ms=4500\n";
/// Bounds that both have.
constexpr const char* kCommonBounds =
  "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.grace_s=6\nbounds.loss_slack_ms=200\n"
  "bounds.rollback_slack_ms=250\nbounds.stop_ms=200\nbounds.visible_ms=3000\nbounds.early_ms=250\n"
  "bounds.finish_s=14\nbounds.status_s=120\nbounds.move_s=1.5\nbounds.maintenance_s=2\n"
  "bounds.fencing_required=false\nbounds.lease_ms=3000\nbounds.thaw_slack_ms=300\n"
  "bounds.pace_ms=100\n";

/// Whether the ports of a node are free at the address.
bool IsFree(asio::io_context& aContext, const std::string& aIp)
{
  for (const std::uint16_t port : { kFrontPort, kReadyPort, kControlPort, kFirstPeerPort }) {
    asio::ip::tcp::acceptor acceptor(aContext);
    asio::error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(aIp), port);
    acceptor.open(endpoint.protocol(), error);
    acceptor.bind(endpoint, error);
    if (error) {
      return false;
    }
  }
  return true;
}

/// Processor time of a process in microseconds; 0 when it is not known.
std::int64_t ProcessorTime(int aPid)
{
  clockid_t clock{};
  timespec time{};
  if (aPid == 0 || clock_getcpuclockid(aPid, &clock) != 0 || clock_gettime(clock, &time) != 0) {
    return 0;
  }
  return std::int64_t{ time.tv_sec } * 1'000'000 + time.tv_nsec / 1'000;
}

/// Resident memory of a process in MB.
std::size_t ResidentMb(int aPid)
{
  std::ifstream file(fmt::format("/proc/{}/statm", aPid));
  std::size_t size = 0;
  std::size_t resident = 0;
  file >> size >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) >> 20;
}

} // namespace

std::string Answer::State() const
{
  const Json body = Json::parse(m_body, nullptr, false);
  return body.is_object() ? body.value("state", std::string{}) : std::string{};
}

std::string MakeJob(const JobShape& aShape)
{
  const Json spec{ { "ms", aShape.m_duration.count() }, { "cpu", aShape.m_cpu } };
  Json step{ { "count", aShape.m_count },
             { "cpu", aShape.m_cpu },
             { "mem_mb", 64 },
             { "estimate_ms", aShape.m_duration.count() } };
  if (!aShape.m_label.empty()) {
    step["requires"] = aShape.m_label;
  }
  return Json{ { "spec", spec.dump() }, { "steps", { step } } }.dump();
}

Installation::Installation(Record& aRecord, std::string aFolder, Site aSite)
  : m_record(aRecord)
  , m_folder(std::move(aFolder))
  , m_site(aSite)
  , m_http(std::make_unique<HttpClient>(m_context))
  , m_store(std::make_unique<soak::RowStoreStandin>(m_context, m_timers))
  , m_fleet(std::make_unique<Fleet>(m_context, m_timers, *m_store, aRecord))
{
}

double Installation::CpuShare() const
{
  return m_site == Site::WrobLodz ? 0.25 : 0.12;
}

std::size_t Installation::MemoryMb() const
{
  return m_site == Site::WrobLodz ? 260 : 160;
}

Installation::~Installation()
{
  for (const auto& node : m_nodes) {
    KillProcess(node->m_process);
  }
}

void Installation::PutConfig(const std::vector<Route>& aRoutes,
                             const std::vector<std::string>& aServices)
{
  Json routes = Json::array();
  Json services = Json::array();
  for (const Route& route : aRoutes) {
    routes.push_back({ { "name", route.m_name },
                       { "host", kHost },
                       { "prefix", route.m_prefix },
                       { "type", "unsafe" },
                       { "timeout_ms", 3'000 },
                       { "target_duration_ms", 2'500 },
                       { "priority", 0 },
                       { "service", route.m_service },
                       { "max_attempts", route.m_maxAttempts },
                       { "stretch", 2.2 } });
  }
  for (const std::string& service : aServices) {
    services.push_back({ { "name", service },
                         { "health_path", "/health" },
                         { "max_conns", 64 },
                         { "protocol", "h1" },
                         { "tls", false },
                         { "rejects_overload", true },
                         { "spare", false } });
  }
  m_configVersion += 3;
  const Json config{ { "version", m_configVersion },
                     { "routes", std::move(routes) },
                     { "services", std::move(services) },
                     { "limits",
                       { { "max_header_bytes", 16'384 },
                         { "max_body_bytes", 262'144 },
                         { "header_timeout_ms", 3'000 },
                         { "idle_timeout_ms", 15'000 } } } };
  m_store->Put("op", "config", config.dump());
  m_record.Add("operator writes op/config: {}", config.dump());
}

void Installation::AddNode(std::size_t aNumber)
{
  auto node = std::make_unique<Node>();
  std::string ip;
  int attempt = 0;
  do {
    const int id = getpid() + 997 * attempt;
    ip = fmt::format("127.{}.{}.{}", 64 + id % 128, id / 128 % 250, 10 + aNumber);
  } while (!IsFree(m_context, ip) && ++attempt < 50);
  node->m_ip = ip;
  LocalProcess& process = node->m_process;
  process.m_name = fmt::format("edge-z1-{}", aNumber);
  process.m_logFile = fmt::format("{}/{}.log", m_folder, process.m_name);
  const std::string settings = fmt::format("{}/{}.conf", m_folder, process.m_name);
  process.m_command = {
    "/usr/bin/env", "MUSTARDTRAY_BOOT=" + settings, "target/mustardtray", "node"
  };
  std::ofstream file(settings);
  file << "node_name=" << process.m_name
       << "\nrole=node\nmachine_class=edge\nserves=edge\nip=" << ip
       << "\nzone=z1\nregion=r1\nzones.z1=r1\nlisten.front=" << ip << ":" << kFrontPort
       << "\nlisten.ready=" << ip << ":" << kReadyPort << "\nlisten.control=" << ip << ":"
       << kControlPort << "\ninternal_ports=" << kFirstPeerPort << "," << kLastPeerPort
       << "\nseeds=" << ip << ":" << kControlPort
       << "\nbootstrap=true\nloss_counted=false\nlimits.cpu_share=" << CpuShare()
       << "\nlimits.memory_mb=" << MemoryMb()
       << "\nlimits.cores=1\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0"
          "\ndiscovery=platform\nentry=vip\nheartbeat_ms=1500"
          "\ncontracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing"
          "\nfault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n"
       << kCommonBounds << (m_site == Site::WrobLodz ? kWrobLodzBounds : kRutachapinBounds)
       << "orders=call\nplatform.form=table\nplatform.writes_per_s=600\nplatform.reads_per_s=2000"
          "\nplatform.tx_ms=5.0\nplatform.part_writes_s=200\nplatform.row_bytes=65536"
          "\nplatform.across=false\nplatform.history_s=20\ncloud_api.rate_per_s=64.0"
          "\ncloud_api.duties=\ncloud_api.duty_per_s=64.0"
       << "\nplatform.address=127.0.0.1:" << m_store->Port()
       << "\ncloud_api.address=127.0.0.1:" << m_fleet->CloudPort() << "\n";
  m_nodes.push_back(std::move(node));
}

bool Installation::StartNodes(std::size_t aCount, const Route& aProbe)
{
  for (std::size_t number = 1; number <= aCount; ++number) {
    AddNode(number);
    if (!StartProcess(m_nodes.back()->m_process)) {
      return false;
    }
    m_record.Add("node {} started at {}", m_nodes.back()->m_process.m_name, m_nodes.back()->m_ip);
  }
  const TimePoint limit = MonotonicNow() + kStartLimit;
  const std::string job = MakeJob({});
  for (std::size_t node = 0; node < aCount; ++node) {
    const std::string path = fmt::format("{}{:016x}", aProbe.m_prefix, 0xffff0000 + node);
    bool hasAccepted = false;
    while (!hasAccepted && MonotonicNow() < limit) {
      Run(Millis(200));
      hasAccepted = IsReady(*m_nodes[node]) && Call(node, "POST", path, job).m_status == 200;
    }
    if (!hasAccepted ||
        !RunUntil(Millis(8'000), [&] { return Call(node, "GET", path).State() == "completed"; })) {
      return false;
    }
  }
  return true;
}

bool Installation::IsReady(const Node& aNode)
{
  HttpCall call;
  call.m_url = fmt::format("http://{}:{}/-/ready", aNode.m_ip, kReadyPort);
  call.m_timeout = Millis(1'000);
  return Request(std::move(call)).m_status == 200;
}

Answer Installation::Request(HttpCall aCall)
{
  std::optional<Answer> answer;
  m_http->Start(std::move(aCall), [&](HttpCallResult aResult) {
    answer = aResult ? Answer{ aResult.value().m_status, aResult.value().m_body } : Answer{};
  });
  while (!answer) {
    m_context.run_one();
  }
  return *answer;
}

void Installation::CallLater(std::size_t aNode,
                             const std::string& aMethod,
                             const std::string& aPath,
                             const std::string& aBody,
                             std::function<void(const Answer&)> aDone)
{
  const Node& node = *m_nodes.at(aNode);
  HttpCall call;
  call.m_method = aMethod;
  call.m_url = fmt::format("http://{}:{}{}", node.m_ip, kFrontPort, aPath);
  call.m_headers = { { "Host", kHost },
                     { "Content-Type", "application/json" },
                     { "Deadline-Ms", std::to_string(kDeadline.count()) } };
  call.m_body = aBody;
  call.m_timeout = kDeadline;
  m_http->Start(std::move(call),
                [this,
                 text = fmt::format("{} {} at {}", aMethod, aPath, node.m_process.m_name),
                 done = std::move(aDone)](HttpCallResult aResult) {
                  const Answer answer =
                    aResult ? Answer{ aResult.value().m_status, aResult.value().m_body } : Answer{};
                  m_record.Add("client: {}: {} {}", text, answer.m_status, answer.m_body);
                  done(answer);
                });
}

Answer Installation::Call(std::size_t aNode,
                          const std::string& aMethod,
                          const std::string& aPath,
                          const std::string& aBody)
{
  std::optional<Answer> answer;
  CallLater(aNode, aMethod, aPath, aBody, [&](const Answer& aAnswer) { answer = aAnswer; });
  while (!answer) {
    m_context.run_one();
  }
  return *answer;
}

void Installation::Run(Millis aDuration)
{
  m_context.run_for(aDuration);
}

bool Installation::RunUntil(Millis aLimit, const std::function<bool()>& aCondition)
{
  const TimePoint limit = MonotonicNow() + aLimit;
  while (!aCondition()) {
    if (MonotonicNow() >= limit) {
      return false;
    }
    Run(kRunStep);
  }
  return true;
}

void Installation::Signal(std::size_t aNode, int aSignal)
{
  const LocalProcess& process = m_nodes.at(aNode)->m_process;
  m_record.Add("TROUBLE {} gets {}", process.m_name, sigabbrev_np(aSignal));
  if (process.m_pid != 0) {
    kill(process.m_pid, aSignal);
  }
}

void Installation::Kill(std::size_t aNode)
{
  LocalProcess& process = m_nodes.at(aNode)->m_process;
  m_record.Add("TROUBLE {} is killed", process.m_name);
  KillProcess(process);
}

bool Installation::Restart(std::size_t aNode)
{
  LocalProcess& process = m_nodes.at(aNode)->m_process;
  m_record.Add("{} starts again", process.m_name);
  return HasEnded(process) && StartProcess(process).has_value();
}

void Installation::EnforceLimits()
{
  m_record.Add("each node has {} of a core and {} MB", CpuShare(), MemoryMb());
  m_allowanceTimer = m_timers.Every(kAllowanceCheck, 0, [this] { EnforceAllowances(); });
  m_memoryTimer = m_timers.Every(kMemoryCheck, 0, [this] { EnforceMemory(); });
}

void Installation::EnforceAllowances()
{
  const TimePoint now = MonotonicNow();
  const bool isNewWindow = now - m_windowBeganAt >= kAllowanceWindow;
  m_windowBeganAt = isNewWindow ? now : m_windowBeganAt;
  for (const auto& node : m_nodes) {
    const int pid = node->m_process.m_pid;
    const std::int64_t used = ProcessorTime(pid);
    if (isNewWindow || used < node->m_usedAtWindow) {
      node->m_usedAtWindow = used;
    }
    const auto allowance =
      static_cast<std::int64_t>(CpuShare() * static_cast<double>(Micros(kAllowanceWindow).count()));
    const bool mustStop = pid != 0 && used - node->m_usedAtWindow >= allowance;
    if (pid != 0 && mustStop != node->m_isThrottled) {
      kill(pid, mustStop ? SIGSTOP : SIGCONT);
    }
    node->m_isThrottled = mustStop;
  }
}

void Installation::EnforceMemory()
{
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    Node& node = *m_nodes[i];
    const std::size_t used = node.m_process.m_pid != 0 ? ResidentMb(node.m_process.m_pid) : 0;
    node.m_peakMemoryMb = std::max(node.m_peakMemoryMb, used);
    if (used > MemoryMb()) {
      ++m_memoryKills;
      m_record.Add(
        "platform: {} uses {} MB of {} and is killed", node.m_process.m_name, used, MemoryMb());
      KillProcess(node.m_process);
      node.m_restart = m_timers.After(kRestartDelay, [this, i] { Restart(i); });
    }
  }
}

bool Installation::HasNodeEnded()
{
  bool hasEnded = false;
  for (const auto& node : m_nodes) {
    hasEnded = HasEnded(node->m_process) || hasEnded;
  }
  return hasEnded;
}

} // namespace mustardtray::review
