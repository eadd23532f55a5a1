#pragma once

/// The scenarios of the cases that are scripts. Each returns the exit code of its script.

#include "review/harness-2/Installation.h"

namespace mustardtray::review {

inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// A new config sends a queue to another service, and a client's request arrives again.
int RunQueueMove(Installation& aInstallation, Record& aRecord, bool aHasTrouble);
/// A start without an answer is carried out late, by the next life of its minion.
int RunLateStart(Installation& aInstallation, Record& aRecord, bool aHasTrouble);

/// One of the two minions that may run a job is lost for good, in a service of sixty.
int RunLostKind(Installation& aInstallation, Record& aRecord, bool aHasTrouble);
/// All nodes are killed and start again, in a deployment that has served for some hours. With
/// HISTORY=0 in the environment it has served nothing yet.
int RunLongHistory(Installation& aInstallation, Record& aRecord, bool aHasTrouble);

} // namespace mustardtray::review
