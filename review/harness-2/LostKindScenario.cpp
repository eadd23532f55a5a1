#include "review/harness-2/Scenarios.h"

#include <algorithm>

namespace mustardtray::review {

namespace {

const Route kRoute{ "r-first", "/q1/", "s-first", 3 };
constexpr int kMachines = 60;
constexpr std::uint64_t kJobs = 12;
/// bounds.finish_s of the settings.
constexpr Millis kFinishTime{ 14'000 };
/// LOST: for so long a job has nothing running.
constexpr Millis kIdleLimit{ 3'000 };

std::string Id(std::uint64_t aNumber)
{
  // IDs of clients are spread over all values.
  return fmt::format("{:016x}", aNumber * 0x9e3779b97f4a7c15);
}

} // namespace

int RunLostKind(Installation& aInstallation, Record& aRecord, bool aHasTrouble)
{
  Fleet& minions = aInstallation.Minions();
  for (int i = 1; i <= kMachines - 2; ++i) {
    minions.AddMachine({ fmt::format("m-{}", i),
                         kRoute.m_service,
                         { "a", fmt::format("r1-{}", 1 + i / 8) },
                         16'000 });
  }
  // Two machines are of the kind b.
  for (const char* name : { "b-1", "b-2" }) {
    minions.AddMachine({ name, kRoute.m_service, { "b", "r1-9" }, 16'000 });
  }
  aInstallation.PutConfig({ kRoute }, { kRoute.m_service });
  if (!aInstallation.StartNodes(3, kRoute)) {
    aRecord.Add("the nodes did not get ready");
    return kCouldNotRun;
  }
  if (aHasTrouble) {
    minions.Lose("b-1");
  }
  // Longer than contact_ms, and until the lost minion's entry has expired.
  aInstallation.Run(Millis(6'000));
  const std::string body = MakeJob({ 1, 1'000, Millis(500), "b" });
  std::vector<std::string> accepted;
  for (std::uint64_t job = 1; job <= kJobs; ++job) {
    if (aInstallation.Call(job % 3, "POST", kRoute.m_prefix + Id(job), body).m_status == 200) {
      accepted.push_back(Id(job));
    }
    aInstallation.Run(Millis(500));
  }
  aRecord.Add("the traffic ends, {} jobs were accepted", accepted.size());
  aInstallation.Run(kFinishTime + kIdleLimit);
  std::vector<std::string> breaks;
  for (const std::string& id : accepted) {
    const Answer answer = aInstallation.Call(0, "GET", kRoute.m_prefix + id);
    if (answer.State() != "completed" && minions.RunsOf(id + ".0.0.0").empty()) {
      breaks.push_back(
        fmt::format("LOST: the accepted job {} has nothing running up to {} ms after the end of "
                    "the traffic, while the minion of b-2 may run it and is idle; shown as {}",
                    id,
                    (kFinishTime + kIdleLimit).count(),
                    answer.State()));
    }
  }
  for (const std::string& text : breaks) {
    aRecord.Add("BROKEN {}", text);
  }
  aRecord.Add("{}", breaks.empty() ? "the rule held" : "the rule was broken");
  return breaks.empty() ? kRuleHeld : kRuleBroken;
}

} // namespace mustardtray::review
