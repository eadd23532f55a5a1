#include "client/Command.h"

#include <cstdlib>
#include <fstream>
#include <iostream>

#include <fmt/format.h>

#include "mustardtray/process/Settings.h"
#include "mustardtray/version/ParseConfiguration.h"

namespace mustardtray {

namespace {

constexpr const char* kOperatorVariable = "MUSTARDTRAY_OPERATOR";
constexpr const char* kTokenVariable = "MUSTARDTRAY_TOKEN_FILE";
constexpr const char* kCaVariable = "MUSTARDTRAY_CA_FILE";

std::string OptionOrEnvironment(const CommandLine& aCommandLine,
                                const std::string& aOption,
                                const char* aVariable)
{
  if (aCommandLine.HasOption(aOption)) {
    return aCommandLine.OptionValue(aOption);
  }
  const char* value = std::getenv(aVariable);
  return value ? value : "";
}

std::vector<std::string> SplitByComma(const std::string& aText)
{
  std::vector<std::string> items;
  std::size_t start = 0;
  while (start < aText.size()) {
    const std::size_t end = std::min(aText.find(',', start), aText.size());
    if (end > start) {
      items.push_back(aText.substr(start, end - start));
    }
    start = end + 1;
  }
  return items;
}

cxxopts::Options MakeOptions(const Command& aCommand)
{
  cxxopts::Options options("mustardtray " + aCommand.m_name,
                           aCommand.m_summary + "\n\nExample: " + aCommand.m_example + "\n");
  options.positional_help(aCommand.m_arguments);
  options.add_options()("operator",
                        "comma-separated URLs of entry VMs (MUSTARDTRAY_OPERATOR)",
                        cxxopts::value<std::string>())(
    "token-file",
    "file with the access token (MUSTARDTRAY_TOKEN_FILE)",
    cxxopts::value<std::string>())(
    "ca-file",
    "file with the certificate authorities to trust (MUSTARDTRAY_CA_FILE)",
    cxxopts::value<std::string>())("output",
                                   "output format: table or json",
                                   cxxopts::value<std::string>()->default_value("table"))(
    "h,help", "print this help")("arguments", "", cxxopts::value<std::vector<std::string>>());
  if (aCommand.m_addOptions) {
    aCommand.m_addOptions(options);
  }
  options.parse_positional({ "arguments" });
  return options;
}

int RunCommand(const Command& aCommand, int aCount, char** aArguments)
{
  cxxopts::Options options = MakeOptions(aCommand);
  CommandLine commandLine;
  try {
    commandLine.m_options = options.parse(aCount, aArguments);
  } catch (const cxxopts::exceptions::exception& error) {
    return PrintUsageError(
      fmt::format("{}; see mustardtray {} --help", error.what(), aCommand.m_name));
  }
  if (commandLine.HasOption("help")) {
    std::cout << options.help() << "\n";
    return kExitSuccess;
  }
  if (commandLine.HasOption("arguments")) {
    commandLine.m_arguments = commandLine.m_options["arguments"].as<std::vector<std::string>>();
  }
  const std::string output = commandLine.OptionValue("output");
  if (output != "table" && output != "json") {
    return PrintUsageError("--output must be table or json");
  }
  commandLine.m_isJson = output == "json";
  const std::size_t count = commandLine.m_arguments.size();
  if (count < aCommand.m_minArguments || count > aCommand.m_maxArguments) {
    return PrintUsageError(fmt::format("usage: mustardtray {} {}; see mustardtray {} --help",
                                       aCommand.m_name,
                                       aCommand.m_arguments,
                                       aCommand.m_name));
  }
  return aCommand.m_run(commandLine);
}

int PrintUsage(std::ostream& aStream)
{
  aStream << "usage: mustardtray COMMAND [OPTIONS]\n\n"
          << "  serve     runs the daemon of an entry VM\n";
  for (const Command& command : ClientCommands()) {
    aStream << fmt::format("  {:<9} {}\n", command.m_name, command.m_summary);
  }
  aStream << "\nmustardtray COMMAND --help describes a command. "
             "Exit codes: 0 success, 1 refused or failed, 2 invalid usage.\n";
  return kExitSuccess;
}

} // namespace

std::string CommandLine::OptionValue(const std::string& aOption) const
{
  return m_options[aOption].as<std::string>();
}

const std::vector<Command>& ClientCommands()
{
  static const std::vector<Command> sCommands{
    ApplyCommand(),  DiffCommand(),    LabelCommand(), GetCommand(),   HistoryCommand(),
    StatusCommand(), ExplainCommand(), CheckCommand(), DrainCommand(), MaintainCommand(),
  };
  return sCommands;
}

int RunClient(int aCount, char** aArguments)
{
  const std::string name = aCount > 0 ? aArguments[0] : "";
  if (name.empty() || name == "--help" || name == "-h" || name == "help") {
    PrintUsage(name.empty() ? std::cerr : std::cout);
    return name.empty() ? kExitUsage : kExitSuccess;
  }
  std::vector<std::string> names{ "serve" };
  for (const Command& command : ClientCommands()) {
    if (command.m_name == name) {
      return RunCommand(command, aCount, aArguments);
    }
    names.push_back(command.m_name);
  }
  const std::string closest = ClosestName(name, names);
  return PrintUsageError(fmt::format(
    "no command \"{}\"{}",
    name,
    closest.empty() ? "; see mustardtray --help" : fmt::format("; did you mean \"{}\"?", closest)));
}

Result<OperatorClient> MakeClient(const CommandLine& aCommandLine)
{
  OperatorEndpoint endpoint;
  endpoint.m_urls = SplitByComma(OptionOrEnvironment(aCommandLine, "operator", kOperatorVariable));
  endpoint.m_caFile = OptionOrEnvironment(aCommandLine, "ca-file", kCaVariable);
  if (endpoint.m_urls.empty()) {
    return Error{
      ErrorKind::Invalid, "read options", "", "--operator URL or MUSTARDTRAY_OPERATOR is required"
    };
  }
  const std::string tokenFile = OptionOrEnvironment(aCommandLine, "token-file", kTokenVariable);
  if (!tokenFile.empty()) {
    std::ifstream file(tokenFile);
    if (!(file >> endpoint.m_token)) {
      return Error{ ErrorKind::Invalid, "read options", "", "no token in " + tokenFile };
    }
  }
  return OperatorClient(std::move(endpoint));
}

Result<Json> LoadConfigurationDocument(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return Error{ ErrorKind::NotFound, "read file", aPath, "cannot be opened" };
  }
  const std::string text{ std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
  FieldErrors errors;
  Json document = ParseJsonText(text, errors);
  if (!errors.empty()) {
    return Error{ ErrorKind::Invalid, "parse configuration", aPath, JoinErrors(errors) };
  }
  return document;
}

int PrintError(const Error& aError)
{
  std::cerr << "error: " << aError.Text() << "\n";
  return aError.m_kind == ErrorKind::Invalid ? kExitUsage : kExitFailure;
}

int PrintUsageError(const std::string& aMessage)
{
  std::cerr << "error: " << aMessage << "\n";
  return kExitUsage;
}

int PrintResponse(const CommandLine& aCommandLine,
                  const OperatorResponse& aResponse,
                  const std::string& aText)
{
  if (aCommandLine.m_isJson) {
    std::cout << aResponse.m_body.dump(2) << "\n";
  } else if (aResponse.IsOk()) {
    std::cout << aText;
  } else {
    std::cerr << "error: " << aResponse.Message() << "\n";
  }
  return aResponse.IsOk() ? kExitSuccess : kExitFailure;
}

int SendAndPrint(const CommandLine& aCommandLine,
                 const std::function<Result<OperatorResponse>(const OperatorClient&)>& aSend,
                 const std::function<std::string(const Json&)>& aFormat)
{
  const Result<OperatorClient> client = MakeClient(aCommandLine);
  if (client.has_error()) {
    return PrintError(client.error());
  }
  const Result<OperatorResponse> response = aSend(client.value());
  if (response.has_error()) {
    return PrintError(response.error());
  }
  const OperatorResponse& received = response.value();
  return PrintResponse(aCommandLine, received, received.IsOk() ? aFormat(received.m_body) : "");
}

} // namespace mustardtray
