#pragma once

/// Stored form of a minion that may run work of a pool. It has what a later owner needs to reach
/// the minion, to tell whether the minion has restarted since, and for how long to wait for it.

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "mustardtray/job/PoolState.h"

namespace mustardtray::node {

/// End of the leases of a minion that does not answer, recorded by an owner that hands its pool
/// over and gives the minion no other lease.
struct FinalLease
{
  std::uint32_t m_epoch = 0; ///< Of the owner's claim; later owners may give leases again.
  Millis m_left{ 0 };        ///< Counts from before the row was written.
};

struct UsedMinion
{
  job::MinionEntry m_entry;
  std::optional<FinalLease> m_finalLease;
  /// Start orders without an answer. They may still be carried out.
  std::set<job::RunName> m_openStarts = {};
  /// Its runs may have the longest lease that it grants, which is longer than those of owners.
  bool m_hasLongLease = false;
};

std::string EncodeUsedMinion(const UsedMinion& aMinion);
/// Returns an entry without an address when the text is invalid; the minion then counts as
/// unreachable.
UsedMinion DecodeUsedMinion(const std::string& aId, const std::string& aText);

} // namespace mustardtray::node
