#pragma once

/// I/O for KeyPartitions: reads the rows of the partitions and carries out its transactions, one at
/// a time, each followed by a new scan.

#include <string>

#include "mustardtray/process/KeyPartitions.h"
#include "mustardtray/process/Log.h"
#include "mustardtray/process/Platform.h"

namespace mustardtray {

/// Used on the control thread only. Must outlive the platform calls that it starts.
template<PlatformAccess P>
class KeyPartitionAgent
{
public:
  KeyPartitionAgent(P& aPlatform, NodeIncarnation aSelf)
    : m_platform(aPlatform)
    , m_partitions(std::move(aSelf))
  {
  }

  KeyPartitions& Partitions() { return m_partitions; }
  const KeyPartitions& Partitions() const { return m_partitions; }

  /// Must be called periodically. aGone must outlive the platform calls.
  void Tick(const GoneNodeDetector& aGone)
  {
    if (m_isBusy) {
      return;
    }
    m_isBusy = true;
    Scan(aGone);
  }

private:
  void Scan(const GoneNodeDetector& aGone)
  {
    m_platform.Scan(
      std::string(kKeyRowPrefix), m_revision, [this, &aGone](const Result<ScanPage>& aPage) {
        if (aPage.has_error()) {
          m_isBusy = false;
          return;
        }
        m_revision = std::max(m_revision, aPage.value().m_revision);
        for (const Row& row : aPage.value().m_rows) {
          m_partitions.OnRow(row);
        }
        m_partitions.OnScanned();
        Write(aGone);
      });
  }

  void Write(const GoneNodeDetector& aGone)
  {
    const auto transaction = m_partitions.NextTransaction(MonotonicNow(), WallNow(), aGone);
    if (!transaction) {
      m_isBusy = false;
      return;
    }
    Log(LogCategory::Membership,
        LogLevel::Info,
        "write-key-partitions",
        "rows",
        transaction->m_writes.size());
    m_platform.Transact(*transaction, [this, &aGone](const Result<Commit>&) {
      m_partitions.OnTransactionEnd();
      Scan(aGone);
    });
  }

  P& m_platform;
  KeyPartitions m_partitions;
  std::uint64_t m_revision = 0;
  bool m_isBusy = false;
};

} // namespace mustardtray
