#pragma once

/// Options, settings files, signals and exit codes, shared by the entry points of the stand-ins.

#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <cxxopts.hpp>

namespace mustardtray {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitInvalid = 2;

/// Reads the file that an option names. Prints an error to stderr and returns nothing when the
/// option is missing or the file cannot be read.
inline std::optional<std::string> ReadFileOption(const cxxopts::ParseResult& aResult,
                                                 const std::string& aOption)
{
  if (aResult.count(aOption) == 0) {
    std::cerr << "--" << aOption << " FILE is missing\n";
    return std::nullopt;
  }
  const std::string path = aResult[aOption].as<std::string>();
  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": cannot be read\n";
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

/// Runs the context until SIGTERM or SIGINT.
inline int RunUntilSignal(asio::io_context& aContext)
{
  asio::signal_set signals(aContext, SIGTERM, SIGINT);
  signals.async_wait([&](const asio::error_code&, int) { aContext.stop(); });
  aContext.run();
  return kExitOk;
}

/// Parses the command line, handles --help and otherwise calls aServe. Returns the exit code.
inline int RunStandin(cxxopts::Options& aOptions,
                      int aCount,
                      char** aArguments,
                      const std::function<int(const cxxopts::ParseResult&)>& aServe)
{
  aOptions.add_options()("h,help", "print this help");
  try {
    const cxxopts::ParseResult result = aOptions.parse(aCount, aArguments);
    if (result.count("help") > 0) {
      std::cout << aOptions.help();
      return kExitOk;
    }
    return aServe(result);
  } catch (const cxxopts::exceptions::exception& aError) {
    std::cerr << aError.what() << '\n';
    return kExitInvalid;
  }
}

} // namespace mustardtray
