#pragma once

/// The scenarios of the cases that are scripts. Each returns the exit code of its script.

#include "review/harness-2/Installation.h"

namespace mustardtray::review {

inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// A row of another writer lies beside the minions' rows in the store.
int RunForeignEntry(Installation& aInstallation, Record& aRecord, bool aHasTrouble);
/// A new config sends a queue to another service, and a client's request arrives again.
int RunQueueMove(Installation& aInstallation, Record& aRecord, bool aHasTrouble);
/// The only minion that may run a job crashes twice.
int RunFlappingMinion(Installation& aInstallation, Record& aRecord, bool aHasTrouble);

} // namespace mustardtray::review
