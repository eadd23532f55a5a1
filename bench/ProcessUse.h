#pragma once

/// What a process has used, by the kernel's accounts.

namespace mustardtray {

struct ProcessUse
{
  double m_cpuSeconds = 0; ///< User and system, since its start.
  double m_residentMb = 0;
};

/// Zeroes for a process that is gone.
ProcessUse ReadProcessUse(int aPid);

} // namespace mustardtray
