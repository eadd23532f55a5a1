#pragma once

/// Gives tests access to the files in examples/.

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "mustardtray/process/Platform.h"
#include "mustardtray/version/ParseConfiguration.h"

namespace mustardtray::test {

/// Returns the path of an example file. __FILE__ may be relative to the build folder, so the
/// function also searches the working folder and its parent.
inline std::string ExamplePath(const std::string& aName)
{
  const auto source = std::filesystem::path(__FILE__).parent_path().parent_path().parent_path();
  for (const std::filesystem::path& root :
       { source, std::filesystem::path("."), std::filesystem::path("..") }) {
    const auto path = root / "examples" / aName;
    if (std::filesystem::exists(path)) {
      return path.string();
    }
  }
  return "examples/" + aName;
}

inline std::string ReadExample(const std::string& aName)
{
  std::ifstream file(ExamplePath(aName));
  return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

inline Configuration ExampleConfiguration(const std::string& aName)
{
  return ParseConfiguration(ReadExample(aName + ".json")).m_configuration;
}

inline std::vector<VmListing> ExampleVms(const std::string& aName)
{
  std::vector<VmListing> vms;
  for (const Json& item : Json::parse(ReadExample(aName + "-vms.json"))) {
    VmListing vm;
    vm.m_name = item.at("name");
    vm.m_address = item.at("address");
    vm.m_zone = item.at("zone");
    vm.m_rack = item.at("rack");
    vm.m_role = FromName<VmRole>(item.at("role").get<std::string>()).value();
    vm.m_cores = item.at("cores");
    vm.m_memoryMb = item.at("memory_mb");
    vm.m_accelerators = item.at("accelerators");
    vms.push_back(std::move(vm));
  }
  return vms;
}

} // namespace mustardtray::test
