#pragma once

/// Outcomes of changes as text for people.

#include <string>

#include "mustardtray/process/JsonReader.h"

namespace mustardtray {

/// One line for each changed field.
std::string FormatChanges(const Json& aChanges);
/// Changes, moves, drains and budgets of an effect.
std::string FormatEffect(const Json& aEffect);
/// Conflicts, errors and warnings of an outcome, one a line.
std::string FormatFindings(const Json& aOutcome);

} // namespace mustardtray
