#include <iostream>

#include <fmt/format.h>

#include "client/Command.h"
#include "mustardtray/process/Settings.h"
#include "mustardtray/version/CheckConfiguration.h"
#include "mustardtray/version/ParseConfiguration.h"
#include "process/PlatformCodec.h"

namespace mustardtray {

namespace {

int Report(const CommandLine& aLine, const FieldErrors& aErrors, const FieldErrors& aWarnings)
{
  if (aLine.m_isJson) {
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
  return aErrors.empty() ? kExitDone : kExitFailed;
}

/// The platform's form of a VM list, from that or from a bare array.
Json WrapVms(const Json& aList)
{
  return aList.is_array() ? Json{ { "vms", aList } } : aList;
}

int CheckConfigFile(const CommandLine& aLine)
{
  const Result<Json> document = LoadDocument(aLine.Value("config"));
  if (document.has_error()) {
    return Fail(document.error());
  }
  std::vector<VmListing> vms;
  if (aLine.Has("vms")) {
    const Result<Json> list = LoadJsonFile(aLine.Value("vms"));
    if (list.has_error()) {
      return Fail(list.error());
    }
    Result<std::vector<VmListing>> parsed = ParseVms(WrapVms(list.value()).dump());
    if (parsed.has_error()) {
      return Fail(parsed.error());
    }
    vms = std::move(parsed.value());
  }
  const ParsedConfiguration config = ParseConfigurationDocument(document.value());
  if (!config.m_errors.empty()) {
    return Report(aLine, config.m_errors, {});
  }
  const ConfigurationCheckResult check = CheckConfiguration(config.m_configuration, vms);
  return Report(aLine, check.m_errors, check.m_warnings);
}

int CheckSettingsFile(const CommandLine& aLine)
{
  const Result<Json> document = LoadJsonFile(aLine.Value("settings"));
  if (document.has_error()) {
    return Fail(document.error());
  }
  FieldErrors errors;
  ParseSettings(document.value(), errors);
  return Report(aLine, errors, {});
}

int RunCheck(const CommandLine& aLine)
{
  if (aLine.Has("config") == aLine.Has("settings")) {
    return FailUsage("check needs either --config FILE or --settings FILE");
  }
  return aLine.Has("config") ? CheckConfigFile(aLine) : CheckSettingsFile(aLine);
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
               "vms", "VM list, to check the selectors against", cxxopts::value<std::string>())(
               "settings", "settings file of a daemon", cxxopts::value<std::string>());
           },
           &RunCheck };
}

} // namespace mustardtray
