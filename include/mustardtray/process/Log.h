#pragma once

/// Structured logging: one line of key=value pairs for each event, with a category and a level.

#include <initializer_list>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>

#include <fmt/format.h>

#include "mustardtray/process/EnumNames.h"

namespace mustardtray {

enum class LogCategory
{
  Process,
  Settings,
  Routing,
  Connection,
  Membership,
  Configuration,
  Fleet,
  Placement,
  Platform,
  Client,
};

template<>
struct EnumNames<LogCategory>
{
  static constexpr std::array kTable{
    std::pair{ LogCategory::Process, std::string_view("process") },
    std::pair{ LogCategory::Settings, std::string_view("settings") },
    std::pair{ LogCategory::Routing, std::string_view("routing") },
    std::pair{ LogCategory::Connection, std::string_view("connection") },
    std::pair{ LogCategory::Membership, std::string_view("membership") },
    std::pair{ LogCategory::Configuration, std::string_view("configuration") },
    std::pair{ LogCategory::Fleet, std::string_view("fleet") },
    std::pair{ LogCategory::Placement, std::string_view("placement") },
    std::pair{ LogCategory::Platform, std::string_view("platform") },
    std::pair{ LogCategory::Client, std::string_view("client") },
  };
};

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
  Off,
};

template<>
struct EnumNames<LogLevel>
{
  static constexpr std::array kTable{
    std::pair{ LogLevel::Debug, std::string_view("debug") },
    std::pair{ LogLevel::Info, std::string_view("info") },
    std::pair{ LogLevel::Warning, std::string_view("warning") },
    std::pair{ LogLevel::Error, std::string_view("error") },
    std::pair{ LogLevel::Off, std::string_view("off") },
  };
};

/// Starts a background thread that writes log lines to standard output. The oldest lines are
/// dropped when that thread cannot keep up. aNode is part of each line.
void StartLogging(LogLevel aLevel, std::string_view aNode);
void StopLogging();
bool IsLogged(LogLevel aLevel);

/// One key=value pair of a log line.
struct LogField
{
  std::string_view m_key;
  std::string m_value;
};

/// Writes a line. Use Log() instead, which formats nothing for a level that is not logged.
void WriteLogLine(LogCategory aCategory,
                  LogLevel aLevel,
                  std::string_view aEvent,
                  std::initializer_list<LogField> aFields);

/// Logs one event: Log(category, level, "event", "key", value, "key", value ...).
template<typename... Pairs>
void Log(LogCategory aCategory, LogLevel aLevel, std::string_view aEvent, const Pairs&... aPairs);

namespace detail {

inline std::string LogValue(std::string_view aValue)
{
  return std::string(aValue);
}
template<typename T>
requires(!std::is_convertible_v<T, std::string_view>) std::string LogValue(const T& aValue)
{
  return fmt::format("{}", aValue);
}

template<std::size_t... I, typename Tuple>
void LogPairs(LogCategory aCategory,
              LogLevel aLevel,
              std::string_view aEvent,
              const Tuple& aPairs,
              std::index_sequence<I...>)
{
  WriteLogLine(aCategory,
               aLevel,
               aEvent,
               { LogField{ std::string_view(std::get<I * 2>(aPairs)),
                           LogValue(std::get<I * 2 + 1>(aPairs)) }... });
}

} // namespace detail

template<typename... Pairs>
void Log(LogCategory aCategory, LogLevel aLevel, std::string_view aEvent, const Pairs&... aPairs)
{
  static_assert(sizeof...(Pairs) % 2 == 0, "keys and values come in pairs");
  if (IsLogged(aLevel)) {
    detail::LogPairs(aCategory,
                     aLevel,
                     aEvent,
                     std::tie(aPairs...),
                     std::make_index_sequence<sizeof...(Pairs) / 2>());
  }
}

} // namespace mustardtray
