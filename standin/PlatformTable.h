#pragma once

/// In-memory transactional table of the platform stand-in and of FakePlatform. Rows have versions,
/// each commit increments the table revision, and tombstones support incremental scans.

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mustardtray/process/Platform.h"

namespace mustardtray {

/// Not thread-safe.
class PlatformTable
{
public:
  /// Selects the latest revision in reads and scans.
  static constexpr std::uint64_t kLatest = std::numeric_limits<std::uint64_t>::max();

  /// Applies all writes as one new revision, or reports every failed precondition and writes
  /// nothing. A row that is recreated after a deletion continues its version numbers, so that a
  /// precondition from before the deletion fails.
  Commit Transact(const Transaction& aTransaction);

  /// Returns the existing rows among aKeys, in the order of aKeys.
  std::vector<Row> Read(const std::vector<std::string>& aKeys, std::uint64_t aAsOf = kLatest) const;

  /// Returns the rows under aPrefix that changed after revision aSince. A scan from revision 0
  /// reports no deletions.
  ScanPage Scan(std::string_view aPrefix,
                std::uint64_t aSince,
                std::uint64_t aAsOf = kLatest) const;

  std::uint64_t Revision() const { return m_revision; }

  /// Sets the oldest revision that can still be read; writes discard older row states. By default
  /// only the latest revision can be read.
  void KeepHistoryFrom(std::uint64_t aRevision) { m_oldestReadableRevision = aRevision; }

private:
  struct RowState
  {
    std::uint64_t m_revision = 0;
    std::uint64_t m_version = 0;
    std::optional<Json> m_value; ///< Empty for a tombstone.
  };
  using History = std::vector<RowState>; ///< Ordered from oldest to newest.

  static const RowState* StateAtRevision(const History& aHistory, std::uint64_t aAsOf);
  std::uint64_t CurrentVersion(const std::string& aKey) const;
  void Write(const RowWrite& aWrite);
  void TrimHistory(History& aHistory) const;

  std::map<std::string, History, std::less<>> m_rows;
  std::uint64_t m_revision = 0;
  std::uint64_t m_oldestReadableRevision = kLatest;
};

} // namespace mustardtray
