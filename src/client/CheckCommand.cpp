#include <iostream>

#include <fmt/format.h>

#include "client/Command.h"
#include "mustardtray/process/Settings.h"
#include "mustardtray/version/CheckConfiguration.h"
#include "mustardtray/version/ParseConfiguration.h"
#include "process/PlatformCodec.h"

namespace mustardtray {

namespace {

int PrintCheckResult(const CommandLine& aCommandLine,
                     const FieldErrors& aErrors,
                     const FieldErrors& aWarnings)
{
  if (aCommandLine.m_isJson) {
    Json body{ { "errors", Json::array() }, { "warnings", Json::array() } };
    for (const FieldError& error : aErrors) {
      body["errors"].push_back(error.Text());
    }
    for (const FieldError& warning : aWarnings) {
      body["warnings"].push_back(warning.Text());
    }
    std::cout << body.dump(2) << "\n";
  } else {
    for (const FieldError& error : aErrors) {
      std::cerr << "error: " << error.Text() << "\n";
    }
    for (const FieldError& warning : aWarnings) {
      std::cerr << "warning: " << warning.Text() << "\n";
    }
    std::cout << fmt::format("{} errors, {} warnings\n", aErrors.size(), aWarnings.size());
  }
  return aErrors.empty() ? kExitSuccess : kExitFailure;
}

/// Wraps a bare array of VMs into the platform's VM list format; other documents stay as they are.
Json WrapVmArray(const Json& aList)
{
  return aList.is_array() ? Json{ { "vms", aList } } : aList;
}

int CheckConfigFile(const CommandLine& aCommandLine)
{
  const Result<Json> document = LoadConfigurationDocument(aCommandLine.OptionValue("config"));
  if (document.has_error()) {
    return PrintError(document.error());
  }
  std::vector<VmListing> vms;
  if (aCommandLine.HasOption("vms")) {
    const Result<Json> list = LoadJsonFile(aCommandLine.OptionValue("vms"));
    if (list.has_error()) {
      return PrintError(list.error());
    }
    Result<std::vector<VmListing>> parsed = ParseVms(WrapVmArray(list.value()).dump());
    if (parsed.has_error()) {
      return PrintError(parsed.error());
    }
    vms = std::move(parsed.value());
  }
  const ParsedConfiguration config = ParseConfigurationDocument(document.value());
  if (!config.m_errors.empty()) {
    return PrintCheckResult(aCommandLine, config.m_errors, {});
  }
  const ConfigurationCheckResult check = CheckConfiguration(config.m_configuration, vms);
  return PrintCheckResult(aCommandLine, check.m_errors, check.m_warnings);
}

int CheckSettingsFile(const CommandLine& aCommandLine)
{
  const Result<Json> document = LoadJsonFile(aCommandLine.OptionValue("settings"));
  if (document.has_error()) {
    return PrintError(document.error());
  }
  FieldErrors errors;
  ParseSettings(document.value(), errors);
  return PrintCheckResult(aCommandLine, errors, {});
}

int RunCheck(const CommandLine& aCommandLine)
{
  if (aCommandLine.HasOption("config") == aCommandLine.HasOption("settings")) {
    return PrintUsageError("check needs either --config FILE or --settings FILE");
  }
  return aCommandLine.HasOption("config") ? CheckConfigFile(aCommandLine)
                                          : CheckSettingsFile(aCommandLine);
}

} // namespace

Command CheckCommand()
{
  return { "check",
           "",
           "checks a configuration or settings file without a daemon",
           "mustardtray check --config wroblewski.json --vms wroblewski-vms.json",
           0,
           0,
           [](cxxopts::Options& aOptions) {
             aOptions.add_options()("config", "configuration file", cxxopts::value<std::string>())(
               "vms",
               "VM list against which the selectors are checked",
               cxxopts::value<std::string>())(
               "settings", "settings file of a daemon", cxxopts::value<std::string>());
           },
           &RunCheck };
}

} // namespace mustardtray
