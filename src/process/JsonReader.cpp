#include "mustardtray/process/JsonReader.h"

#include <algorithm>
#include <numeric>

#include <fmt/format.h>

namespace mustardtray {

namespace {

constexpr std::size_t kMaxShortTextLength = 60;
constexpr std::size_t kMaxSuggestionDistance = 3;

std::size_t EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{ 0 });
  for (std::size_t i = 1; i <= aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= aRight.size(); ++j) {
      const std::size_t substituted = diagonal + (aLeft[i - 1] == aRight[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({ substituted, row[j] + 1, row[j - 1] + 1 });
    }
  }
  return row.back();
}

std::string EscapeForPointer(std::string_view aKey)
{
  std::string escaped;
  for (const char c : aKey) {
    if (c == '~') {
      escaped += "~0";
    } else if (c == '/') {
      escaped += "~1";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

} // namespace

std::string FieldError::Text() const
{
  return fmt::format(
    "{}: found {}, allowed: {}", m_pointer.empty() ? "/" : m_pointer, m_found, m_allowed);
}

std::string ClosestName(std::string_view aName, const std::vector<std::string>& aCandidates)
{
  std::string closest;
  std::size_t best = std::min(kMaxSuggestionDistance, aName.size()) + 1;
  for (const std::string& candidate : aCandidates) {
    const std::size_t distance = EditDistance(aName, candidate);
    if (distance < best) {
      best = distance;
      closest = candidate;
    }
  }
  return closest;
}

std::string ShortText(const Json& aValue)
{
  std::string text = aValue.dump(-1, ' ', true, Json::error_handler_t::replace);
  if (text.size() > kMaxShortTextLength) {
    text.resize(kMaxShortTextLength - 3);
    text += "...";
  }
  return text;
}

JsonReader::JsonReader(const Json& aValue, std::string aPointer, FieldErrors& aErrors)
  : m_value(aValue)
  , m_pointer(std::move(aPointer))
  , m_errors(aErrors)
{
  if (!m_value.is_object()) {
    FailAt(m_pointer, &m_value, "an object");
  }
}

bool JsonReader::Has(std::string_view aKey) const
{
  return m_value.is_object() && m_value.contains(aKey);
}

const Json* JsonReader::Take(std::string_view aKey)
{
  m_known.emplace(aKey);
  if (!m_value.is_object()) {
    return nullptr;
  }
  const auto found = m_value.find(aKey);
  return found == m_value.end() ? nullptr : &*found;
}

const Json* JsonReader::Raw(std::string_view aKey)
{
  return Take(aKey);
}

std::string JsonReader::PointerTo(std::string_view aKey) const
{
  return aKey.empty() ? m_pointer : m_pointer + "/" + EscapeForPointer(aKey);
}

void JsonReader::FailAt(const std::string& aPointer, const Json* aFound, std::string aAllowed)
{
  m_errors.push_back({ aPointer, aFound ? ShortText(*aFound) : "nothing", std::move(aAllowed) });
}

void JsonReader::Missing(std::string_view aKey, std::string aAllowed)
{
  if (m_value.is_object()) {
    FailAt(PointerTo(aKey), nullptr, std::move(aAllowed));
  }
}

void JsonReader::Fail(std::string_view aKey, std::string aAllowed)
{
  const Json* found = aKey.empty() ? &m_value : Take(aKey);
  FailAt(PointerTo(aKey), found, std::move(aAllowed));
}

std::string JsonReader::String(std::string_view aKey, std::string_view aDefault)
{
  const Json* found = Take(aKey);
  if (!found) {
    return std::string(aDefault);
  }
  if (!found->is_string()) {
    FailAt(PointerTo(aKey), found, "a string");
    return std::string(aDefault);
  }
  return found->get<std::string>();
}

std::string JsonReader::RequiredString(std::string_view aKey)
{
  const Json* found = Take(aKey);
  if (!found) {
    Missing(aKey, "a string");
    return {};
  }
  if (!found->is_string() || found->get_ref<const std::string&>().empty()) {
    FailAt(PointerTo(aKey), found, "a string that is not empty");
    return {};
  }
  return found->get<std::string>();
}

std::int64_t JsonReader::Integer(std::string_view aKey,
                                 std::int64_t aDefault,
                                 std::int64_t aLowest,
                                 std::int64_t aHighest)
{
  const Json* found = Take(aKey);
  if (!found) {
    return aDefault;
  }
  const bool fits = found->is_number_integer() &&
                    !(found->is_number_unsigned() &&
                      found->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX));
  const std::int64_t value = fits ? found->get<std::int64_t>() : 0;
  if (!fits || value < aLowest || value > aHighest) {
    FailAt(PointerTo(aKey), found, fmt::format("an integer from {} to {}", aLowest, aHighest));
    return aDefault;
  }
  return value;
}

std::int64_t JsonReader::RequiredInteger(std::string_view aKey,
                                         std::int64_t aLowest,
                                         std::int64_t aHighest)
{
  if (!Has(aKey)) {
    Take(aKey);
    Missing(aKey, fmt::format("an integer from {} to {}", aLowest, aHighest));
    return aLowest;
  }
  return Integer(aKey, aLowest, aLowest, aHighest);
}

double JsonReader::Number(std::string_view aKey, double aDefault, double aLowest, double aHighest)
{
  const Json* found = Take(aKey);
  if (!found) {
    return aDefault;
  }
  const double value = found->is_number() ? found->get<double>() : aLowest - 1;
  if (value < aLowest || value > aHighest) {
    FailAt(PointerTo(aKey), found, fmt::format("a number from {} to {}", aLowest, aHighest));
    return aDefault;
  }
  return value;
}

bool JsonReader::Bool(std::string_view aKey, bool aDefault)
{
  const Json* found = Take(aKey);
  if (!found) {
    return aDefault;
  }
  if (!found->is_boolean()) {
    FailAt(PointerTo(aKey), found, "true|false");
    return aDefault;
  }
  return found->get<bool>();
}

Millis JsonReader::Duration(std::string_view aKey, Millis aDefault, Millis aLowest, Millis aHighest)
{
  return Millis(Integer(aKey, aDefault.count(), aLowest.count(), aHighest.count()));
}

std::vector<std::string> JsonReader::Strings(std::string_view aKey)
{
  std::vector<std::string> values;
  const Json* found = Take(aKey);
  if (!found) {
    return values;
  }
  if (!found->is_array()) {
    FailAt(PointerTo(aKey), found, "an array of strings");
    return values;
  }
  for (std::size_t i = 0; i < found->size(); ++i) {
    const Json& item = (*found)[i];
    if (item.is_string()) {
      values.push_back(item.get<std::string>());
    } else {
      FailAt(fmt::format("{}/{}", PointerTo(aKey), i), &item, "a string");
    }
  }
  return values;
}

void JsonReader::Object(std::string_view aKey, const std::function<void(JsonReader&)>& aRead)
{
  const Json* found = Take(aKey);
  if (!found) {
    return;
  }
  JsonReader reader(*found, PointerTo(aKey), m_errors);
  if (found->is_object()) {
    aRead(reader);
    reader.Finish();
  }
}

void JsonReader::RequiredObject(std::string_view aKey,
                                const std::function<void(JsonReader&)>& aRead)
{
  if (!Has(aKey)) {
    Take(aKey);
    Missing(aKey, "an object");
    return;
  }
  Object(aKey, aRead);
}

void JsonReader::Each(std::string_view aKey, const std::function<void(JsonReader&)>& aRead)
{
  const Json* found = Take(aKey);
  if (!found) {
    return;
  }
  if (!found->is_array()) {
    FailAt(PointerTo(aKey), found, "an array of objects");
    return;
  }
  for (std::size_t i = 0; i < found->size(); ++i) {
    JsonReader reader((*found)[i], fmt::format("{}/{}", PointerTo(aKey), i), m_errors);
    if ((*found)[i].is_object()) {
      aRead(reader);
      reader.Finish();
    }
  }
}

void JsonReader::EachMember(std::string_view aKey,
                            const std::function<void(const std::string&, JsonReader&)>& aRead)
{
  const Json* found = Take(aKey);
  if (!found) {
    return;
  }
  if (!found->is_object()) {
    FailAt(PointerTo(aKey), found, "an object of objects");
    return;
  }
  for (const auto& [name, value] : found->items()) {
    JsonReader reader(value, PointerTo(aKey) + "/" + EscapeForPointer(name), m_errors);
    if (value.is_object()) {
      aRead(name, reader);
      reader.Finish();
    }
  }
}

void JsonReader::Finish()
{
  if (!m_value.is_object()) {
    return;
  }
  const std::vector<std::string> known(m_known.begin(), m_known.end());
  for (const auto& [name, value] : m_value.items()) {
    if (m_known.contains(name)) {
      continue;
    }
    const std::string closest = ClosestName(name, known);
    std::string allowed =
      closest.empty() ? "no such key here" : "no such key here; did you mean \"" + closest + "\"?";
    FailAt(PointerTo(name), &value, std::move(allowed));
  }
}

} // namespace mustardtray
