#include "mustardtray/process/Log.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace mustardtray {

namespace {

constexpr std::size_t kQueueCapacityLines = 8192;
constexpr std::size_t kLogThreads = 1;
constexpr std::size_t kStreamBufferBytes = 64u << 10;
constexpr std::chrono::seconds kFlushPeriod{ 1 };

std::atomic<LogLevel> gLevel{ LogLevel::Off };
std::shared_ptr<spdlog::logger> gLogger;

spdlog::level::level_enum ToSpdlogLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return spdlog::level::debug;
    case LogLevel::Info:
      return spdlog::level::info;
    case LogLevel::Warning:
      return spdlog::level::warn;
    case LogLevel::Error:
      return spdlog::level::err;
    case LogLevel::Off:
      break;
  }
  return spdlog::level::off;
}

bool NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() || aValue.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

void AppendQuoted(fmt::memory_buffer& aLine, std::string_view aValue)
{
  aLine.push_back('"');
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      aLine.push_back('\\');
      aLine.push_back(c);
    } else if (static_cast<unsigned char>(c) < 0x20) {
      fmt::format_to(std::back_inserter(aLine), "\\x{:02x}", static_cast<unsigned char>(c));
    } else {
      aLine.push_back(c);
    }
  }
  aLine.push_back('"');
}

} // namespace

void StartLogging(LogLevel aLevel, std::string_view aNode)
{
  // A full buffer reduces the number of system calls: one call writes many lines.
  std::setvbuf(stdout, nullptr, _IOFBF, kStreamBufferBytes);
  spdlog::init_thread_pool(kQueueCapacityLines, kLogThreads);
  auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  gLogger = std::make_shared<spdlog::async_logger>("mustardtray",
                                                   std::move(sink),
                                                   spdlog::thread_pool(),
                                                   spdlog::async_overflow_policy::overrun_oldest);
  gLogger->set_pattern(fmt::format("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l node={} %v", aNode),
                       spdlog::pattern_time_type::utc);
  gLogger->set_level(ToSpdlogLevel(aLevel));
  spdlog::register_logger(gLogger);
  gLogger->flush_on(spdlog::level::warn);
  spdlog::flush_every(kFlushPeriod);
  gLevel = aLevel;
}

void StopLogging()
{
  gLevel = LogLevel::Off;
  if (gLogger) {
    gLogger->flush();
    gLogger.reset();
    spdlog::shutdown();
  }
}

bool IsLogged(LogLevel aLevel)
{
  return aLevel >= gLevel.load(std::memory_order_relaxed);
}

void WriteLogLine(LogCategory aCategory,
                  LogLevel aLevel,
                  std::string_view aEvent,
                  std::initializer_list<LogField> aFields)
{
  fmt::memory_buffer line;
  fmt::format_to(std::back_inserter(line), "category={} event={}", ToName(aCategory), aEvent);
  for (const LogField& field : aFields) {
    fmt::format_to(std::back_inserter(line), " {}=", field.m_key);
    if (NeedsQuotes(field.m_value)) {
      AppendQuoted(line, field.m_value);
    } else {
      line.append(field.m_value);
    }
  }
  gLogger->log(ToSpdlogLevel(aLevel), std::string_view(line.data(), line.size()));
}

} // namespace mustardtray
