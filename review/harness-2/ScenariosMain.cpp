/// Runs a scenario: scenarios NAME RECORD. Exit code: 0 the rule held, 1 it was broken, 2 the
/// scenario could not run. With TROUBLE=0 in the environment there is no disruption.

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>

#include "review/harness-2/Scenarios.h"

int main(int aCount, char** aArguments)
{
  using namespace mustardtray::review;
  const std::map<std::string, int (*)(Installation&, Record&, bool)> scenarios{
    { "queue-move", &RunQueueMove },
    { "late-start", &RunLateStart },
    { "long-history", &RunLongHistory },
    { "lost-kind", &RunLostKind },
  };
  const auto scenario = aCount == 3 ? scenarios.find(aArguments[1]) : scenarios.end();
  if (scenario == scenarios.end()) {
    std::cerr << "usage: scenarios NAME RECORD\n";
    return kCouldNotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool hasTrouble = !trouble || std::string(trouble) != "0";
  std::string folder = std::filesystem::temp_directory_path() / "mustardtray-review-XXXXXX";
  if (!mkdtemp(folder.data())) {
    return kCouldNotRun;
  }
  int result = kCouldNotRun;
  {
    Record record(aArguments[2]);
    record.Add("{}, {}", scenario->first, hasTrouble ? "with the disruption" : "without it");
    try {
      const bool hasSmallMachines = scenario->first == "long-history";
      Installation installation(
        record, folder, hasSmallMachines ? Site::RutachapinGt : Site::WrobLodz);
      result = scenario->second(installation, record, hasTrouble);
      if (installation.HasNodeEnded()) {
        record.Add("a node process has ended by itself");
      }
    } catch (const std::exception& fault) {
      record.Add("the scenario could not run: {}", fault.what());
    }
  }
  if (std::getenv("KEEP_LOGS")) {
    std::cerr << folder << "\n";
  } else {
    std::filesystem::remove_all(folder);
  }
  return result;
}
