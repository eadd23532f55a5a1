#pragma once

/// Keeps this entry VM's report row up to date in the platform's table.

#include <optional>
#include <string>

#include "mustardtray/process/Log.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/fleet/EntryReporter.h"

namespace mustardtray {

/// Used on the control thread only. Must outlive the platform calls that it starts.
template<PlatformAccess P>
class EntryReportWriter
{
public:
  EntryReportWriter(P& aPlatform, EntryReport aIdentity)
    : m_platform(aPlatform)
    , m_identity(std::move(aIdentity))
  {
  }

  const EntryReport& Identity() const { return m_identity; }
  /// Whether this run has written its row. VM rows must not be read before.
  bool IsWritten() const { return m_lastWritten.has_value(); }

  /// Writes the report if it differs from the last one written and no write is pending.
  void Update(const EntryReport& aReport)
  {
    Json value = ToJson(aReport);
    if (m_isBusy || (m_lastWritten && *m_lastWritten == value)) {
      return;
    }
    m_isBusy = true;
    if (m_version) {
      Write(std::move(value));
    } else {
      ReadVersion(std::move(value));
    }
  }

private:
  std::string Key() const { return std::string(kReportRowPrefix) + m_identity.m_entryVm; }

  void ReadVersion(Json aValue)
  {
    m_platform.Read({ Key() },
                    [this, value = std::move(aValue)](const Result<std::vector<Row>>& aRows) {
                      if (aRows.has_error()) {
                        m_isBusy = false;
                        return;
                      }
                      m_version = aRows.value().empty() ? 0 : aRows.value().front().m_version;
                      Write(value);
                    });
  }

  void Write(Json aValue)
  {
    Transaction transaction;
    transaction.m_checks.push_back({ Key(), *m_version });
    transaction.m_writes.push_back({ Key(), aValue });
    m_platform.Transact(transaction,
                        [this, value = std::move(aValue)](const Result<Commit>& aCommit) {
                          m_isBusy = false;
                          if (aCommit.has_value() && aCommit.value().m_isCommitted) {
                            m_lastWritten = value;
                            m_version = *m_version + 1;
                            return;
                          }
                          // After a lost response or a conflict, read the row's version before
                          // the next write.
                          m_version.reset();
                        });
  }

  P& m_platform;
  EntryReport m_identity;
  std::optional<std::uint64_t> m_version; ///< Version of the row; empty when it must be read.
  std::optional<Json> m_lastWritten;      ///< Last report that this run wrote.
  bool m_isBusy = false;
};

} // namespace mustardtray
