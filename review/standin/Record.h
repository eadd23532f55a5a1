#pragma once

/// The record of a case: one line for each thing that was sent, answered or run, with the time in
/// milliseconds since the case began.

#include <fstream>
#include <string>

#include <fmt/format.h>
#include <fmt/ostream.h>

#include "mustardtray/process/Time.h"

namespace mustardtray::review {

class Record
{
public:
  explicit Record(const std::string& aPath)
    : m_file(aPath)
    , m_beganAt(MonotonicNow())
  {
  }

  template<typename... Arguments>
  void Write(fmt::format_string<Arguments...> aFormat, Arguments&&... aArguments)
  {
    m_file << fmt::format("{:7d} ", Elapsed().count())
           << fmt::format(aFormat, std::forward<Arguments>(aArguments)...) << "\n"
           << std::flush;
  }

  Millis Elapsed() const { return At(MonotonicNow()); }
  Millis At(TimePoint aTime) const { return std::chrono::duration_cast<Millis>(aTime - m_beganAt); }

private:
  std::ofstream m_file;
  TimePoint m_beganAt;
};

} // namespace mustardtray::review
