#include "bench/ConfigDeployment.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <stdexcept>

#include <asio/post.hpp>
#include <fmt/format.h>

namespace mustardtray {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint16_t kFirstPort = 21'700;
constexpr std::chrono::seconds kGiveUp{ 20 };

Json ReadJson(const std::string& aPath)
{
  std::ifstream file(aPath);
  return Json::parse(file);
}

std::uint16_t PortOf(int aIndex)
{
  return static_cast<std::uint16_t>(kFirstPort + aIndex);
}

} // namespace

ConfigDeployment::ConfigDeployment(std::string aExamples)
  : m_examples(std::move(aExamples))
{
  PlatformStandinSettings settings;
  const Json list{ { "vms", ReadJson(m_examples + "/wroblewski-vms.json") } };
  auto vms = ParseStandinVms(list.dump());
  if (vms.has_error()) {
    throw std::runtime_error(vms.error().Text());
  }
  settings.m_vms = std::move(vms.value());
  m_platform = std::make_unique<PlatformStandin>(m_platformContext, settings);
  if (m_platform->Start().has_error()) {
    throw std::runtime_error("the platform's stand-in did not start");
  }
  m_platformThread = std::thread([this] { m_platformContext.run(); });
  m_nodes.resize(kConfigNodes);
  for (int i = 0; i < kConfigNodes; ++i) {
    StartNode(i);
  }
  ApplyRequest request;
  request.m_operationId = "first";
  request.m_document = ReadJson(m_examples + "/wroblewski.json");
  const ApplyOutcome outcome = Node(0).Apply(request).get();
  if (outcome.m_status != ApplyStatus::Accepted || WaitFor(1, kNoNode) < 0) {
    throw std::runtime_error("the example did not come into force: " + ToJson(outcome).dump());
  }
}

ConfigDeployment::~ConfigDeployment()
{
  m_nodes.clear();
  m_platformContext.stop();
  m_platformThread.join();
}

void ConfigDeployment::StartNode(int aIndex)
{
  ConfigNodeOptions options;
  options.m_platformUrl = fmt::format("http://127.0.0.1:{}", m_platform->Port());
  options.m_peerPort = PortOf(aIndex);
  for (int i = 0; i < kConfigNodes; ++i) {
    if (i != aIndex) {
      options.m_peers.push_back(fmt::format("http://127.0.0.1:{}", PortOf(i)));
    }
  }
  m_nodes[static_cast<std::size_t>(aIndex)] = std::make_unique<ConfigNode>(options);
}

void ConfigDeployment::RestartNode(int aIndex)
{
  m_nodes[static_cast<std::size_t>(aIndex)].reset();
  StartNode(aIndex);
}

void ConfigDeployment::SetFaults(const PlatformFaults& aFaults)
{
  std::promise<void> isSet;
  asio::post(m_platformContext, [this, &aFaults, &isSet] {
    m_platform->SetFaults(aFaults);
    isSet.set_value();
  });
  isSet.get_future().wait();
}

double ConfigDeployment::WaitFor(std::uint64_t aVersion, int aWithout)
{
  const auto start = Clock::now();
  while (Clock::now() - start < kGiveUp) {
    bool isEverywhere = true;
    for (int i = 0; i < kConfigNodes; ++i) {
      isEverywhere = isEverywhere && (i == aWithout || Node(i).Version() >= aVersion);
    }
    if (isEverywhere) {
      return std::chrono::duration<double>(Clock::now() - start).count();
    }
    std::this_thread::sleep_for(Millis(1));
  }
  return -1;
}

bool ConfigDeployment::HasAnyMovedBack() const
{
  return std::any_of(
    m_nodes.begin(), m_nodes.end(), [](const auto& aNode) { return aNode->HasMovedBack(); });
}

} // namespace mustardtray
