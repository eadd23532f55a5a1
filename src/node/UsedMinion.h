#pragma once

/// Stored form of a minion that may run work of a pool: what a later owner needs to reach it, and
/// to tell whether its machine has had another life since.

#include <string>

#include "mustardtray/job/Minion.h"

namespace mustardtray::node {

std::string EncodeUsedMinion(const job::MinionEntry& aEntry);
/// Without an address when the text cannot be read: the minion counts as silent then.
job::MinionEntry DecodeUsedMinion(const std::string& aId, const std::string& aText);

} // namespace mustardtray::node
