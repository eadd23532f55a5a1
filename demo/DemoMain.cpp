/// The demo: a small fleet in two availability zones, requests through it, and a table of what
/// became of them.

#include <iostream>

#include "standin/LocalFleet.h"

using namespace mustardtray;

int main(int aCount, char** aArguments)
{
  LocalFleetOptions options;
  options.m_configurationFile = "examples/wroblewski.json";
  options.m_vmsFile = "examples/wroblewski-vms.json";
  options.m_folder = aCount > 1 ? aArguments[1] : "/tmp/mustardtray-demo";
  LocalFleet fleet(options);
  const Result<void> started = fleet.Start();
  if (started.has_error()) {
    std::cerr << started.error().Text() << "\n";
    return 1;
  }
  std::cout << "up: " << fleet.WaitUntilServing(Millis(20'000)) << "\n";
  for (const LocalEntryVm& entry : fleet.EntryVms()) {
    std::cout << entry.m_name << " " << entry.m_callerUrl << " " << entry.m_metricsUrl << "\n";
  }
  std::cout << std::flush;
  std::string line;
  std::getline(std::cin, line);
  std::cout << fleet.MinionStats().dump(1).substr(0, 1500) << "\n";
  return 0;
}
