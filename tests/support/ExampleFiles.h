#pragma once

/// Reads the files of examples/ for tests.

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace mustardtray::test {

inline std::string ReadExample(const std::string& aName)
{
  const auto root = std::filesystem::path(__FILE__).parent_path().parent_path().parent_path();
  std::ifstream file(root / "examples" / aName);
  return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

} // namespace mustardtray::test
