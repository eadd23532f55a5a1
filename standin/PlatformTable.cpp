#include "standin/PlatformTable.h"

#include <algorithm>

namespace mustardtray {

Commit PlatformTable::Transact(const Transaction& aTransaction)
{
  Commit commit;
  for (const RowCheck& check : aTransaction.m_checks) {
    if (CurrentVersion(check.m_key) != check.m_version) {
      commit.m_conflicts.push_back(check.m_key);
    }
  }
  commit.m_isCommitted = commit.m_conflicts.empty();
  if (commit.m_isCommitted && !aTransaction.m_writes.empty()) {
    ++m_revision;
    for (const RowWrite& write : aTransaction.m_writes) {
      Write(write);
    }
  }
  commit.m_revision = m_revision;
  return commit;
}

std::vector<Row> PlatformTable::Read(const std::vector<std::string>& aKeys,
                                     std::uint64_t aAsOf) const
{
  std::vector<Row> rows;
  for (const std::string& key : aKeys) {
    const auto found = m_rows.find(key);
    const RowState* state = found == m_rows.end() ? nullptr : StateAtRevision(found->second, aAsOf);
    if (state && state->m_value) {
      rows.push_back({ key, state->m_version, *state->m_value });
    }
  }
  return rows;
}

ScanPage PlatformTable::Scan(std::string_view aPrefix,
                             std::uint64_t aSince,
                             std::uint64_t aAsOf) const
{
  ScanPage page;
  page.m_revision = std::max(aSince, std::min(m_revision, aAsOf));
  for (auto it = m_rows.lower_bound(aPrefix); it != m_rows.end(); ++it) {
    const auto& [key, history] = *it;
    if (!key.starts_with(aPrefix)) {
      break;
    }
    const RowState* state = StateAtRevision(history, aAsOf);
    if (!state || state->m_revision <= aSince) {
      continue;
    }
    if (state->m_value) {
      page.m_rows.push_back({ key, state->m_version, *state->m_value });
    } else if (aSince > 0) {
      page.m_deleted.push_back(key);
    }
  }
  return page;
}

const PlatformTable::RowState* PlatformTable::StateAtRevision(const History& aHistory,
                                                              std::uint64_t aAsOf)
{
  const auto firstLater =
    std::find_if(aHistory.begin(), aHistory.end(), [&](const RowState& aState) {
      return aState.m_revision > aAsOf;
    });
  return firstLater == aHistory.begin() ? nullptr : &*(firstLater - 1);
}

std::uint64_t PlatformTable::CurrentVersion(const std::string& aKey) const
{
  const auto found = m_rows.find(aKey);
  if (found == m_rows.end() || !found->second.back().m_value) {
    return 0;
  }
  return found->second.back().m_version;
}

void PlatformTable::Write(const RowWrite& aWrite)
{
  const auto found = m_rows.find(aWrite.m_key);
  if (found == m_rows.end()) {
    if (aWrite.m_value) {
      m_rows[aWrite.m_key].push_back({ m_revision, 1, aWrite.m_value });
    }
    return;
  }
  History& history = found->second;
  const RowState& current = history.back();
  if (!current.m_value && !aWrite.m_value) {
    return;
  }
  history.push_back({ m_revision, current.m_version + 1, aWrite.m_value });
  TrimHistory(history);
}

void PlatformTable::TrimHistory(History& aHistory) const
{
  const auto firstLater =
    std::find_if(aHistory.begin(), aHistory.end(), [&](const RowState& aState) {
      return aState.m_revision > m_oldestReadableRevision;
    });
  if (firstLater - aHistory.begin() > 1) {
    aHistory.erase(aHistory.begin(), firstLater - 1);
  }
}

} // namespace mustardtray
