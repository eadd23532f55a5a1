#include "tests/soak/SoakRun.h"

#include <algorithm>
#include <csignal>

#include <fmt/format.h>

#include "mustardtray/job/Ownership.h"

/// Planned work: signals, changes of the configuration, waves, and what callers see of it.

namespace mustardtray::soak {

namespace {

/// Room that lasts shorter than this may be gone before a unit can start.
constexpr Millis kMinRoomTime{ 3'000 };
constexpr Millis kMaxHoldUp{ 500 };
/// After its start a node takes a moment to handle signals.
constexpr Millis kSignalDelay{ 1'000 };

TimePoint Now()
{
  return std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
}

} // namespace

void SoakRun::RunAfter(Millis aDelay, std::function<void()> aFunction)
{
  m_delayTimers.push_back(m_timers.After(aDelay, std::move(aFunction)));
}

void SoakRun::Terminate(Node& aNode)
{
  if (aNode.m_process.m_pid != 0 && !aNode.m_isStopping) {
    aNode.m_isStopping = true;
    kill(aNode.m_process.m_pid, SIGCONT);
    kill(aNode.m_process.m_pid, SIGTERM);
  }
}

void SoakRun::Reload(const Node& aNode)
{
  // A process that has just started does not handle the signal yet.
  if (aNode.m_process.m_pid != 0 && Now() - aNode.m_startedAt > kStartupTime) {
    const std::string& address = aNode.m_callerAddress;
    WriteSettings(aNode, address.substr(0, address.find(':')));
    kill(aNode.m_process.m_pid, SIGHUP);
  }
}

void SoakRun::StartPlannedSeries()
{
  Node& first = DrawNode();
  Node& second = DrawNode();
  WriteConfiguration();
  Reload(second);
  RunAfter(DrawMillis(50, 400), [this, &first] { Terminate(first); });
  RunAfter(DrawMillis(200, 700), [this, &first, &second] {
    Reload(first);
    Reload(second);
    WriteConfiguration();
  });
  RunAfter(DrawMillis(600, 1'500), [this, &second] { Terminate(second); });
  RunAfter(DrawMillis(700, 2'000), [this, &second] {
    WriteConfiguration();
    Reload(second);
  });
}

// Series that overlap.

void SoakRun::StartPlannedWork()
{
  m_machines.KeepRegistrations();
  m_mustAnswerAll = !m_options.m_injectsFaults;
  m_watchesLongRunningUnits = !m_options.m_injectsFaults;
  RestartInSeries();
  ReloadInSeries();
  ChangeConfigurations();
  StartWaves();
}

Millis SoakRun::DrawPlanned(int aMinMs, int aMaxMs)
{
  return Millis(std::uniform_int_distribution<int>(aMinMs, aMaxMs)(m_plannedRandom));
}

std::vector<SoakRun::Node*> SoakRun::NodesInRandomOrder()
{
  std::vector<Node*> nodes;
  for (const auto& [name, node] : m_nodes) {
    nodes.push_back(node.get());
  }
  std::shuffle(nodes.begin(), nodes.end(), m_plannedRandom);
  return nodes;
}

void SoakRun::RestartInSeries()
{
  const Millis interval = DrawPlanned(1'000, 2'000);
  if (DrawPlanned(0, 1).count() == 0) {
    // An order of restarts that meets each new owner of a shard.
    const std::size_t pool = static_cast<std::size_t>(DrawPlanned(0, 1).count()) % kPoolCount;
    const std::vector<std::string> shards = m_shards.Names(fmt::format("pool-{}", pool));
    const auto shard = static_cast<std::size_t>(DrawPlanned(0, 1).count()) % shards.size();
    RestartOwners(shards[shard], m_nodes.size());
    RunAfter(interval * m_nodes.size(), [this] { RestartInSeries(); });
    return;
  }
  Millis delay{ 0 };
  for (Node* node : NodesInRandomOrder()) {
    RunAfter(delay, [this, node] { TerminateInTurn(*node); });
    delay += interval;
  }
  // The next series may begin before this one has ended.
  const int duration = static_cast<int>(delay.count());
  RunAfter(DrawPlanned(duration / 2, duration + 2'000), [this] { RestartInSeries(); });
}

void SoakRun::RestartOwners(const std::string& aShard, std::size_t aCount)
{
  const auto owner = job::DecodeOwnerRow(aShard, m_store.Value("owner", aShard, "row"));
  const auto node = owner ? m_nodes.find(owner.value().m_node) : m_nodes.end();
  if (node != m_nodes.end()) {
    TerminateInTurn(*node->second);
  }
  if (aCount > 1) {
    RunAfter(DrawPlanned(1'000, 3'000),
             [this, aShard, aCount] { RestartOwners(aShard, aCount - 1); });
  }
}

bool SoakRun::IsUp(const Node& aNode) const
{
  return aNode.m_process.m_pid != 0 && !aNode.m_isStopping &&
         Now() - aNode.m_startedAt > kSignalDelay;
}

void SoakRun::TerminateInTurn(Node& aNode)
{
  const auto up = std::count_if(
    m_nodes.begin(), m_nodes.end(), [this](const auto& aEntry) { return IsUp(*aEntry.second); });
  if (IsUp(aNode) && 2 * static_cast<std::size_t>(up) > m_nodes.size()) {
    Terminate(aNode);
  } else {
    RunAfter(DrawPlanned(100, 300), [this, &aNode] { TerminateInTurn(aNode); });
  }
}

void SoakRun::ReloadInSeries()
{
  Millis delay{ 0 };
  for (const Node* node : NodesInRandomOrder()) {
    RunAfter(delay, [this, node] { Reload(*node); });
    delay += DrawPlanned(0, 400);
  }
  RunAfter(DrawPlanned(1'000, 5'000), [this] { ReloadInSeries(); });
}

void SoakRun::ChangeConfigurations()
{
  WriteConfiguration();
  RunAfter(DrawPlanned(100, 3'000), [this] { ChangeConfigurations(); });
}

void SoakRun::MoveQueues()
{
  const auto draw = [this](int aMin, int aMax) {
    return std::uniform_int_distribution<int>(aMin, aMax)(m_routeRandom);
  };
  for (std::size_t queue = 0; queue < kPoolCount; ++queue) {
    m_queuePools[queue] = static_cast<std::size_t>(draw(0, static_cast<int>(kPoolCount) - 1));
  }
  WriteConfiguration();
  RunAfter(Millis(draw(300, 3'000)), [this] { MoveQueues(); });
}

void SoakRun::StartWaves()
{
  std::vector<std::string> machines = m_machines.MachineNames();
  std::shuffle(machines.begin(), machines.end(), m_plannedRandom);
  machines.resize(machines.size() * static_cast<std::size_t>(DrawPlanned(3, 9).count()) / 10);
  const std::size_t atOnce = 2 + machines.size() / 8;
  m_machines.StartWave(++m_waveCount, machines, atOnce);
  RunAfter(DrawPlanned(3'000, 9'000), [this] { StartWaves(); });
}

void SoakRun::WatchLongRunningUnits(Micros aHeldUp)
{
  const TimePoint now = Now();
  std::map<std::string, TimePoint> roomSince;
  // While this process was held up, minions and the store did not respond.
  const bool wasCalm = aHeldUp < kMaxHoldUp;
  for (const auto& missing : m_checker.LongRunningUnitsAbsentSince(now)) {
    if (FindRoom(missing).m_minions < kMinMinionsWithRoom) {
      continue;
    }
    const std::string name = missing.m_unit.Text();
    const auto known = m_roomSince.find(name);
    const TimePoint since = known == m_roomSince.end() || !wasCalm ? now : known->second;
    roomSince[name] = since;
    const auto absence = std::chrono::duration_cast<Millis>(now - missing.m_absentSince);
    if (now - since < kMinRoomTime) {
      continue;
    }
    m_longestAbsence = std::max(m_longestAbsence, absence);
    if (absence > kMaxUnitAbsence &&
        m_reportedAbsences.emplace(name, missing.m_absentSince).second) {
      ReportMissing(missing, " during planned work");
    }
  }
  m_roomSince = std::move(roomSince);
}

} // namespace mustardtray::soak
