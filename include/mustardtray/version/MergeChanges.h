#pragma once

/// Three-way merge of configuration documents, field by field.

#include <string>
#include <vector>

#include "mustardtray/version/ConfigurationChange.h"

namespace mustardtray {

/// A field that two operators changed to different values. A missing field is represented by null.
struct FieldConflict
{
  std::string m_pointer;
  Json m_base;   ///< Value that the operator's change is based on.
  Json m_mine;   ///< Value that the operator wants to set.
  Json m_theirs; ///< Value in the current document.
};

/// Applies the changes to aDocument. A field that already has the new value is skipped. A field
/// that has neither the old nor the new value is a conflict; after a conflict the document must not
/// be used.
std::vector<FieldConflict> ApplyChanges(Json& aDocument, const std::vector<FieldChange>& aChanges);

/// Returns the changes that undo aChanges, last change first.
std::vector<FieldChange> ReverseChanges(const std::vector<FieldChange>& aChanges);

Json ToJson(const FieldConflict& aConflict);
Json ToJson(const std::vector<FieldChange>& aChanges);
/// Reads an array of {pointer, before, after}. Faults are appended to aErrors with pointers below
/// aPointer.
std::vector<FieldChange> ParseFieldChanges(const Json& aValue,
                                           const std::string& aPointer,
                                           FieldErrors& aErrors);

} // namespace mustardtray
