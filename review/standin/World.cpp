#include "review/standin/World.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <unistd.h>

#include <fmt/format.h>

#include "standin/StandinJson.h"

namespace mustardtray::review {

namespace {

constexpr std::uint16_t kCallerPort = 8624;
constexpr std::uint16_t kReadyPort = 8622;
constexpr std::uint16_t kControlPort = 8623;
constexpr std::uint16_t kFirstPeerPort = 7060;
constexpr Millis kHeartbeat{ 1'500 };
constexpr Millis kCallerDeadline{ 3'000 };
constexpr Millis kStartTimeout{ 20'000 };
constexpr Millis kStepTime{ 5 };
constexpr int kAttempts = 5;
/// As in the deploy file.
constexpr const char* kNodeProgram = "target/mustardtray";
constexpr const char* kSettingsVariable = "MUSTARDTRAY_BOOT";

} // namespace

bool HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

World::World(const std::string& aFolder, WorldOptions aOptions)
  : m_options(aOptions)
  , m_folder(std::filesystem::temp_directory_path() / fmt::format("review-{}", getpid()))
  , m_record(aFolder + "/record.txt")
{
  std::filesystem::create_directories(m_folder);
  m_gate = std::make_unique<StoreGate>(
    m_context, m_timers, m_http, m_record, m_store.Port(), m_options.m_maxRowBytes);
  m_machineApi = std::make_unique<StandinServer>(
    m_context, "127.0.0.1", 0, [this](const std::shared_ptr<StandinExchange>& aExchange) {
      // The only pool has no spare machines, so no machine can be moved.
      if (aExchange->Request().m_method != "GET") {
        SendJson(*aExchange, 409, { { "reason", "busy" } });
        return;
      }
      Json machines = Json::array();
      for (const auto& minion : m_minions) {
        machines.push_back(minion->ListEntry());
      }
      SendJson(*aExchange, 200, { { "machines", std::move(machines) } });
    });
  static_cast<void>(m_machineApi->Listen());
  for (std::size_t i = 0; i < m_options.m_minions; ++i) {
    MinionOptions minion;
    minion.m_machine = fmt::format("m-{}", i);
    minion.m_id = fmt::format("i-{}", i);
    minion.m_pool = kPool;
    minion.m_rack = fmt::format("r{}", i / 4);
    minion.m_cpu = m_options.m_minionCpu;
    m_minions.push_back(
      std::make_unique<Minion>(m_context, m_timers, m_record, m_runs, std::move(minion)));
  }
  WriteConfiguration();
  const auto beat = [this] {
    for (const auto& minion : m_minions) {
      if (minion->IsUp()) {
        m_store.Put("servers", minion->Options().m_id, minion->Registration());
      }
    }
  };
  beat();
  m_heartbeatTimer = m_timers.Every(kHeartbeat, 0, beat);
  for (std::size_t i = 0; i < m_options.m_nodes; ++i) {
    auto node = std::make_unique<Node>();
    node->m_ip = fmt::format("127.{}.{}.{}", 64 + getpid() % 128, getpid() / 128 % 250, i + 1);
    node->m_process.m_name = fmt::format("edge-{}", i);
    node->m_process.m_command = { kNodeProgram, "node" };
    node->m_process.m_logFile = fmt::format("{}/edge-{}.log", m_folder, i);
    node->m_settings = fmt::format("{}/edge-{}.conf", m_folder, i);
    WriteSettings(*node);
    m_nodes.push_back(std::move(node));
  }
}

World::~World()
{
  for (const auto& node : m_nodes) {
    KillProcess(node->m_process);
  }
  if (!std::getenv("KEEP_LOGS")) {
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
  }
}

void World::WriteConfiguration()
{
  m_store.Put("op",
              "config",
              Json{ { "version", 3 },
                    { "routes",
                      { { { "name", kQueue },
                          { "host", kHost },
                          { "prefix", kPrefix },
                          { "service", kPool },
                          { "priority", 0 },
                          { "max_attempts", m_options.m_maxAttempts },
                          { "stretch", 1.6 },
                          { "target_duration_ms", 600'000 } } } },
                    { "services", { { { "name", kPool }, { "rejects_overload", true } } } },
                    { "limits", { { "max_body_bytes", 262'144 } } } }
                .dump());
}

void World::WriteSettings(const Node& aNode) const
{
  std::ofstream file(aNode.m_settings);
  const auto listen = [&](const char* aName, std::uint16_t aPort) {
    file << "listen." << aName << "=" << aNode.m_ip << ":" << aPort << "\n";
  };
  file << "node_name=" << aNode.m_process.m_name << "\nrole=node\nmachine_class=edge\nserves=edge\n"
       << "ip=" << aNode.m_ip << "\nzone=z1\nregion=r1\nzones.z1=r1\n";
  listen("front", kCallerPort);
  listen("ready", kReadyPort);
  listen("control", kControlPort);
  file << "internal_ports=" << kFirstPeerPort << "," << kFirstPeerPort + 15
       << "\nbootstrap=true\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
          "limits.max_fds=4100\nheartbeat_ms="
       << kHeartbeat.count()
       << "\nbounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.drain_ms=2000\n"
          "bounds.grace_s=6\nbounds.config_deadline_ms=2000\nbounds.hold_max_ms=6000\n"
          "bounds.stop_ms=200\nbounds.gang_ms=3000\nbounds.cancel_ms=3000\n"
          "bounds.visible_ms=3000\nbounds.finish_s=14\nbounds.status_s=120\nbounds.far_x=2\n"
          "bounds.checkpoint_s=0.5\nbounds.restore_ms=250\nbounds.notice_ms=4500\n"
          "bounds.move_s=1.5\nbounds.maintenance_s=2\nbounds.fencing_required=false\n"
          "bounds.lease_ms=3000\nbounds.pace_ms=100\norders=call\nplatform.form=table\n"
          "platform.row_bytes="
       << m_options.m_maxRowBytes << "\nplatform.address=127.0.0.1:" << m_gate->Port()
       << "\ncloud_api.address=127.0.0.1:" << m_machineApi->Port()
       << "\ncloud_api.rate_per_s=64\ncloud_api.duty_per_s=64\n";
}

// Nodes.

bool World::StartNode(Node& aNode)
{
  setenv(kSettingsVariable, aNode.m_settings.c_str(), 1);
  const auto started = StartProcess(aNode.m_process);
  m_record.Write("node {} starts", aNode.m_process.m_name);
  return started.has_value();
}

bool World::Start()
{
  for (const auto& node : m_nodes) {
    if (!StartNode(*node)) {
      return false;
    }
  }
  // An owner answers how many jobs wait once it has loaded the pool.
  const TimePoint deadline = MonotonicNow() + kStartTimeout;
  while (MonotonicNow() < deadline) {
    RunFor(Millis{ 200 });
    if (Waiting(0) && OwnerOfPool() < m_nodes.size()) {
      RunFor(Millis{ 2'000 });
      return true;
    }
  }
  m_record.Write("the pool has no owner");
  return false;
}

void World::RunFor(Millis aTime)
{
  RunUntil([] { return false; }, aTime);
}

bool World::RunUntil(const std::function<bool()>& aCondition, Millis aTimeout)
{
  const TimePoint deadline = MonotonicNow() + aTimeout;
  while (!aCondition()) {
    if (MonotonicNow() >= deadline) {
      return false;
    }
    m_context.restart();
    m_context.run_for(kStepTime);
  }
  return true;
}

std::size_t World::OwnerOfPool() const
{
  const Json owner = Json::parse(m_store.Value("owner", kPool, "row"), nullptr, false);
  const std::string name = owner.is_object() ? owner.value("node", "") : "";
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    if (m_nodes[i]->m_process.m_name == name) {
      return i;
    }
  }
  return m_nodes.size();
}

void World::Signal(std::size_t aNode, int aSignal)
{
  LocalProcess& process = m_nodes[aNode]->m_process;
  m_record.Write("node {} gets signal {}", process.m_name, aSignal);
  if (process.m_pid != 0) {
    kill(process.m_pid, aSignal);
  }
}

void World::RestartNode(std::size_t aNode, Millis aDownTime)
{
  Node& node = *m_nodes[aNode];
  m_record.Write("node {} is killed", node.m_process.m_name);
  KillProcess(node.m_process);
  node.m_restartTimer = m_timers.After(aDownTime, [this, &node] {
    node.m_restartTimer.Cancel();
    StartNode(node);
  });
}

// Caller.

HttpCall World::MakeCall(std::size_t aNode,
                         const std::string& aMethod,
                         const std::string& aPath,
                         std::string aBody) const
{
  HttpCall call;
  call.m_method = aMethod;
  call.m_url = fmt::format("http://{}:{}{}", m_nodes[aNode]->m_ip, kCallerPort, aPath);
  call.m_headers = { { "Host", kHost },
                     { "Content-Type", "application/json" },
                     { "Deadline-Ms", std::to_string(kCallerDeadline.count()) } };
  call.m_body = std::move(aBody);
  call.m_timeout = kCallerDeadline;
  call.m_isRepeatable = false;
  return call;
}

HttpCallResult World::Call(std::size_t aNode,
                           const std::string& aMethod,
                           const std::string& aPath,
                           std::string aBody)
{
  std::optional<HttpCallResult> result;
  m_http.Start(MakeCall(aNode, aMethod, aPath, std::move(aBody)),
               [&](HttpCallResult aResult) { result = std::move(aResult); });
  RunUntil([&] { return result.has_value(); }, kCallerDeadline + Millis{ 1'000 });
  m_record.Write("{} {} at edge-{}: {} {}",
                 aMethod,
                 aPath,
                 aNode,
                 *result ? result->value().m_status : 0,
                 *result ? result->value().m_body : "no answer");
  return std::move(*result);
}

bool World::Submit(const std::string& aId, const Json& aSpec, Json aSteps)
{
  const std::string body = Json{ { "spec", aSpec.dump() }, { "steps", std::move(aSteps) } }.dump();
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const HttpCallResult result = Call(m_nextNode++ % m_nodes.size(), "POST", kPrefix + aId, body);
    const int status = result ? result.value().m_status : 0;
    m_submitAnswers[aId] = status;
    if (status / 100 == 2) {
      return true;
    }
    if (status == 400 || status == 404) {
      return false;
    }
    RunFor(Millis{ 1'000 });
  }
  return false;
}

void World::Send(std::size_t aNode,
                 const std::string& aMethod,
                 const std::string& aPath,
                 std::string aBody,
                 std::function<void(int)> aDone)
{
  m_http.Start(
    MakeCall(aNode, aMethod, aPath, std::move(aBody)),
    [this, aNode, aMethod, aPath, done = std::move(aDone)](const HttpCallResult& aResult) {
      const int status = aResult ? aResult.value().m_status : 0;
      m_record.Write("{} {} at edge-{}: {}", aMethod, aPath, aNode, status);
      done(status);
    });
}

void World::SubmitOnce(const std::string& aId, const Json& aSpec, Json aSteps)
{
  std::string body = Json{ { "spec", aSpec.dump() }, { "steps", std::move(aSteps) } }.dump();
  Send(m_nextNode++ % m_nodes.size(),
       "POST",
       kPrefix + aId,
       std::move(body),
       [this, aId](int aStatus) { m_submitAnswers[aId] = aStatus; });
}

int World::Cancel(const std::string& aId, std::size_t aNode)
{
  const HttpCallResult result = Call(aNode, "DELETE", kPrefix + aId, "");
  return result ? result.value().m_status : 0;
}

std::string World::State(const std::string& aId, std::size_t aNode)
{
  const HttpCallResult result = Call(aNode, "GET", kPrefix + aId, "");
  if (!result) {
    return "no answer";
  }
  const Json body = Json::parse(result.value().m_body, nullptr, false);
  return result.value().m_status == 200 && body.is_object()
           ? body.value("state", "")
           : std::to_string(result.value().m_status);
}

std::optional<std::size_t> World::Waiting(std::size_t aNode)
{
  const HttpCallResult result = Call(aNode, "GET", kPrefix, "");
  const Json body =
    result ? Json::parse(result.value().m_body, nullptr, false) : Json(Json::value_t::discarded);
  if (!result || result.value().m_status != 200 || !body.is_object()) {
    return std::nullopt;
  }
  return body.value("waiting", std::size_t{ 0 });
}

int World::Finish(const std::optional<std::string>& aViolation)
{
  for (const auto& node : m_nodes) {
    KillProcess(node->m_process);
  }
  std::size_t peakConnections = 0;
  for (const auto& minion : m_minions) {
    peakConnections = std::max(peakConnections, minion->PeakConnections());
  }
  m_record.Write("a minion had at most {} connections at a time", peakConnections);
  const std::string verdict = aViolation ? "rule broken: " + *aViolation : "rule held";
  m_record.Write("{}", verdict);
  std::cout << verdict << "\n";
  return aViolation ? kRuleBroken : kRuleHeld;
}

} // namespace mustardtray::review
