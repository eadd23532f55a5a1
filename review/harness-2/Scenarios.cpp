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

int RunForeignEntry(Installation& aInstallation, Record& aRecord, bool aHasTrouble)
{
  Fleet& minions = aInstallation.Minions();
  for (const char* name : { "m-1", "m-2", "m-3", "m-4" }) {
    minions.AddMachine({ name, kRoute.m_service, { "a", "r1-1" } });
  }
  aInstallation.PutConfig({ kRoute }, { kRoute.m_service });
  if (!aInstallation.StartNodes(2, kRoute)) {
    aRecord.Add("the nodes did not get ready");
    return kCouldNotRun;
  }
  const Millis duration(8'000);
  const std::string path = JobPath(kRoute, 1);
  if (aInstallation.Call(0, "POST", path, MakeJob({ 1, 2'000, duration, {} })).m_status != 200 ||
      !aInstallation.RunUntil(Millis(5'000),
                              [&] { return !minions.RunsOf(UnitName(1, 0)).empty(); })) {
    aRecord.Add("the job did not start");
    return kCouldNotRun;
  }
  aInstallation.Run(Millis(2'000));
  const std::string machine = minions.RunsOf(UnitName(1, 0)).front()->m_machine;
  if (aHasTrouble) {
    // An agent of the machine's owner writes an entry of its own. Its service is in no config.
    const Json entry{ { "service", "log-agents" },
                      { "address", "127.0.0.1:9" },
                      { "zone", "z1" },
                      { "version", "v1" },
                      { "slots", 1 },
                      { "state", "ready" },
                      { "cold_remaining_ms", 0 },
                      { "capacity", { { "cpu", 0 }, { "mem_mb", 0 }, { "gpu", 0 } } },
                      { "labels", { "agent", "r1-1" } },
                      { "machine", machine },
                      { "born", WallNow().time_since_epoch().count() },
                      { "seq", 1 } };
    aInstallation.Store().Put("servers", "agent-of-" + machine, entry.dump());
    aRecord.Add("TROUBLE another writer puts servers/agent-of-{}: {}", machine, entry.dump());
  }
  const bool hasEnded = aInstallation.RunUntil(Millis(30'000), [&] {
    aInstallation.Run(Millis(500));
    return aInstallation.Call(1, "GET", path).State() == "completed";
  });
  if (!hasEnded) {
    aRecord.Add("the job was not shown as completed in 30 s");
  }
  return Judge(aRecord, minions.FindTwice());
}

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

int RunFlappingMinion(Installation& aInstallation, Record& aRecord, bool aHasTrouble)
{
  constexpr int kCrashes = 2;
  Fleet& minions = aInstallation.Minions();
  // One minion of eight is of kind b.
  minions.AddMachine({ "m-1", kRoute.m_service, { "b", "r1-1" } });
  for (const char* name : { "m-2", "m-3", "m-4", "m-5", "m-6", "m-7", "m-8" }) {
    minions.AddMachine({ name, kRoute.m_service, { "a", "r1-1" } });
  }
  aInstallation.PutConfig({ kRoute }, { kRoute.m_service });
  if (!aInstallation.StartNodes(2, kRoute)) {
    aRecord.Add("the nodes did not get ready");
    return kCouldNotRun;
  }
  const std::string path = JobPath(kRoute, 1);
  const std::string unit = UnitName(1, 0);
  const Millis duration(2'500);
  if (aInstallation.Call(0, "POST", path, MakeJob({ 1, 2'000, duration, "b" })).m_status != 200) {
    aRecord.Add("the job was not accepted");
    return kCouldNotRun;
  }
  const TimePoint begin = MonotonicNow();
  int crashes = 0;
  TimePoint askedAt{};
  std::string state;
  aInstallation.RunUntil(Millis(45'000), [&] {
    const std::vector<const RunSeen*> runs = minions.RunsOf(unit);
    const bool isRunning = !runs.empty() && runs.back()->m_end == TimePoint{};
    // The minion goes down half a second after it has begun to work, and is back 2 s later.
    const bool mustCrash = aHasTrouble && crashes < kCrashes && isRunning &&
                           MonotonicNow() - runs.back()->m_begin >= Millis(500);
    if (mustCrash) {
      ++crashes;
      minions.Crash("m-1", Millis(2'000));
    }
    if (MonotonicNow() - askedAt >= Millis(500)) {
      askedAt = MonotonicNow();
      state = aInstallation.Call(1, "GET", path).State();
    }
    return state == "completed" || state == "failed" || state == "cancelled";
  });
  aRecord.Add("the job is shown as {} after {} ms",
              state,
              std::chrono::duration_cast<Millis>(MonotonicNow() - begin).count());
  const std::vector<const RunSeen*> runs = minions.RunsOf(unit);
  const auto failed = std::count_if(
    runs.begin(), runs.end(), [](const RunSeen* aRun) { return aRun->m_how == "failed"; });
  std::vector<std::string> breaks;
  if (state == "failed" && failed < kRoute.m_maxAttempts) {
    breaks.push_back(fmt::format("LOST: the job is shown as failed, with {} ends `failed` of {} "
                                 "that its queue allows",
                                 failed,
                                 kRoute.m_maxAttempts));
  }
  return Judge(aRecord, breaks);
}

} // namespace mustardtray::review
