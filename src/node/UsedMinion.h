#pragma once

/// Stored form of a minion that may run work of a pool. It has what a later owner needs to reach
/// the minion and to tell whether the minion has restarted since.

#include <string>

#include "mustardtray/job/Minion.h"

namespace mustardtray::node {

std::string EncodeUsedMinion(const job::MinionEntry& aEntry);
/// Returns an entry without an address when the text is invalid; the minion then counts as
/// unreachable.
job::MinionEntry DecodeUsedMinion(const std::string& aId, const std::string& aText);

} // namespace mustardtray::node
