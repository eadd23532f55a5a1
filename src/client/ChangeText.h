#pragma once

/// Formats the outcome of a configuration change as readable text.

#include <string>

#include "mustardtray/process/JsonReader.h"

namespace mustardtray {

/// Formats one line for each changed field.
std::string FormatChanges(const Json& aChanges);
/// Formats the changed fields, VM moves, drains and availability budgets of a change's effect.
std::string FormatEffect(const Json& aEffect);
/// Formats the conflicts, errors and warnings of an outcome, one line each.
std::string FormatDiagnostics(const Json& aOutcome);

} // namespace mustardtray
