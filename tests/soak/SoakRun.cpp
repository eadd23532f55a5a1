#include "tests/soak/SoakRun.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "mustardtray/process/Log.h"

namespace mustardtray::soak {

namespace {

constexpr std::uint16_t kCallerPort = 8624;
constexpr std::uint16_t kReadyPort = 8622;
constexpr std::uint16_t kPeerPort = 7060;
constexpr Millis kWatchPeriod{ 100 };
constexpr Millis kCallerPause{ 20 };
constexpr Millis kSlowCallerPause{ 700 };
constexpr std::size_t kFewNodes = 8;
/// The nodes take over within seconds; the limit is several times as long.
constexpr Millis kMaxCalmDuration{ 25'000 };
/// Minimum duration of the calm phase, so that late writes and orders arrive before the final
/// check.
constexpr Millis kMinCalmDuration{ 4'000 };
/// Calm time until all units of long-running jobs must run: the loss of the owner shows after the
/// contact time, then the units may be missing for their time.
constexpr Millis kLongRunningCheckDelay = kContactTime + kMaxUnitAbsence;
/// A connection may end without a response to a request that was sent so shortly before.
constexpr Millis kLossSlack{ 500 };
constexpr int kDefaultMachinesPerPool = 5;
constexpr std::size_t kDefaultSpareCount = 3;
constexpr Millis kSubmitPeriod{ 70 };
constexpr Millis kMinSubmitPeriod{ 10 };
/// Machines of the scarce kind in a pool.
constexpr std::size_t kScarceMachines = 2;
constexpr const char* kScarceKind = "b";
/// With less load minions still have room after a crash that the owner has not heard of.
constexpr int kSameIdSubmitPeriods = 2;

TimePoint Now()
{
  return std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
}

std::string PoolName(std::size_t aNumber)
{
  return fmt::format("pool-{}", aNumber);
}

std::string QueuePrefix(std::size_t aNumber)
{
  return fmt::format("/queue-{}/", aNumber);
}

} // namespace

SoakRun::SoakRun(SoakOptions aOptions)
  : m_options(std::move(aOptions))
  , m_random(m_options.m_seed)
  , m_connectionRandom(m_options.m_seed)
  , m_plannedRandom(m_options.m_seed)
  , m_orderRandom(m_options.m_seed)
  , m_lateRestartRandom(m_options.m_seed)
  , m_clockRandom(m_options.m_seed)
  , m_sameIdRandom(m_options.m_seed)
  , m_routeRandom(m_options.m_seed)
  , m_orderFaults(m_options.m_seed)
{
  std::filesystem::create_directories(m_options.m_folder);
  WriteConfiguration();
  std::vector<std::string> queues;
  for (std::size_t pool = 0; pool < kPoolCount; ++pool) {
    queues.push_back(QueuePrefix(pool));
    const std::size_t shards = pool + 1 == kPoolCount ? kShardCount : 1;
    m_store.PutWithoutHistory("shards", PoolName(pool), "row", std::to_string(shards));
    m_shards.Set(PoolName(pool), shards);
    for (std::size_t machine = 0; machine < m_options.m_machinesPerPool; ++machine) {
      const std::string name = fmt::format("m-{}-{}", pool, machine);
      m_machines.AddMachine(name, PoolName(pool), false);
      if (m_options.m_hasScarceKind && machine < kScarceMachines) {
        m_machines.SetKind(name, kScarceKind);
      }
    }
  }
  const std::size_t spareCount = std::max<std::size_t>(
    1, kDefaultSpareCount * m_options.m_machinesPerPool / kDefaultMachinesPerPool);
  for (std::size_t machine = 0; machine < spareCount; ++machine) {
    m_machines.AddMachine(fmt::format("m-spare-{}", machine), "spare", true);
  }
  m_machines.SetGuarded(PoolName(0));
  std::vector<std::string> addresses;
  for (std::size_t number = 1; number <= m_options.m_nodeCount; ++number) {
    AddNode(number);
  }
  for (const auto& [name, node] : m_nodes) {
    addresses.push_back(node->m_callerAddress);
  }
  CallerOptions callers;
  callers.m_submitsDeadlyJobs = m_options.m_hasDeadlyUnits;
  callers.m_submitsSlowJobs = m_options.m_hasSameIdCuts;
  callers.m_variesDemand = m_options.m_hasPlannedWork;
  callers.m_repeatsAccepted = m_options.m_movesQueues;
  callers.m_scarceKind = m_options.m_hasScarceKind ? kScarceKind : "";
  callers.m_onBroken = [this](const std::string& aRequest, TimePoint aSentAt) {
    OnRequestBroken(aRequest, aSentAt);
  };
  callers.m_submitPeriod = std::max(kMinSubmitPeriod,
                                    kSubmitPeriod * kDefaultMachinesPerPool /
                                      std::max(1, static_cast<int>(m_options.m_machinesPerPool)));
  callers.m_submitPeriod *= m_options.m_hasSameIdCuts ? kSameIdSubmitPeriods : 1;
  m_callers = std::make_unique<CallerSimulator>(
    m_context, m_timers, m_checker, m_options.m_seed, addresses, std::move(queues), callers);
}

SoakRun::~SoakRun()
{
  for (auto& [name, node] : m_nodes) {
    KillProcess(node->m_process);
  }
}

void SoakRun::AddNode(std::size_t aNumber)
{
  auto node = std::make_unique<Node>();
  // The process ID is part of the address, so that concurrent soak runs use different addresses.
  const std::string ip =
    fmt::format("127.{}.{}.{}", 64 + getpid() % 128, getpid() / 128 % 250, aNumber);
  node->m_callerAddress = fmt::format("{}:{}", ip, kCallerPort);
  node->m_storeProxy = std::make_unique<FaultProxy>(m_context, m_timers, m_store.Port());
  node->m_storeProxy->SetLink(m_options.m_hasNarrowLinks ? &node->m_link : nullptr);
  LocalProcess& process = node->m_process;
  process.m_name = fmt::format("node-{}", aNumber);
  process.m_logFile = fmt::format("{}/{}.log", m_options.m_folder, process.m_name);
  const std::string settings = fmt::format("{}/{}.conf", m_options.m_folder, process.m_name);
  process.m_command = { m_options.m_nodeProgram, "node", "--settings", settings };
  WriteSettings(*node, ip);
  // One process makes all calls.
  const Millis pause = kCallerPause * std::max<std::size_t>(1, m_options.m_nodeCount / kFewNodes);
  std::vector<KeptConnection::Habits> callers{ { pause, false } };
  if (m_options.m_hasPlannedWork) {
    callers.push_back({ kSlowCallerPause, false });
    callers.push_back({ pause, true });
  }
  for (const KeptConnection::Habits& habits : callers) {
    node->m_keptConnections.emplace_back(
      m_context,
      m_timers,
      node->m_callerAddress,
      habits,
      [this] { return DrawJobPath(); },
      [this, &node = *node](TimePoint aSentAt) {
        OnRequestBroken("kept connection to " + node.m_callerAddress, aSentAt);
      });
  }
  m_nodes.emplace(process.m_name, std::move(node));
}

void SoakRun::WriteSettings(const Node& aNode, const std::string& aIp)
{
  std::ofstream file(aNode.m_process.m_command.back());
  file << "node_name=" << aNode.m_process.m_name << "\nip=" << aIp << "\nzone=z1\nzones.z1=r1\n"
       << "listen.front=" << aNode.m_callerAddress << "\nlisten.ready=" << aIp << ":" << kReadyPort
       << "\ninternal_ports=" << kPeerPort << "," << kPeerPort + 15
       << "\nlimits.link_mbps=" << (m_options.m_hasNarrowLinks ? kNarrowLinkMbps : 0.0)
       << "\nlimits.max_fds=1000\nheartbeat_ms=1000\nbounds.grace_s=3"
       << "\nbounds.hold_max_ms=" << kMaxRunLease.count()
       << "\nbounds.lease_ms=" << kMachineOrderLease.count()
       << "\nbounds.move_s=" << static_cast<double>(kMoveDuration.count()) / 1'000
       << "\nbounds.maintenance_s=" << static_cast<double>(kMaintenanceDuration.count()) / 1'000
       << "\nplatform.address=127.0.0.1:" << aNode.m_storeProxy->Port()
       << "\ncloud_api.address=127.0.0.1:" << m_machines.CloudApiPort() << "\n";
}

void SoakRun::WriteConfiguration()
{
  Json routes = Json::array();
  Json services = Json::array();
  for (std::size_t pool = 0; pool < kPoolCount; ++pool) {
    const auto moved = m_queuePools.find(pool);
    const std::size_t target = moved == m_queuePools.end() ? pool : moved->second;
    const bool isRenamed = moved != m_queuePools.end() && m_routeRandom() % 2 == 0;
    routes.push_back({ { "name", fmt::format("{}-{}", isRenamed ? "route" : "queue", pool) },
                       { "host", "soak.example" },
                       { "prefix", QueuePrefix(pool) },
                       { "service", PoolName(target) },
                       { "max_attempts", kMaxAttempts },
                       { "stretch", 2 },
                       { "target_duration_ms", 3'000 } });
    services.push_back({ { "name", PoolName(pool) }, { "rejects_overload", pool == 0 } });
  }
  services.push_back({ { "name", "spare" }, { "spare", true }, { "rejects_overload", true } });
  m_configVersion += 1 + m_random() % 3;
  m_store.Put("op",
              "config",
              Json{ { "version", m_configVersion },
                    { "routes", std::move(routes) },
                    { "services", std::move(services) },
                    { "limits", Json::object() } }
                .dump());
}

std::vector<std::string> SoakRun::Run()
{
  for (auto& [name, node] : m_nodes) {
    if (const auto started = StartProcess(node->m_process); !started) {
      return { started.error().Text() };
    }
    node->m_startedAt = Now();
  }
  m_watchedAt = Now();
  m_watchTimer = m_timers.Every(kWatchPeriod, 0, [this] { Watch(); });
  m_phaseTimer = m_timers.After(kStartupTime, [this] {
    m_callers->Start();
    for (auto& [name, node] : m_nodes) {
      for (KeptConnection& connection : node->m_keptConnections) {
        connection.Connect();
      }
    }
    if (m_options.m_hasPlannedWork) {
      StartPlannedWork();
    }
    if (m_options.m_injectsFaults) {
      InjectFault();
    }
    if (m_options.m_hasLateOrders) {
      StartOrderFaults();
    }
    if (m_options.m_hasSameIdCuts) {
      CutRestartedMinions();
    }
    if (m_options.m_hasClockSteps) {
      StepClocks();
    }
    if (m_options.m_movesQueues) {
      MoveQueues();
    }
    m_phaseTimer = m_timers.After(m_options.m_faultDuration, [this] { EndFaults(); });
  });
  m_context.run();
  m_checker.CheckFinalState();
  return m_checker.Violations();
}

int SoakRun::Draw(int aMin, int aMax)
{
  return std::uniform_int_distribution<int>(aMin, aMax)(m_random);
}

SoakRun::Node& SoakRun::DrawNode()
{
  auto node = m_nodes.begin();
  std::advance(node, Draw(0, static_cast<int>(m_nodes.size()) - 1));
  return *node->second;
}

// Processes.

void SoakRun::RestartEndedNodes()
{
  for (auto& [name, node] : m_nodes) {
    if (!HasEnded(node->m_process) || node->m_restartTimer.IsActive()) {
      continue;
    }
    if (!node->m_isStopping) {
      m_checker.ReportViolation("node exited unexpectedly: " + name);
    }
    node->m_isStopping = false;
    node->m_restartTimer = m_timers.After(DrawMillis(100, 1'500), [this, &node = *node] {
      node.m_restartTimer.Cancel();
      static_cast<void>(StartProcess(node.m_process));
      node.m_startedAt = Now();
    });
  }
}

// Observation.

std::string SoakRun::DrawJobPath()
{
  const std::vector<std::string> jobs = m_checker.UnfinishedJobs();
  return jobs.empty() ? fmt::format("{}{:016x}", QueuePrefix(0), m_connectionRandom())
                      : m_callers->JobPath(jobs[m_connectionRandom() % jobs.size()]);
}

Micros SoakRun::HeldUpNow() const
{
  return std::max(Micros{ 0 },
                  std::chrono::duration_cast<Micros>(Now() - m_watchedAt - kWatchPeriod));
}

Micros SoakRun::HeldUp() const
{
  Micros sum{ 0 };
  for (const auto& [at, duration] : m_holdUps) {
    sum += duration;
  }
  return sum;
}

void SoakRun::Watch()
{
  if (const Micros heldUp = HeldUpNow(); heldUp > kWatchPeriod) {
    m_holdUps.emplace_back(Now(), heldUp);
    Log(LogCategory::Process, LogLevel::Warning, "soak-held-up", "us", heldUp.count());
  }
  if (m_watchesLongRunningUnits) {
    WatchLongRunningUnits(HeldUpNow());
  }
  m_watchedAt = Now();
  RestartEndedNodes();
}

void SoakRun::OnRequestBroken(const std::string& aRequest, TimePoint aSentAt)
{
  // This process may have been held up between the end of the connection and its handling.
  Micros heldUp = HeldUpNow();
  for (const auto& [at, duration] : m_holdUps) {
    heldUp += at > aSentAt ? duration : Micros{ 0 };
  }
  const auto age = std::chrono::duration_cast<Millis>(Now() - aSentAt - heldUp);
  if (m_mustAnswerAll && age > kLossSlack) {
    m_checker.ReportViolation(
      fmt::format("a connection ended without a response to a request: {}, {} ms after it was "
                  "sent, at {:%T}",
                  aRequest,
                  age.count(),
                  std::chrono::floor<Millis>(std::chrono::system_clock::now())));
  }
}

// End.

void SoakRun::EndFaults()
{
  m_faultTimer.Cancel();
  m_delayTimers.clear();
  EndOrderFaults();
  m_sameIdTimer.Cancel();
  m_storeHealTimer.Cancel();
  m_store.SetFault(StoreFault::None);
  for (auto& [name, node] : m_nodes) {
    node->m_linkHealTimer.Cancel();
    node->m_storeProxy->SetFault(LinkFault::None);
    if (node->m_process.m_pid != 0) {
      kill(node->m_process.m_pid, SIGCONT);
    }
  }
  for (const std::string& machine : m_machines.MachineNames()) {
    m_capacityTimers.erase(machine);
    m_machines.SetCapacity(machine, kMachineCpu);
  }
  m_callers->StopSubmitting();
  if (m_options.m_injectsFaults) {
    Node& node = DrawNode();
    node.m_storeProxy->SetFault(LinkFault::Stalled);
    node.m_linkHealTimer =
      m_timers.After(kMaxUnitAbsence, [&node] { node.m_storeProxy->SetFault(LinkFault::None); });
  }
  const auto cutsLeft = std::chrono::duration_cast<Millis>(m_cutsEndAt - Now());
  m_phaseTimer = m_timers.After(kLongRunningCheckDelay + std::max(Millis{ 0 }, cutsLeft),
                                [this] { CheckLongRunningUnits(); });
}

SoakRun::Room SoakRun::FindRoom(const GuaranteeChecker::MissingUnit& aUnit) const
{
  const std::string path = m_callers->JobPath(aUnit.m_unit.m_job);
  std::optional<Room> least;
  for (std::size_t pool = 0; pool < kPoolCount; ++pool) {
    // It is not known here to which pool a queue was sent when the job was accepted.
    if (m_options.m_movesQueues || path.starts_with(QueuePrefix(pool))) {
      const Room room = FindRoomIn(pool, aUnit);
      least = least && least->m_minions <= room.m_minions ? least : room;
    }
  }
  return least.value_or(Room{});
}

SoakRun::Room SoakRun::FindRoomIn(std::size_t aPool,
                                  const GuaranteeChecker::MissingUnit& aUnit) const
{
  const std::string step = aUnit.m_isSpread ? aUnit.m_unit.m_job + "." : " ";
  Room room;
  room.m_shard = m_shards.Of(PoolName(aPool), aUnit.m_unit.m_job);
  for (const auto& machine : m_machines.MachinesWithRoom(PoolName(aPool), aUnit.m_cpu, step)) {
    ++room.m_minions;
    room.m_minionsInShard += m_shards.Of(PoolName(aPool), machine) == room.m_shard ? 1 : 0;
  }
  return room;
}

void SoakRun::ReportMissing(const GuaranteeChecker::MissingUnit& aUnit, const char* aWhen)
{
  const Room room = FindRoom(aUnit);
  m_checker.ReportViolation(
    fmt::format("a long-running unit does not run{} although there is room: {} of {}, {} minions "
                "with room, {} in its shard",
                aWhen,
                aUnit.m_unit.Text(),
                room.m_shard,
                room.m_minions,
                room.m_minionsInShard));
}

void SoakRun::CheckLongRunningUnits()
{
  for (const auto& missing : m_checker.LongRunningUnitsAbsentSince(Now() - kMaxUnitAbsence)) {
    if (FindRoom(missing).m_minions >= kMinMinionsWithRoom) {
      ReportMissing(missing, "");
    }
  }
  m_watchesLongRunningUnits = false;
  m_callers->CancelLongRunningJobs();
  m_mustAnswerAll = true;
  if (m_options.m_injectsFaults || m_options.m_hasPlannedWork) {
    StartPlannedSeries();
  }
  m_calmStart = Now();
  m_endCheckTimer = m_timers.Every(Millis(200), 0, [this] { StopWhenDone(); });
}

void SoakRun::StopWhenDone()
{
  const auto calmDuration = Now() - m_calmStart;
  if (calmDuration > kMaxCalmDuration ||
      (calmDuration > kMinCalmDuration && m_checker.UnfinishedJobs().empty())) {
    m_context.stop();
  }
}

} // namespace mustardtray::soak
