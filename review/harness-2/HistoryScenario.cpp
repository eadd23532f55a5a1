#include "review/harness-2/Scenarios.h"

#include <algorithm>
#include <cstdlib>

#include "mustardtray/process/JsonReader.h"

namespace mustardtray::review {

namespace {

const Route kRoute{ "r-first", "/q1/", "s-first", 3 };
constexpr std::size_t kNodes = 3;
/// Jobs that clients have handed in before: 18.3 a second, those of `viaje-rapido`, for 15.5
/// minutes.
constexpr std::size_t kFormerJobs = 17'000;
/// Within this time, and by so many clients.
constexpr Millis kHistoryLimit{ 62'000 };
constexpr std::size_t kClients = 96;
constexpr std::size_t kSpecBytes = 3'900;
constexpr Millis kSubmitPeriod{ 1'000 };
/// Between the kill and the start of the processes, as in the site's closing faults.
constexpr Millis kDownTime{ 700 };
/// bounds.recovery_s of the settings.
constexpr Millis kTrafficAfterFault{ 15'000 };
/// bounds.finish_s of the settings.
constexpr Millis kFinishTime{ 14'000 };
/// LOST: for so long a job has nothing running.
constexpr Millis kIdleLimit{ 3'000 };
constexpr std::uint64_t kFirstId = 0x5c0e7a2100000000;

std::string Id(std::uint64_t aNumber)
{
  return fmt::format("{:016x}", kFirstId + aNumber);
}

/// A job like those of the quick queues: 2 steps of 6 units.
std::string MakeBooking()
{
  const Json spec{ { "ms", 300 }, { "cpu", 500 }, { "text", std::string(300, 'x') } };
  const Json first{ { "count", 6 }, { "cpu", 500 }, { "mem_mb", 256 }, { "estimate_ms", 300 } };
  Json second = first;
  second["after"] = { 0 };
  return Json{ { "spec", spec.dump() }, { "steps", { first, second } } }.dump();
}

/// Hands in the jobs of the history, and waits until they have ended. Returns how many were
/// accepted.
std::size_t Serve(Installation& aInstallation)
{
  // The longest spec that a job may have. What it says to the minion comes first.
  const Json spec{ { "ms", 20 }, { "cpu", 100 }, { "text", std::string(kSpecBytes, 'x') } };
  const Json step{ { "count", 1 }, { "cpu", 100 }, { "mem_mb", 16 }, { "estimate_ms", 20 } };
  const std::string body = Json{ { "spec", spec.dump() }, { "steps", { step } } }.dump();
  const TimePoint end = MonotonicNow() + kHistoryLimit;
  std::uint64_t sent = 0;
  std::size_t open = 0;
  std::size_t accepted = 0;
  std::function<void()> send = [&] {
    ++sent;
    ++open;
    // IDs of clients are spread over all values.
    const std::string id = fmt::format("{:016x}", sent * 0x9e3779b97f4a7c15);
    aInstallation.CallLater(
      sent % kNodes, "POST", kRoute.m_prefix + id, body, [&](const Answer& aAnswer) {
        --open;
        accepted += aAnswer.m_status == 200 ? 1 : 0;
        if (accepted + open < kFormerJobs && MonotonicNow() < end) {
          send();
        }
      });
  };
  for (std::size_t client = 0; client < kClients; ++client) {
    send();
  }
  aInstallation.RunUntil(kHistoryLimit + Millis(4'000), [&] { return open == 0; });
  aInstallation.Run(Millis(1'000));
  return accepted;
}

/// Whether a unit of the job runs, or has run since.
bool HasRunSince(const Fleet& aMinions, const std::string& aId, TimePoint aSince)
{
  const std::list<RunSeen>& runs = aMinions.Runs();
  return std::any_of(runs.begin(), runs.end(), [&](const RunSeen& aRun) {
    return aRun.m_unit.starts_with(aId) && (aRun.m_end == TimePoint{} || aRun.m_end >= aSince);
  });
}

} // namespace

int RunLongHistory(Installation& aInstallation, Record& aRecord, bool aHasTrouble)
{
  const char* history = std::getenv("HISTORY");
  const bool hasHistory = !history || std::string(history) != "0";
  Fleet& minions = aInstallation.Minions();
  for (int i = 1; i <= 8; ++i) {
    minions.AddMachine({ fmt::format("m-{}", i), kRoute.m_service, { "a", "r1-1" }, 64'000 });
  }
  aInstallation.PutConfig({ kRoute }, { kRoute.m_service });
  if (!aInstallation.StartNodes(kNodes, kRoute)) {
    aRecord.Add("the nodes did not get ready");
    return kCouldNotRun;
  }
  const std::string body = MakeBooking();
  if (hasHistory) {
    aRecord.Add("{} clients hand in {} jobs", kClients, kFormerJobs);
    aRecord.SetBrief(true);
    const std::size_t former = Serve(aInstallation);
    const std::list<RunSeen>& runs = minions.Runs();
    const auto done = std::count_if(
      runs.begin(), runs.end(), [](const RunSeen& aRun) { return aRun.m_how == "done"; });
    aRecord.SetBrief(false);
    aRecord.Add("{} jobs were accepted, {} units are done", former, done);
    if (former < kFormerJobs) {
      aRecord.Add("the jobs of the history took too long");
      return kCouldNotRun;
    }
  }
  aInstallation.EnforceLimits();
  aInstallation.Run(Millis(2'000));
  if (aHasTrouble) {
    for (std::size_t node = 0; node < kNodes; ++node) {
      aInstallation.Kill(node);
    }
    aInstallation.Run(kDownTime);
    for (std::size_t node = 0; node < kNodes; ++node) {
      aInstallation.Restart(node);
    }
  }
  // Clients hand in a job each second, at the nodes in turn, and repeat what gets no answer.
  std::vector<std::string> accepted;
  const TimePoint trafficEnd = MonotonicNow() + kTrafficAfterFault;
  for (std::uint64_t job = 1; MonotonicNow() < trafficEnd; ++job) {
    const TimePoint next = MonotonicNow() + kSubmitPeriod;
    if (aInstallation.Call(job % kNodes, "POST", kRoute.m_prefix + Id(job), body).m_status == 200) {
      accepted.push_back(Id(job));
    }
    aInstallation.Run(
      std::max(Millis(0), std::chrono::duration_cast<Millis>(next - MonotonicNow())));
  }
  aRecord.Add("the traffic ends, {} jobs were accepted", accepted.size());
  aInstallation.Run(kFinishTime);
  const TimePoint since = MonotonicNow();
  aInstallation.Run(kIdleLimit);
  std::vector<std::string> breaks;
  std::size_t node = 0;
  for (const std::string& id : accepted) {
    const Answer answer = aInstallation.Call(++node % kNodes, "GET", kRoute.m_prefix + id);
    const bool hasEnded = answer.State() == "completed";
    if (!hasEnded && !HasRunSince(minions, id, since)) {
      breaks.push_back(fmt::format(
        "LOST: the accepted job {} has nothing running, from {} to {} ms after the end of the "
        "traffic, while all minions are idle; shown as {}",
        id,
        kFinishTime.count(),
        (kFinishTime + kIdleLimit).count(),
        answer.State()));
    }
  }
  for (std::size_t i = 0; i < kNodes; ++i) {
    aRecord.Add("node {} used up to {} MB", i + 1, aInstallation.PeakMemoryMb(i));
  }
  aRecord.Add("{} processes were killed for their memory", aInstallation.MemoryKills());
  for (const std::string& text : breaks) {
    aRecord.Add("BROKEN {}", text);
  }
  aRecord.Add("{}", breaks.empty() ? "the rule held" : "the rule was broken");
  return breaks.empty() ? kRuleHeld : kRuleBroken;
}

} // namespace mustardtray::review
