#pragma once

/// Three-way merge of configuration documents, field by field.

#include <string>
#include <vector>

#include "mustardtray/version/ConfigurationChange.h"

namespace mustardtray {

/// A field that two operators changed in different ways. Null stands for a field that is not there.
struct FieldConflict
{
  std::string m_pointer;
  Json m_base;   ///< What the operator saw.
  Json m_mine;   ///< What the operator wants.
  Json m_theirs; ///< What stands there now.
};

/// Makes the changes in aDocument. A field that already has the wanted value is left; one that has
/// neither the old nor the wanted value is a conflict, and then the document must not be used.
std::vector<FieldConflict> ApplyChanges(Json& aDocument, const std::vector<FieldChange>& aChanges);

/// The changes that undo aChanges.
std::vector<FieldChange> Reversed(const std::vector<FieldChange>& aChanges);

Json ToJson(const FieldConflict& aConflict);
Json ToJson(const std::vector<FieldChange>& aChanges);
/// Reads an array of {pointer, before, after}; faults go to aErrors under aPointer.
std::vector<FieldChange> ParseFieldChanges(const Json& aValue,
                                           const std::string& aPointer,
                                           FieldErrors& aErrors);

} // namespace mustardtray
