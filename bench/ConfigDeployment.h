#pragma once

/// Seven configuration nodes and the platform's stand-in, each on a thread of its own.

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "bench/ConfigNode.h"
#include "standin/PlatformStandin.h"

namespace mustardtray {

inline constexpr int kConfigNodes = 7;
/// Stands for "no node".
inline constexpr int kNoNode = -1;

class ConfigDeployment
{
public:
  /// Starts all and applies the Wróblewski example from aExamples. Throws when that fails.
  explicit ConfigDeployment(std::string aExamples);
  ~ConfigDeployment();
  ConfigDeployment(const ConfigDeployment&) = delete;
  ConfigDeployment& operator=(const ConfigDeployment&) = delete;

  ConfigNode& Node(int aIndex) { return *m_nodes[static_cast<std::size_t>(aIndex)]; }
  void RestartNode(int aIndex);
  void SetFaults(const PlatformFaults& aFaults);
  /// Seconds until every node but aWithout has the version; negative when it takes too long.
  double WaitFor(std::uint64_t aVersion, int aWithout);
  bool HasAnyMovedBack() const;

private:
  void StartNode(int aIndex);

  std::string m_examples;
  asio::io_context m_platformContext{ 1 };
  std::unique_ptr<PlatformStandin> m_platform;
  std::thread m_platformThread;
  std::vector<std::unique_ptr<ConfigNode>> m_nodes;
};

} // namespace mustardtray
