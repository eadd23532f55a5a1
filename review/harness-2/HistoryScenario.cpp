#include "review/harness-2/Scenarios.h"

#include <algorithm>
#include <cstdlib>

#include "mustardtray/process/JsonReader.h"

namespace mustardtray::review {

namespace {

const Route kRoute{ "r-first", "/q1/", "s-first", 3 };
constexpr std::size_t kNodes = 3;
/// Jobs that the queue has completed before: 6.3 a second, those of `booking-check`, for 8 hours.
constexpr std::size_t kFormerJobs = 181'000;
constexpr Millis kSubmitPeriod{ 1'000 };
/// Between the kill and the start of the processes, as in the days' closing faults.
constexpr Millis kDownTime{ 1'300 };
constexpr Millis kTrafficAfterFault{ 12'000 };
/// bounds.finish_s of the settings.
constexpr Millis kFinishTime{ 14'000 };
/// LOST: for so long a job has nothing running.
constexpr Millis kIdleLimit{ 3'000 };
constexpr std::uint64_t kFirstId = 0x5c0e7a2100000000;
constexpr std::uint64_t kFirstFormerId = 0x7000000000000000;

std::string Id(std::uint64_t aNumber)
{
  return fmt::format("{:016x}", kFirstId + aNumber);
}

/// A job as the queue `booking-check` of wrob-lodz gets them: 2 steps of 6 units.
std::string MakeBooking()
{
  const Json spec{ { "ms", 300 }, { "cpu", 500 }, { "text", std::string(300, 'x') } };
  const Json first{ { "count", 6 }, { "cpu", 500 }, { "mem_mb", 256 }, { "estimate_ms", 300 } };
  Json second = first;
  second["after"] = { 0 };
  return Json{ { "spec", spec.dump() }, { "steps", { first, second } } }.dump();
}

/// Repeats the rows that the nodes wrote for a completed job, under other IDs.
void RepeatRows(Installation& aInstallation, const std::string& aId, std::size_t aCount)
{
  soak::RowStoreStandin& store = aInstallation.Store();
  const std::string job = store.Value("job", kRoute.m_service, aId);
  const std::string progress = store.Value("progress", kRoute.m_service, aId);
  for (std::size_t i = 0; i < aCount; ++i) {
    // IDs of clients are spread over all values.
    const std::string id = fmt::format("{:016x}", kFirstFormerId + i * 0x10001);
    std::string repeated = job;
    repeated.replace(repeated.find(aId), aId.size(), id);
    store.PutWithoutHistory("job", kRoute.m_service, id, repeated);
    store.PutWithoutHistory("progress", kRoute.m_service, id, progress);
  }
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
  const std::size_t formerJobs = history && std::string(history) == "0" ? 0 : kFormerJobs;
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
  const std::string sample = Id(0);
  if (aInstallation.Call(0, "POST", kRoute.m_prefix + sample, body).m_status != 200 ||
      !aInstallation.RunUntil(Millis(8'000), [&] {
        aInstallation.Run(Millis(200));
        return aInstallation.Call(0, "GET", kRoute.m_prefix + sample).State() == "completed";
      })) {
    aRecord.Add("the first job did not end");
    return kCouldNotRun;
  }
  RepeatRows(aInstallation, sample, formerJobs);
  aRecord.Add("the store has the rows of {} completed jobs", formerJobs + 1);
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
