#include "mustardtray/version/MergeChanges.h"

#include <algorithm>

#include <fmt/format.h>

namespace mustardtray {

namespace {

const Json::json_pointer& VmLabelsPointer()
{
  static const Json::json_pointer sPointer("/vm_labels");
  return sPointer;
}

/// Returns the value at aPointer, or nullptr when it does not exist.
const Json* FindValue(const Json& aDocument, const Json::json_pointer& aPointer)
{
  if (aPointer.empty()) {
    return &aDocument;
  }
  const Json* parent = FindValue(aDocument, aPointer.parent_pointer());
  if (!parent || !parent->is_object()) {
    return nullptr;
  }
  const auto found = parent->find(aPointer.back());
  return found == parent->end() ? nullptr : &*found;
}

/// Returns the object at aPointer and creates missing objects on the way; nullptr when a value on
/// the way is not an object.
Json* FindOrCreateObject(Json& aDocument, const Json::json_pointer& aPointer)
{
  if (aPointer.empty()) {
    return &aDocument;
  }
  Json* parent = FindOrCreateObject(aDocument, aPointer.parent_pointer());
  if (!parent) {
    return nullptr;
  }
  Json& value = (*parent)[aPointer.back()];
  if (value.is_null()) {
    value = Json::object();
  }
  return value.is_object() ? &value : nullptr;
}

/// Removes the label set at aObject when it is empty, because documents leave out VMs without
/// labels.
void RemoveEmptyLabelSet(Json& aDocument, const Json::json_pointer& aObject)
{
  if (aObject.empty() || aObject.parent_pointer() != VmLabelsPointer()) {
    return;
  }
  Json* labels = FindOrCreateObject(aDocument, VmLabelsPointer());
  const auto found = labels->find(aObject.back());
  if (found != labels->end() && found->empty()) {
    labels->erase(found);
  }
}

/// Sets the field, or removes it when aValue is null. Returns false when its parent is not an
/// object.
bool SetValue(Json& aDocument, const Json::json_pointer& aPointer, const Json& aValue)
{
  const Json::json_pointer parentPointer = aPointer.parent_pointer();
  Json* parent = FindOrCreateObject(aDocument, parentPointer);
  if (!parent) {
    return false;
  }
  if (aValue.is_null()) {
    parent->erase(aPointer.back());
    RemoveEmptyLabelSet(aDocument, parentPointer);
  } else {
    (*parent)[aPointer.back()] = aValue;
  }
  return true;
}

bool IsFieldPointer(const std::string& aText)
{
  try {
    return !Json::json_pointer(aText).empty();
  } catch (const Json::exception&) {
    return false;
  }
}

} // namespace

std::vector<FieldConflict> ApplyChanges(Json& aDocument, const std::vector<FieldChange>& aChanges)
{
  std::vector<FieldConflict> conflicts;
  for (const FieldChange& change : aChanges) {
    const Json::json_pointer pointer(change.m_pointer);
    const Json* found = FindValue(aDocument, pointer);
    const Json theirs = found ? *found : Json();
    if (theirs == change.m_after) {
      continue;
    }
    if (theirs != change.m_before || !SetValue(aDocument, pointer, change.m_after)) {
      conflicts.push_back({ change.m_pointer, change.m_before, change.m_after, theirs });
    }
  }
  return conflicts;
}

std::vector<FieldChange> ReverseChanges(const std::vector<FieldChange>& aChanges)
{
  std::vector<FieldChange> reversed;
  reversed.reserve(aChanges.size());
  for (auto change = aChanges.rbegin(); change != aChanges.rend(); ++change) {
    reversed.push_back({ change->m_pointer, change->m_after, change->m_before });
  }
  return reversed;
}

Json ToJson(const FieldConflict& aConflict)
{
  return Json{ { "pointer", aConflict.m_pointer },
               { "base", aConflict.m_base },
               { "mine", aConflict.m_mine },
               { "theirs", aConflict.m_theirs } };
}

Json ToJson(const std::vector<FieldChange>& aChanges)
{
  Json changes = Json::array();
  for (const FieldChange& change : aChanges) {
    changes.push_back(ToJson(change));
  }
  return changes;
}

std::vector<FieldChange> ParseFieldChanges(const Json& aValue,
                                           const std::string& aPointer,
                                           FieldErrors& aErrors)
{
  std::vector<FieldChange> changes;
  if (!aValue.is_array()) {
    aErrors.push_back({ aPointer, ShortText(aValue), "an array of changes" });
    return changes;
  }
  for (std::size_t i = 0; i < aValue.size(); ++i) {
    JsonReader reader(aValue[i], fmt::format("{}/{}", aPointer, i), aErrors);
    FieldChange change;
    change.m_pointer = reader.RequiredString("pointer");
    if (!change.m_pointer.empty() && !IsFieldPointer(change.m_pointer)) {
      reader.Fail("pointer", "a JSON pointer to a field of the document");
      continue;
    }
    const Json* before = reader.Raw("before");
    const Json* after = reader.Raw("after");
    change.m_before = before ? *before : Json();
    change.m_after = after ? *after : Json();
    reader.Finish();
    changes.push_back(std::move(change));
  }
  return changes;
}

} // namespace mustardtray
