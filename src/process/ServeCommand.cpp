#include "process/ServeCommand.h"

#include <iostream>
#include <string>

#include <cxxopts.hpp>

#include "mustardtray/process/Daemon.h"
#include "mustardtray/process/Log.h"
#include "mustardtray/process/Settings.h"

namespace mustardtray {

namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

int RunDaemon(const std::string& aPath)
{
  Result<Settings> settings = LoadSettings(aPath);
  if (settings.has_error()) {
    std::cerr << settings.error().Text() << "\n";
    return settings.error().m_kind == ErrorKind::Invalid ? kExitUsage : kExitFailure;
  }
  StartLogging(settings.value().m_logLevel, settings.value().m_node);
  Daemon daemon(std::move(settings.value()));
  const Result<void> result = daemon.Run();
  if (result.has_error()) {
    Log(LogCategory::Process, LogLevel::Error, "failed", "error", result.error().Text());
  }
  StopLogging();
  return result.has_error() ? kExitFailure : kExitSuccess;
}

} // namespace

int RunServe(int aCount, char** aArguments)
{
  cxxopts::Options options("mustardtray serve",
                           "Runs the daemon of an entry VM until SIGTERM, then drains.\n\n"
                           "Example: mustardtray serve --settings /etc/mustardtray.json\n");
  options.add_options()("settings", "settings file (JSON)", cxxopts::value<std::string>())(
    "h,help", "print this help");
  try {
    const cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << "\n";
      return kExitSuccess;
    }
    if (parsed.count("settings") == 0) {
      std::cerr << "serve needs --settings FILE; see mustardtray serve --help\n";
      return kExitUsage;
    }
    return RunDaemon(parsed["settings"].as<std::string>());
  } catch (const cxxopts::exceptions::exception& fault) {
    std::cerr << fault.what() << "; see mustardtray serve --help\n";
    return kExitUsage;
  }
}

} // namespace mustardtray
