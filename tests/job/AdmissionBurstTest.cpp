#include "mustardtray/job/Admission.h"

#include <algorithm>
#include <vector>

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace mustardtray::job;

namespace {

struct BurstResult
{
  int m_jobs = 0;
  int m_refused = 0;
  int m_promised = 0; ///< Accepted as in time.
  int m_kept = 0;     ///< Of these, done in time.
  int m_inTime = 0;
  int m_tooLate = 0; ///< Accepted, but done after three times the objective.
};

/// Replays a burst of 4 s with five times the mean load, which is three times what the pool holds,
/// on 30 minions of 64 cores. Jobs have 8 units of 13 cores and 1 s; in time before late, by
/// arrival.
BurstResult ReplayBurst(bool aUsesNewRule)
{
  constexpr int kMinions = 30;
  constexpr int kTick = 10;
  constexpr int kUnitTime = 1'000;
  constexpr int kUnits = 8;
  constexpr int kUnitsPerMinion = 64 / 13;
  constexpr int kSlots = kMinions * kUnitsPerMinion;
  constexpr int kObjective = 1'600 + 600;
  constexpr int kInterval = 20; // 50 jobs a second need 400 slots.
  constexpr int kBurst = 4'000;
  struct ReplayedJob
  {
    int m_arrivedAt;
    bool m_isLate;
    int m_waiting = kUnits;
    int m_doneAt = 0;
  };
  std::vector<ReplayedJob> jobs;
  std::vector<int> slots(kSlots, 0); // When each is free.
  BurstResult result;
  for (int now = 0; now < 3 * kBurst; now += kTick) {
    if (now < kBurst && now % kInterval == 0) {
      ++result.m_jobs;
      AdmissionInput input;
      input.m_availableCores = kMinions * 64;
      input.m_packedCores = aUsesNewRule ? kSlots * 13 : 0;
      input.m_arrivingCores = aUsesNewRule ? kUnits * 13.0 * kUnitTime / kInterval : 0;
      input.m_criticalPath = Millis(kUnitTime);
      input.m_objective = Millis(kObjective);
      input.m_work = kUnits * 13.0 * kUnitTime;
      for (const int freeAt : slots) {
        input.m_totalWork += 13.0 * std::max(0, freeAt - now);
      }
      input.m_workAhead = input.m_totalWork;
      for (const ReplayedJob& job : jobs) {
        const double work = job.m_waiting * 13.0 * kUnitTime;
        const bool isLate = job.m_isLate || now > job.m_arrivedAt + kObjective - kUnitTime + 300;
        input.m_totalWork += work;
        input.m_workAhead += isLate ? 0 : work;
      }
      const AdmissionDecision decision = Admit(input);
      result.m_refused += decision.m_isAccepted ? 0 : 1;
      if (decision.m_isAccepted) {
        jobs.push_back({ now, decision.m_isLate });
      }
    }
    for (const bool servesLate : { false, true }) {
      for (ReplayedJob& job : jobs) {
        const bool isLate = job.m_isLate || now > job.m_arrivedAt + kObjective - kUnitTime + 300;
        for (int& freeAt : slots) {
          if (isLate == servesLate && job.m_waiting > 0 && freeAt <= now) {
            freeAt = now + kUnitTime;
            --job.m_waiting;
            job.m_doneAt = freeAt;
          }
        }
      }
    }
  }
  for (const ReplayedJob& job : jobs) {
    REQUIRE(job.m_waiting == 0);
    const int time = job.m_doneAt - job.m_arrivedAt;
    result.m_inTime += time <= kObjective ? 1 : 0;
    result.m_promised += job.m_isLate ? 0 : 1;
    result.m_kept += !job.m_isLate && time <= kObjective ? 1 : 0;
    result.m_tooLate += time > 3 * kObjective ? 1 : 0;
  }
  return result;
}

} // namespace

TEST_CASE("in a burst of wide units, jobs are accepted as in time only if the pool can do them")
{
  const BurstResult today = ReplayBurst(false);
  const BurstResult changed = ReplayBurst(true);
  for (const BurstResult& result : { today, changed }) {
    MESSAGE("jobs ",
            result.m_jobs,
            ", refused ",
            result.m_refused,
            ", accepted as in time ",
            result.m_promised,
            ", of these in time ",
            result.m_kept,
            ", all in time ",
            result.m_inTime,
            ", beyond three objectives ",
            result.m_tooLate);
  }
  CHECK(changed.m_kept * today.m_promised > today.m_kept * changed.m_promised);
  CHECK(changed.m_inTime >= today.m_inTime);
  CHECK(changed.m_kept == changed.m_promised);
  CHECK(3 * changed.m_tooLate < today.m_tooLate);
}

TEST_CASE("arrivals do not cause the refusal of a late job while the pool is idle")
{
  AdmissionInput input;
  input.m_availableCores = 1'920;
  input.m_packedCores = 1'560;
  input.m_arrivingCores = 9'000;
  input.m_criticalPath = Millis(1'000);
  input.m_objective = Millis(2'200);
  input.m_work = 104'000;
  input.m_sinceFirstAttempt = Millis(4'000);
  const AdmissionDecision decision = Admit(input);
  CHECK(decision.m_isAccepted);
  CHECK(decision.m_isLate);
}
