#pragma once

/// Reads the files of examples/ for tests.

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "mustardtray/process/Platform.h"
#include "mustardtray/version/ParseConfiguration.h"

namespace mustardtray::test {

inline std::string ReadExample(const std::string& aName)
{
  const auto root = std::filesystem::path(__FILE__).parent_path().parent_path().parent_path();
  std::ifstream file(root / "examples" / aName);
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
