#pragma once

/// Prefixes of request paths, matched by whole segments: "/a" covers "/a" and "/a/b", not "/ab".

#include <string_view>

namespace mustardtray {

inline std::string_view StripTrailingSlash(std::string_view aPath)
{
  return aPath.ends_with('/') ? aPath.substr(0, aPath.size() - 1) : aPath;
}

/// True when aPath is aPrefix or lies below it. An empty prefix covers every path.
inline bool HasPathPrefix(std::string_view aPath, std::string_view aPrefix)
{
  const std::string_view prefix = StripTrailingSlash(aPrefix);
  if (!aPath.starts_with(prefix)) {
    return false;
  }
  return aPath.size() == prefix.size() || aPath[prefix.size()] == '/';
}

} // namespace mustardtray
