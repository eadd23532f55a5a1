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

std::string OptionOr(const CommandLine& aLine, const std::string& aOption, const char* aVariable)
{
  if (aLine.Has(aOption)) {
    return aLine.Value(aOption);
  }
  const char* value = std::getenv(aVariable);
  return value ? value : "";
}

std::vector<std::string> SplitByComma(const std::string& aText)
{
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start < aText.size()) {
    const std::size_t end = std::min(aText.find(',', start), aText.size());
    if (end > start) {
      parts.push_back(aText.substr(start, end - start));
    }
    start = end + 1;
  }
  return parts;
}

cxxopts::Options MakeOptions(const Command& aCommand)
{
  cxxopts::Options options("mustardtray " + aCommand.m_name,
                           aCommand.m_summary + "\n\nExample: " + aCommand.m_example + "\n");
  options.positional_help(aCommand.m_arguments);
  options.add_options()("operator",
                        "URLs of entry VMs, by comma (MUSTARDTRAY_OPERATOR)",
                        cxxopts::value<std::string>())(
    "token-file", "file with the token (MUSTARDTRAY_TOKEN_FILE)", cxxopts::value<std::string>())(
    "ca-file",
    "certificate authority to trust (MUSTARDTRAY_CA_FILE)",
    cxxopts::value<std::string>())(
    "output", "table or json", cxxopts::value<std::string>()->default_value("table"))(
    "h,help", "print this help")("arguments", "", cxxopts::value<std::vector<std::string>>());
  if (aCommand.m_addOptions) {
    aCommand.m_addOptions(options);
  }
  options.parse_positional({ "arguments" });
  return options;
}

int Run(const Command& aCommand, int aCount, char** aArguments)
{
  cxxopts::Options options = MakeOptions(aCommand);
  CommandLine line;
  try {
    line.m_options = options.parse(aCount, aArguments);
  } catch (const cxxopts::exceptions::exception& fault) {
    return FailUsage(fmt::format("{}; see mustardtray {} --help", fault.what(), aCommand.m_name));
  }
  if (line.Has("help")) {
    std::cout << options.help() << "\n";
    return kExitDone;
  }
  if (line.Has("arguments")) {
    line.m_arguments = line.m_options["arguments"].as<std::vector<std::string>>();
  }
  const std::string output = line.Value("output");
  if (output != "table" && output != "json") {
    return FailUsage("--output: table or json");
  }
  line.m_isJson = output == "json";
  const std::size_t count = line.m_arguments.size();
  if (count < aCommand.m_fewest || count > aCommand.m_most) {
    return FailUsage(fmt::format("usage: mustardtray {} {}; see mustardtray {} --help",
                                 aCommand.m_name,
                                 aCommand.m_arguments,
                                 aCommand.m_name));
  }
  return aCommand.m_run(line);
}

int PrintUsage(std::ostream& aStream)
{
  aStream << "usage: mustardtray COMMAND [OPTIONS]\n\n"
          << "  serve     runs the daemon of an entry VM\n";
  for (const Command& command : ClientCommands()) {
    aStream << fmt::format("  {:<9} {}\n", command.m_name, command.m_summary);
  }
  aStream << "\nmustardtray COMMAND --help describes a command. "
             "Exit codes: 0 done, 1 refused or failed, 2 wrong usage.\n";
  return kExitDone;
}

} // namespace

std::string CommandLine::Value(const std::string& aOption) const
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
    return name.empty() ? kExitUsage : kExitDone;
  }
  std::vector<std::string> names{ "serve" };
  for (const Command& command : ClientCommands()) {
    if (command.m_name == name) {
      return Run(command, aCount, aArguments);
    }
    names.push_back(command.m_name);
  }
  const std::string closest = ClosestName(name, names);
  return FailUsage(fmt::format("no command \"{}\"{}",
                               name,
                               closest.empty() ? "; see mustardtray --help"
                                               : fmt::format("; did you mean \"{}\"?", closest)));
}

Result<OperatorClient> MakeClient(const CommandLine& aLine)
{
  OperatorEndpoint endpoint;
  endpoint.m_urls = SplitByComma(OptionOr(aLine, "operator", kOperatorVariable));
  endpoint.m_caFile = OptionOr(aLine, "ca-file", kCaVariable);
  if (endpoint.m_urls.empty()) {
    return Error{
      ErrorKind::Invalid, "read options", "", "--operator URL or MUSTARDTRAY_OPERATOR is needed"
    };
  }
  const std::string tokenFile = OptionOr(aLine, "token-file", kTokenVariable);
  if (!tokenFile.empty()) {
    std::ifstream file(tokenFile);
    if (!(file >> endpoint.m_token)) {
      return Error{ ErrorKind::Invalid, "read options", "", "no token in " + tokenFile };
    }
  }
  return OperatorClient(std::move(endpoint));
}

Result<Json> LoadDocument(const std::string& aPath)
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

int Fail(const Error& aError)
{
  std::cerr << "error: " << aError.Text() << "\n";
  return aError.m_kind == ErrorKind::Invalid ? kExitUsage : kExitFailed;
}

int FailUsage(const std::string& aMessage)
{
  std::cerr << "error: " << aMessage << "\n";
  return kExitUsage;
}

int Print(const CommandLine& aLine, const OperatorAnswer& aAnswer, const std::string& aText)
{
  if (aLine.m_isJson) {
    std::cout << aAnswer.m_body.dump(2) << "\n";
  } else if (aAnswer.IsOk()) {
    std::cout << aText;
  } else {
    std::cerr << "error: " << aAnswer.Message() << "\n";
  }
  return aAnswer.IsOk() ? kExitDone : kExitFailed;
}

int AskAndPrint(const CommandLine& aLine,
                const std::function<Result<OperatorAnswer>(const OperatorClient&)>& aAsk,
                const std::function<std::string(const Json&)>& aFormat)
{
  const Result<OperatorClient> client = MakeClient(aLine);
  if (client.has_error()) {
    return Fail(client.error());
  }
  const Result<OperatorAnswer> answer = aAsk(client.value());
  if (answer.has_error()) {
    return Fail(answer.error());
  }
  const OperatorAnswer& good = answer.value();
  return Print(aLine, good, good.IsOk() ? aFormat(good.m_body) : "");
}

} // namespace mustardtray
