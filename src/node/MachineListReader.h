#pragma once

/// Reads the list of all machines page by page. All nodes together may read a limited number of
/// pages in a second, so pages are spaced, and a page that is refused is asked for again by itself.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "mustardtray/process/Backoff.h"
#include "node/NodeContext.h"

namespace mustardtray::node {

/// Shortest time between the beginnings of two lists. It is short compared with a move, so that a
/// machine that has arrived soon gets its next order.
inline constexpr Millis kMachineListPeriod{ 400 };

/// Returns the pause before the next page. Lists that stay within the limit of reads are read
/// without pauses, so that machines that have arrived are seen early; the pages of longer ones are
/// spaced. aPages: pages of this list that have been read. aReadsPerSecond: limit of all nodes
/// together.
Micros PauseBeforeNextPage(int aPages, double aReadsPerSecond);
/// Returns the time between the beginnings of two lists of aPages pages that keeps all their reads
/// within half of the limit; at least kMachineListPeriod.
Micros PeriodOfLists(int aPages, double aReadsPerSecond);

class MachineListReader
{
public:
  /// aAskedAt: when the first page was asked for.
  using ListCallback = std::function<void(std::vector<job::Machine>, TimePoint aAskedAt)>;

  MachineListReader(NodeContext& aContext, ListCallback aOnList);
  MachineListReader(const MachineListReader&) = delete;
  MachineListReader& operator=(const MachineListReader&) = delete;

  /// Begins to read the list, unless it is being read or the reads of the latest one have used up
  /// the limit.
  void Start();

private:
  void ReadPage();
  void OnPage(Result<platform::MachinePage> aPage);
  void ReadPageAfter(Micros aDelay);

  NodeContext& m_context;
  ListCallback m_onList;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  Backoff m_backoff;
  TimerHandle m_nextPageTimer;
  std::string m_token; ///< Of the page that is read next.
  std::vector<job::Machine> m_machines;
  TimePoint m_askedAt{};
  TimePoint m_nextListAt{};
  int m_pages = 0;    ///< Pages read of this list, and calls that failed.
  int m_failures = 0; ///< Failed calls since the latest page.
  bool m_isReading = false;
};

} // namespace mustardtray::node
