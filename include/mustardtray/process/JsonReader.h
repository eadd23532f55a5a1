#pragma once

/// Reads typed values from a JSON document. All faults are collected, each with its JSON pointer,
/// the value found and the values allowed. Unknown keys are faults too.

#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "mustardtray/process/EnumNames.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

using Json = nlohmann::json;

/// One fault in a document.
struct FieldError
{
  std::string m_pointer; ///< JSON pointer of the field.
  std::string m_found;   ///< The value found, shortened; "nothing" if missing.
  std::string m_allowed; ///< Description of the allowed values.

  std::string Text() const;
};

using FieldErrors = std::vector<FieldError>;

/// The candidate with the smallest edit distance to aName; empty when that exceeds 3.
std::string ClosestName(std::string_view aName, const std::vector<std::string>& aCandidates);

/// A JSON value as text for an error message: one line of at most 60 characters.
std::string ShortText(const Json& aValue);

/// Reads one JSON object. Call Finish() last; it reports the keys that were not read.
class JsonReader
{
public:
  JsonReader(const Json& aValue, std::string aPointer, FieldErrors& aErrors);

  const std::string& Pointer() const { return m_pointer; }
  const Json& Value() const { return m_value; }
  bool Has(std::string_view aKey) const;

  std::string String(std::string_view aKey, std::string_view aDefault);
  std::string RequiredString(std::string_view aKey);
  std::int64_t Integer(std::string_view aKey,
                       std::int64_t aDefault,
                       std::int64_t aLowest,
                       std::int64_t aHighest);
  std::int64_t RequiredInteger(std::string_view aKey, std::int64_t aLowest, std::int64_t aHighest);
  double Number(std::string_view aKey, double aDefault, double aLowest, double aHighest);
  bool Bool(std::string_view aKey, bool aDefault);
  /// Reads a duration in whole milliseconds; the key ends in "_ms".
  Millis Duration(std::string_view aKey, Millis aDefault, Millis aLowest, Millis aHighest);
  std::vector<std::string> Strings(std::string_view aKey);

  template<typename E>
  E Enum(std::string_view aKey, E aDefault);
  template<typename E>
  E RequiredEnum(std::string_view aKey);

  /// Calls aRead with the object under aKey, if there is one.
  void Object(std::string_view aKey, const std::function<void(JsonReader&)>& aRead);
  void RequiredObject(std::string_view aKey, const std::function<void(JsonReader&)>& aRead);
  /// Calls aRead with each object of the array under aKey, if there is one.
  void Each(std::string_view aKey, const std::function<void(JsonReader&)>& aRead);
  /// Calls aRead with the name and value of each member of the object under aKey.
  void EachMember(std::string_view aKey,
                  const std::function<void(const std::string&, JsonReader&)>& aRead);
  /// The value under aKey, which is marked as read; null when missing.
  const Json* Raw(std::string_view aKey);

  /// Reports a fault at aKey, or at the object itself when aKey is empty.
  void Fail(std::string_view aKey, std::string aAllowed);
  /// Reports every key that was not read, and suggests the closest known key.
  void Finish();

private:
  const Json* Take(std::string_view aKey);
  std::string PointerTo(std::string_view aKey) const;
  void FailAt(const std::string& aPointer, const Json* aFound, std::string aAllowed);
  void Missing(std::string_view aKey, std::string aAllowed);
  template<typename E>
  E EnumOf(std::string_view aKey, const Json* aFound, E aFallback);

  const Json& m_value;
  std::string m_pointer;
  FieldErrors& m_errors;
  std::set<std::string, std::less<>> m_known;
};

template<typename E>
E JsonReader::EnumOf(std::string_view aKey, const Json* aFound, E aFallback)
{
  if (aFound->is_string()) {
    if (const auto value = FromName<E>(aFound->get_ref<const std::string&>())) {
      return *value;
    }
  }
  FailAt(PointerTo(aKey), aFound, AllNames<E>());
  return aFallback;
}

template<typename E>
E JsonReader::Enum(std::string_view aKey, E aDefault)
{
  const Json* found = Take(aKey);
  return found ? EnumOf(aKey, found, aDefault) : aDefault;
}

template<typename E>
E JsonReader::RequiredEnum(std::string_view aKey)
{
  const E first = EnumNames<E>::kTable[0].first;
  const Json* found = Take(aKey);
  if (!found) {
    Missing(aKey, AllNames<E>());
    return first;
  }
  return EnumOf(aKey, found, first);
}

} // namespace mustardtray
