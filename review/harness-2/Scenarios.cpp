#include "review/harness-2/Scenarios.h"

#include <algorithm>

namespace mustardtray::review {

namespace {

const Route kRoute{ "r-first", "/q1/", "s-first", 3 };

std::string JobPath(const Route& aRoute, std::uint64_t aNumber)
{
  return fmt::format("{}{:016x}", aRoute.m_prefix, 0x5c0e7a2100000000 + aNumber);
}

std::string UnitName(std::uint64_t aNumber, std::uint32_t aIndex)
{
  return fmt::format("{:016x}.0.0.{}", 0x5c0e7a2100000000 + aNumber, aIndex);
}

int Judge(Record& aRecord, const std::vector<std::string>& aBreaks)
{
  for (const std::string& text : aBreaks) {
    aRecord.Add("BROKEN {}", text);
  }
  aRecord.Add("{}", aBreaks.empty() ? "the rule held" : "the rule was broken");
  return aBreaks.empty() ? kRuleHeld : kRuleBroken;
}

} // namespace

int RunQueueMove(Installation& aInstallation, Record& aRecord, bool aHasTrouble)
{
  constexpr std::uint64_t kJobs = 4;
  Fleet& minions = aInstallation.Minions();
  // The version removes the queue's route and adds one of another name for its host and prefix.
  const Route moved{ "r-second", kRoute.m_prefix, "s-second", kRoute.m_maxAttempts };
  for (const char* name : { "m-1", "m-2", "m-3" }) {
    minions.AddMachine({ name, kRoute.m_service, { "a", "r1-1" } });
  }
  for (const char* name : { "m-4", "m-5", "m-6" }) {
    minions.AddMachine({ name, moved.m_service, { "a", "r1-2" } });
  }
  const std::vector<std::string> services{ kRoute.m_service, moved.m_service };
  aInstallation.PutConfig({ kRoute }, services);
  if (!aInstallation.StartNodes(2, kRoute)) {
    aRecord.Add("the nodes did not get ready");
    return kCouldNotRun;
  }
  const std::string body = MakeJob({ 2, 1'000, Millis(300), {} });
  for (std::uint64_t job = 1; job <= kJobs; ++job) {
    const std::string path = JobPath(kRoute, job);
    if (aInstallation.Call(job % 2, "POST", path, body).m_status != 200 ||
        !aInstallation.RunUntil(Millis(8'000), [&] {
          aInstallation.Run(Millis(100));
          return aInstallation.Call(job % 2, "GET", path).State() == "completed";
        })) {
      aRecord.Add("a job did not end");
      return kCouldNotRun;
    }
  }
  if (aHasTrouble) {
    aRecord.Add("TROUBLE the config changes: {} is sent to {}", kRoute.m_prefix, moved.m_service);
    aInstallation.PutConfig({ moved }, services);
  }
  // Longer than visible_ms after the jobs' acks and than config_deadline_ms after the config's.
  aInstallation.Run(Millis(4'000));
  std::vector<std::string> breaks;
  for (std::uint64_t job = 1; job <= kJobs; ++job) {
    const Answer answer = aInstallation.Call((job + 1) % 2, "GET", JobPath(kRoute, job));
    if (answer.m_status == 410) {
      breaks.push_back(fmt::format("LOST: GET of the accepted job {} is answered 410", job));
    }
  }
  // The requests arrive once more, seconds after the 2xx response.
  for (std::uint64_t job = 1; job <= kJobs; ++job) {
    aInstallation.Call(job % 2, "POST", JobPath(kRoute, job), body);
  }
  aInstallation.Run(Millis(4'000));
  const std::vector<std::string> twice = minions.FindTwice();
  breaks.insert(breaks.end(), twice.begin(), twice.end());
  return Judge(aRecord, breaks);
}

int RunLateStart(Installation& aInstallation, Record& aRecord, bool aHasTrouble)
{
  // applied_late: 2 to 12 s after the order.
  constexpr Millis kLateness{ 6'020 };
  constexpr Millis kDownTime{ 500 };
  // The minion is back for this time when it carries the order out.
  constexpr Millis kAfterReturn{ 20 };
  Fleet& minions = aInstallation.Minions();
  for (const char* name : { "m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "m-7", "m-8" }) {
    minions.AddMachine({ name, kRoute.m_service, { "a", "r1-1" } });
  }
  aInstallation.PutConfig({ kRoute }, { kRoute.m_service });
  if (!aInstallation.StartNodes(2, kRoute)) {
    aRecord.Add("the nodes did not get ready");
    return kCouldNotRun;
  }
  const std::string path = JobPath(kRoute, 1);
  const std::string unit = UnitName(1, 0);
  if (aHasTrouble) {
    minions.DelayNextStart(unit);
  }
  if (aInstallation.Call(0, "POST", path, MakeJob({ 1, 2'000, Millis(300), {} })).m_status != 200 ||
      (aHasTrouble && !aInstallation.RunUntil(
                        Millis(3'000), [&] { return !minions.MachineOfDelayed().empty(); }))) {
    aRecord.Add("the job was not accepted, or no start was ordered");
    return kCouldNotRun;
  }
  const TimePoint orderedAt = MonotonicNow();
  const auto runUntil = [&](Millis aSinceOrder) {
    aInstallation.Run(
      std::max(Millis(0), std::chrono::ceil<Millis>(orderedAt + aSinceOrder - MonotonicNow())));
  };
  runUntil(kLateness - kAfterReturn - kDownTime);
  const std::vector<const RunSeen*> runs = minions.RunsOf(unit);
  const bool isDone = std::any_of(runs.begin(), runs.end(), [](const RunSeen* aRun) {
    return aRun->m_how == "done" && aRun->m_isNoted;
  });
  if (!isDone) {
    aRecord.Add("the unit was not done in time");
    return kCouldNotRun;
  }
  if (aHasTrouble) {
    minions.Crash(minions.MachineOfDelayed(), kDownTime);
    runUntil(kLateness);
    minions.CarryOutLate();
  }
  aInstallation.Run(Millis(3'000));
  aInstallation.Call(1, "GET", path);
  return Judge(aRecord, minions.FindTwice());
}

} // namespace mustardtray::review
