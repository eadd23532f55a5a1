#include "node/NodeCommand.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include <cxxopts.hpp>

#include "node/NodeDaemon.h"

namespace mustardtray::node {

namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitUsageError = 2;

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return file ? text.str() : std::string{};
}

} // namespace

int RunNodeCommand(int aCount, char** aArguments)
{
  cxxopts::Options options("mustardtray node",
                           "Runs a node on the users' platform until SIGTERM.\n\n"
                           "Example: mustardtray node\n");
  options.add_options()("settings",
                        "the platform's settings file (default: the path that the platform sets)",
                        cxxopts::value<std::string>())("h,help", "print this help");
  std::string path = platform::NodeSettingsPath();
  try {
    const cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << "\n";
      return kExitSuccess;
    }
    if (parsed.count("settings") > 0) {
      path = parsed["settings"].as<std::string>();
    }
  } catch (const cxxopts::exceptions::exception& fault) {
    std::cerr << fault.what() << "; see mustardtray node --help\n";
    return kExitUsageError;
  }
  const auto settings = platform::ParseNodeSettings(ReadFile(path));
  if (!settings) {
    std::cerr << path << ": " << settings.error().Text() << "\n";
    return kExitUsageError;
  }
  return RunNode(settings.value());
}

} // namespace mustardtray::node
