#include "bench/ProcessUse.h"

#include <fstream>
#include <string>

#include <fmt/format.h>
#include <unistd.h>

namespace mustardtray {

namespace {

/// Fields of /proc/PID/stat before the user time.
constexpr int kFieldsBeforeTimes = 13;
constexpr double kBytesPerMb = 1u << 20;

} // namespace

ProcessUse ReadProcessUse(int aPid)
{
  ProcessUse use;
  std::ifstream stat(fmt::format("/proc/{}/stat", aPid));
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeTimes; ++field) {
    stat >> skipped;
  }
  double user = 0;
  double system = 0;
  stat >> user >> system;
  use.m_cpuSeconds = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream statm(fmt::format("/proc/{}/statm", aPid));
  double pages = 0;
  statm >> skipped >> pages;
  use.m_residentMb = pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / kBytesPerMb;
  return use;
}

} // namespace mustardtray
