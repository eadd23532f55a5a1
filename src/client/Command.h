#pragma once

/// What all subcommands of the operators' client share: options, exit codes and output.

#include <functional>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "client/OperatorClient.h"

namespace mustardtray {

inline constexpr int kExitDone = 0;
inline constexpr int kExitFailed = 1; ///< Refused, or no answer.
inline constexpr int kExitUsage = 2;  ///< The command line or an input file is wrong.

/// The command line of one subcommand, read.
struct CommandLine
{
  std::vector<std::string> m_arguments; ///< Those without a dash.
  cxxopts::ParseResult m_options;
  bool m_isJson = false; ///< --output json.

  bool Has(const std::string& aOption) const { return m_options.count(aOption) > 0; }
  std::string Value(const std::string& aOption) const;
};

/// One subcommand.
struct Command
{
  std::string m_name;
  std::string m_arguments; ///< For the usage line.
  std::string m_summary;
  std::string m_example;
  std::size_t m_fewest = 0; ///< Fewest and most arguments.
  std::size_t m_most = 0;
  std::function<void(cxxopts::Options&)> m_addOptions; ///< May be empty.
  std::function<int(const CommandLine&)> m_run;
};

/// All subcommands of the client, in the order of the help text.
const std::vector<Command>& ClientCommands();

/// Runs a subcommand; aArguments[0] is its name. Returns the exit code.
int RunClient(int aCount, char** aArguments);

/// Client for the options --operator, --token-file and --ca-file or their environment variables.
/// Errors: Invalid for missing or unreadable ones.
Result<OperatorClient> MakeClient(const CommandLine& aLine);

/// Reads a configuration file. Errors: NotFound, and Invalid with one line for each fault.
Result<Json> LoadDocument(const std::string& aPath);

/// Prints an error and gives the exit code.
int Fail(const Error& aError);
int FailUsage(const std::string& aMessage);
/// Prints the body for --output json or the given text; the exit code follows the answer's status.
int Print(const CommandLine& aLine, const OperatorAnswer& aAnswer, const std::string& aText);

/// Makes the client, asks, and prints what aFormat makes of a good answer.
int AskAndPrint(const CommandLine& aLine,
                const std::function<Result<OperatorAnswer>(const OperatorClient&)>& aAsk,
                const std::function<std::string(const Json&)>& aFormat);

Command ApplyCommand();
Command DiffCommand();
Command LabelCommand();
Command GetCommand();
Command HistoryCommand();
Command StatusCommand();
Command ExplainCommand();
Command CheckCommand();
Command DrainCommand();
Command MaintainCommand();

} // namespace mustardtray
