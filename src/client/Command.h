#pragma once

/// Options, exit codes and output shared by all subcommands of the operators' client.

#include <functional>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "client/OperatorClient.h"

namespace mustardtray {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1; ///< The request was refused or got no response.
inline constexpr int kExitUsage = 2;   ///< The command line or an input file is invalid.

/// The parsed command line of one subcommand.
struct CommandLine
{
  std::vector<std::string> m_arguments; ///< Positional arguments.
  cxxopts::ParseResult m_options;
  bool m_isJson = false; ///< Whether --output json is given.

  bool HasOption(const std::string& aOption) const { return m_options.count(aOption) > 0; }
  /// The option must be given or have a default.
  std::string OptionValue(const std::string& aOption) const;
};

/// Description and implementation of one subcommand.
struct Command
{
  std::string m_name;
  std::string m_arguments; ///< Positional arguments as shown in the usage line.
  std::string m_summary;
  std::string m_example;
  std::size_t m_minArguments = 0; ///< Number of positional arguments.
  std::size_t m_maxArguments = 0;
  std::function<void(cxxopts::Options&)> m_addOptions; ///< May be empty.
  std::function<int(const CommandLine&)> m_run;
};

/// All subcommands of the client, in the order of the help text.
const std::vector<Command>& ClientCommands();

/// Runs the subcommand named by aArguments[0] and returns the exit code.
int RunClient(int aCount, char** aArguments);

/// Creates a client from the options --operator, --token-file and --ca-file or their environment
/// variables. Errors: Invalid when the URL is missing or the token file cannot be read.
Result<OperatorClient> MakeClient(const CommandLine& aCommandLine);

/// Reads a configuration file. Errors: NotFound when the file cannot be opened; Invalid with one
/// line for each parse error.
Result<Json> LoadConfigurationDocument(const std::string& aPath);

/// Prints an error and returns the exit code.
int PrintError(const Error& aError);
/// Prints an error about the command line and returns kExitUsage.
int PrintUsageError(const std::string& aMessage);
/// Prints the body for --output json, otherwise aText or the error's message. Returns the exit code
/// for the response's status.
int PrintResponse(const CommandLine& aCommandLine,
                  const OperatorResponse& aResponse,
                  const std::string& aText);

/// Creates the client, sends a request and prints the response; aFormat formats a successful one.
int SendAndPrint(const CommandLine& aCommandLine,
                 const std::function<Result<OperatorResponse>(const OperatorClient&)>& aSend,
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
