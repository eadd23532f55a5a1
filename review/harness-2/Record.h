#pragma once

/// The record of a scenario: what was sent, answered and run, with the time since its start.

#include <fstream>
#include <string>

#include <fmt/format.h>

#include "mustardtray/process/Time.h"

namespace mustardtray::review {

class Record
{
public:
  explicit Record(const std::string& aFile)
    : m_file(aFile, std::ios::trunc)
  {
  }

  /// Leaves out what follows, such as a scenario's many like requests.
  void SetBrief(bool aIsBrief) { m_isBrief = aIsBrief; }

  template<typename... Arguments>
  void Add(fmt::format_string<Arguments...> aFormat, Arguments&&... aArguments)
  {
    if (m_isBrief) {
      return;
    }
    const double seconds = static_cast<double>((MonotonicNow() - m_startedAt).count()) / 1e6;
    m_file << fmt::format("{:8.3f} s  ", seconds)
           << fmt::format(aFormat, std::forward<Arguments>(aArguments)...) << "\n"
           << std::flush;
  }

private:
  std::ofstream m_file;
  TimePoint m_startedAt = MonotonicNow();
  bool m_isBrief = false;
};

} // namespace mustardtray::review
