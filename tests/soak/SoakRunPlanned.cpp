#include "tests/soak/SoakRun.h"

#include <csignal>

/// Planned work: signals and changes of the configuration.

namespace mustardtray::soak {

namespace {

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

} // namespace mustardtray::soak
