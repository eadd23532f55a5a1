#pragma once

/// In-memory transactional table of the platform's stand-in and of the fakes: rows with versions,
/// a table revision that grows with each commit, and tombstones for incremental scans.

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mustardtray/process/Platform.h"

namespace mustardtray {

/// Not thread-safe: belongs to one thread.
class PlatformTable
{
public:
  /// Stands for "as of now" in reads and scans.
  static constexpr std::uint64_t kLatest = std::numeric_limits<std::uint64_t>::max();

  /// Applies all writes under one new revision, or reports every failed check and writes nothing.
  /// A row that was deleted and comes back goes on from its earlier version, so that a check made
  /// before the deletion fails.
  Commit Transact(const Transaction& aTransaction);

  /// Rows that exist among aKeys, in the order asked for; missing rows are left out.
  std::vector<Row> Read(const std::vector<std::string>& aKeys, std::uint64_t aAsOf = kLatest) const;

  /// Rows under aPrefix that changed after revision aSince. A scan from 0 lists no deletions.
  ScanPage Scan(std::string_view aPrefix,
                std::uint64_t aSince,
                std::uint64_t aAsOf = kLatest) const;

  std::uint64_t Revision() const { return m_revision; }

  /// Keeps what reads as of aRevision or later need; writes drop older row states. By default no
  /// history is kept.
  void KeepHistoryFrom(std::uint64_t aRevision) { m_oldestReadable = aRevision; }

private:
  struct RowState
  {
    std::uint64_t m_revision = 0;
    std::uint64_t m_version = 0;
    std::optional<Json> m_value; ///< Nothing for a tombstone.
  };
  using History = std::vector<RowState>; ///< Oldest first.

  static const RowState* StateAt(const History& aHistory, std::uint64_t aAsOf);
  std::uint64_t CurrentVersion(const std::string& aKey) const;
  void Write(const RowWrite& aWrite);
  void Trim(History& aHistory) const;

  std::map<std::string, History, std::less<>> m_rows;
  std::uint64_t m_revision = 0;
  std::uint64_t m_oldestReadable = kLatest;
};

} // namespace mustardtray
