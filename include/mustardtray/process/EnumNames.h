#pragma once

/// Names of enum class values as used on the wire, in logs and in settings.

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace mustardtray {

/// Specialise this for an enum with a `static constexpr std::array kTable` of (value, name) pairs.
template<typename E>
struct EnumNames;

/// Name of a value; "?" when the value is not in the table.
template<typename E>
constexpr std::string_view ToName(E aValue)
{
  for (const auto& [value, name] : EnumNames<E>::kTable) {
    if (value == aValue) {
      return name;
    }
  }
  return "?";
}

/// Value with the given name; empty when no value has it.
template<typename E>
constexpr std::optional<E> FromName(std::string_view aName)
{
  for (const auto& [value, name] : EnumNames<E>::kTable) {
    if (name == aName) {
      return value;
    }
  }
  return std::nullopt;
}

/// All names separated by "|", for messages that list the allowed values.
template<typename E>
std::string AllNames()
{
  std::string names;
  for (const auto& [value, name] : EnumNames<E>::kTable) {
    names += names.empty() ? "" : "|";
    names += name;
  }
  return names;
}

} // namespace mustardtray
