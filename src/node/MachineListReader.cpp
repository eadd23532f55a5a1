#include "node/MachineListReader.h"

#include <algorithm>
#include <iterator>

#include "mustardtray/process/Log.h"

namespace mustardtray::node {

namespace {

constexpr Millis kPageTimeout{ 1'500 };
constexpr Millis kFirstRetryDelay{ 100 };
constexpr Millis kLongestRetryDelay{ 1'000 };
/// Failures after which the list is read from its beginning, since tokens of pages may expire.
constexpr int kMaxFailuresPerPage = 5;
/// Part of the allowed page reads that this node uses; a former holder may still be reading.
constexpr double kReadShare = 0.5;
constexpr double kMinReadsPerSecond = 1;
/// The timer that starts lists may fire early compared with the latest list.
constexpr Millis kTimerTolerance{ 50 };

double UsableReads(double aReadsPerSecond)
{
  return std::max(aReadsPerSecond * kReadShare, kMinReadsPerSecond);
}

} // namespace

Micros PauseBeforeNextPage(int aPages, double aReadsPerSecond)
{
  const double reads = UsableReads(aReadsPerSecond);
  const std::chrono::duration<double> period = kMachineListPeriod;
  if (aPages < reads * period.count()) {
    return Micros(0);
  }
  return std::chrono::duration_cast<Micros>(std::chrono::duration<double>(1.0 / reads));
}

Micros PeriodOfLists(int aPages, double aReadsPerSecond)
{
  const std::chrono::duration<double> reading(aPages / UsableReads(aReadsPerSecond));
  return std::max(std::chrono::duration_cast<Micros>(reading), Micros(kMachineListPeriod));
}

MachineListReader::MachineListReader(NodeContext& aContext, ListCallback aOnList)
  : m_context(aContext)
  , m_onList(std::move(aOnList))
  , m_backoff(kFirstRetryDelay, kLongestRetryDelay)
{
}

void MachineListReader::Start()
{
  if (m_isReading || LeaseClockNow() < m_nextListAt) {
    return;
  }
  m_isReading = true;
  m_token.clear();
  m_machines.clear();
  m_pages = 0;
  m_failures = 0;
  m_askedAt = LeaseClockNow();
  ReadPage();
}

void MachineListReader::ReadPage()
{
  m_context.m_machineClient.ListPage(
    m_token,
    kPageTimeout,
    [this, alive = std::weak_ptr<int>(m_alive)](Result<platform::MachinePage> aPage) {
      if (!alive.expired()) {
        OnPage(std::move(aPage));
      }
    });
}

void MachineListReader::ReadPageAfter(Micros aDelay)
{
  m_nextPageTimer = m_context.m_timers.After(aDelay, [this] { ReadPage(); });
}

void MachineListReader::OnPage(Result<platform::MachinePage> aPage)
{
  ++m_pages;
  if (!aPage) {
    Log(LogCategory::Fleet,
        LogLevel::Warning,
        "machine-list-failed",
        "machines-so-far",
        m_machines.size(),
        "error",
        aPage.error().Text());
    if (++m_failures > kMaxFailuresPerPage) {
      m_failures = 0;
      m_token.clear();
      m_machines.clear();
      m_askedAt = LeaseClockNow();
    }
    ReadPageAfter(m_backoff.Next());
    return;
  }
  m_backoff.Reset();
  m_failures = 0;
  std::vector<job::Machine>& machines = aPage.value().m_machines;
  m_machines.insert(m_machines.end(),
                    std::make_move_iterator(machines.begin()),
                    std::make_move_iterator(machines.end()));
  m_token = aPage.value().m_nextToken;
  if (!m_token.empty()) {
    ReadPageAfter(PauseBeforeNextPage(m_pages, m_context.m_settings.m_machineReadsPerSecond));
    return;
  }
  m_isReading = false;
  m_nextListAt = m_askedAt + PeriodOfLists(m_pages, m_context.m_settings.m_machineReadsPerSecond) -
                 kTimerTolerance;
  m_onList(std::move(m_machines), m_askedAt);
}

} // namespace mustardtray::node
