#pragma once

/// A queue of events under virtual time. Events of the same time run in the order of their adding.

#include <functional>
#include <map>
#include <utility>

#include "mustardtray/process/Time.h"

namespace mustardtray {

class VirtualTime
{
public:
  TimePoint Now() const { return m_now; }
  WallTime WallNow() const
  {
    return WallTime(std::chrono::duration_cast<Millis>(m_now.time_since_epoch()));
  }

  void After(Micros aDelay, std::function<void()> aEvent)
  {
    m_events.emplace(std::pair{ m_now + aDelay, m_sequence++ }, std::move(aEvent));
  }

  /// Runs all events up to that time.
  void RunUntil(TimePoint aEnd)
  {
    while (!m_events.empty() && m_events.begin()->first.first <= aEnd) {
      const auto node = m_events.extract(m_events.begin());
      m_now = node.key().first;
      node.mapped()();
    }
    m_now = aEnd;
  }

private:
  TimePoint m_now{};
  std::uint64_t m_sequence = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_events;
};

} // namespace mustardtray
