/// bench-configscale: what one change costs a node, by the size of the fleet. Prints one JSON line
/// for each size.

#include <chrono>
#include <iostream>

#include <fmt/format.h>

#include "mustardtray/process/ConfigReplica.h"
#include "mustardtray/version/CheckConfiguration.h"
#include "mustardtray/version/CompiledConfiguration.h"
#include "mustardtray/version/ConfigurationChange.h"
#include "mustardtray/version/ParseConfiguration.h"

using namespace mustardtray;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kZones = 20;
constexpr int kRepeats = 5;

struct Size
{
  int m_vms = 0;
  int m_pools = 0;
};

/// A service in each pool, and VMs dealt out to pools and zones in turn.
Configuration MakeConfiguration(const Size& aSize)
{
  Configuration config;
  for (int i = 0; i < aSize.m_pools; ++i) {
    const std::string name = fmt::format("pool{}", i);
    config.m_pools[name] = { name, Selector{ { { "workload", { name } } } }, 0 };
    ServiceConfig service;
    service.m_name = name;
    service.m_pool = name;
    service.m_pathPrefix = "/" + name;
    service.m_port = 8'100;
    service.m_budget = { 2, 1 };
    service.m_queues.resize(2);
    service.m_queues[0].m_name = "urgent";
    service.m_queues[0].m_urgency = Urgency::Urgent;
    service.m_queues[0].m_methods = { "POST" };
    service.m_queues[1].m_name = "rest";
    config.m_services[name] = service;
  }
  for (int i = 0; i < aSize.m_vms; ++i) {
    config.m_vmLabels[fmt::format("vm{}", i)]["workload"] =
      fmt::format("pool{}", i % aSize.m_pools);
  }
  return config;
}

std::vector<VmListing> MakeVms(const Size& aSize)
{
  std::vector<VmListing> vms;
  for (int i = 0; i < aSize.m_vms; ++i) {
    VmListing vm;
    vm.m_name = fmt::format("vm{}", i);
    vm.m_address = fmt::format("10.{}.{}.{}", i % kZones, i / 250, i % 250);
    vm.m_zone = fmt::format("zone{}", i % kZones);
    vm.m_rack = fmt::format("rack{}", i / 4);
    vms.push_back(vm);
  }
  return vms;
}

template<typename F>
double MillisOf(F aWork)
{
  const auto start = Clock::now();
  for (int i = 0; i < kRepeats; ++i) {
    aWork();
  }
  return std::chrono::duration<double, std::milli>(Clock::now() - start).count() / kRepeats;
}

Json Measure(const Size& aSize)
{
  const Configuration before = MakeConfiguration(aSize);
  const std::vector<VmListing> vms = MakeVms(aSize);
  Configuration after = before;
  after.m_vmLabels["vm0"]["disk"] = "fast";
  const ConfigObjects objects = ObjectsOf(ToJson(before));
  ConfigReplica replica;
  replica.Apply({ { 1, "a", DigestOf(objects) }, true, objects, {} });
  ConfigDelta delta;
  delta.m_head = { 2, "b", DigestOf(ObjectsOf(ToJson(after))) };
  delta.m_changed["vm_labels/vm0"] = Json{ { "disk", "fast" }, { "workload", "pool0" } };
  Json result{ { "vms", aSize.m_vms }, { "pools", aSize.m_pools } };
  result["delta_bytes"] = ToJson(delta).dump().size();
  result["document_bytes"] = replica.Document().dump().size();
  result["replica_ms"] = MillisOf([&] {
    ConfigReplica copy = replica;
    copy.Apply(delta);
  });
  result["parse_ms"] = MillisOf([&] { ParseConfigurationDocument(replica.Document()); });
  result["compile_ms"] = MillisOf([&] { CompiledConfiguration::Compile(before, vms); });
  result["check_ms"] = MillisOf([&] { CheckConfiguration(after, vms); });
  result["effect_ms"] = MillisOf([&] { ComputeEffect(before, after, vms); });
  return result;
}

} // namespace

int main()
{
  for (const Size& size :
       { Size{ 50, 5 }, Size{ 400, 29 }, Size{ 1'600, 116 }, Size{ 4'000, 289 } }) {
    std::cout << Measure(size).dump() << std::endl;
  }
  return 0;
}
