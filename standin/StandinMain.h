#pragma once

/// What the entry points of the stand-ins share: options, files, signals and exit codes.

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

/// Text of the file that an option names; complains when there is none.
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

/// Parses the options, prints help where asked, and calls aServe.
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
