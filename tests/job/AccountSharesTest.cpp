/// Replays bursts of several accounts on one shard, with and without rates and shares.

#include <algorithm>
#include <map>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "tests/job/PoolFixture.h"

using namespace mustardtray;
using namespace mustardtray::job;

namespace {

constexpr Millis kTick{ 50 };
constexpr Millis kRunTime{ 1'000 };
constexpr std::int64_t kUnitCpu = 10'000;

struct Traffic
{
  std::string m_account;
  double m_weight = 1;
  double m_jobsPerSecond = 1;
  Millis m_from{ 0 };
  std::uint32_t m_units = 8;
};

struct Outcome
{
  int m_submitted = 0;
  int m_refused = 0;
  int m_onTime = 0;
  Millis m_totalTime{ 0 }; ///< Of the completed jobs, from their submission.
  int m_completed = 0;

  double OnTimePart() const { return static_cast<double>(m_onTime) / m_submitted; }
  Millis MeanTime() const { return m_totalTime / std::max(m_completed, 1); }
};

/// A shard whose minions run 48 units at once, each for a second.
class Replay : public PoolFixture
{
public:
  Replay(std::vector<Traffic> aTraffic, bool aUsesAccounts)
    : m_traffic(std::move(aTraffic))
  {
    PoolPolicy policy;
    policy.m_accountRates.m_burst = 2;
    m_pool = PoolScheduler(policy, m_now);
    for (int i = 0; i < 8; ++i) {
      AddMinion(fmt::format("m{}", i), 64'000);
    }
    std::vector<AccountSpec> accounts;
    for (const Traffic& traffic : m_traffic) {
      accounts.push_back({ traffic.m_account, {}, traffic.m_weight, {} });
    }
    if (aUsesAccounts) {
      m_pool.SetAccounts(accounts);
    }
  }

  std::map<std::string, Outcome> Run(Millis aTime)
  {
    std::vector<double> due(m_traffic.size(), 0.0);
    for (Millis time{ 0 }; time < aTime; time += kTick) {
      for (std::size_t i = 0; i < m_traffic.size(); ++i) {
        const double tick = static_cast<double>(kTick.count()) / 1'000.0;
        due[i] += time >= m_traffic[i].m_from ? m_traffic[i].m_jobsPerSecond * tick : 0;
        for (; due[i] >= 1; due[i] -= 1) {
          Submit(m_traffic[i]);
        }
      }
      ReportRuns();
      for (const StartOrder& order : StartAll()) {
        m_running[order.m_minion].emplace_back(order, m_now);
      }
      Advance(kTick);
    }
    return m_outcomes;
  }

private:
  /// As PoolOwner::Submit() does.
  void Submit(const Traffic& aTraffic)
  {
    JobRecord record = MakeJob(fmt::format("job{}", ++m_jobs), aTraffic.m_units, kUnitCpu);
    record.m_account = aTraffic.m_account;
    Outcome& outcome = m_outcomes[aTraffic.m_account];
    ++outcome.m_submitted;
    m_pool.OnFirstAttempt(record, m_now);
    const bool isExcess = !m_pool.ChargeRate(record, m_now);
    const bool isRefused = isExcess && m_pool.RefuseExcess(record, m_now);
    const AdmissionDecision decision = m_pool.EvaluateAdmission(record, Millis(0), m_now);
    if (isRefused || !decision.m_isAccepted) {
      ++outcome.m_refused;
      return;
    }
    m_submittedAt[record.m_id] = { aTraffic.m_account, m_now };
    m_pool.AddJob(record, m_now, decision.m_isLate, isExcess);
  }

  void ReportRuns()
  {
    for (const auto& [id, minion] : m_pool.Minions()) {
      std::vector<ListedRun> listed;
      std::vector<ListedEnd> ended;
      std::erase_if(m_running[id], [&](const auto& aRun) {
        const auto& [order, startedAt] = aRun;
        if (m_now - startedAt >= kRunTime) {
          ended.push_back(End(order, RunOutcome::Done));
          return true;
        }
        ListedRun run;
        run.m_unit = order.m_unit;
        run.m_run = order.m_run;
        listed.push_back(run);
        return false;
      });
      Report(id, listed, ended);
    }
    for (auto entry = m_submittedAt.begin(); entry != m_submittedAt.end();) {
      const auto& [account, at] = entry->second;
      if (!m_pool.FindJob(entry->first)->HasEnded()) {
        ++entry;
        continue;
      }
      const Millis time = std::chrono::duration_cast<Millis>(m_now - at);
      Outcome& outcome = m_outcomes[account];
      ++outcome.m_completed;
      outcome.m_totalTime += time;
      outcome.m_onTime += time <= Millis(2'200) ? 1 : 0;
      entry = m_submittedAt.erase(entry);
    }
  }

  std::vector<Traffic> m_traffic;
  std::map<std::string, std::vector<std::pair<StartOrder, TimePoint>>> m_running;
  std::map<std::string, std::pair<std::string, TimePoint>> m_submittedAt;
  std::map<std::string, Outcome> m_outcomes;
  int m_jobs = 0;
};

Outcome SumOfOthers(const std::map<std::string, Outcome>& aOutcomes, const std::string& aExcept)
{
  Outcome sum;
  for (const auto& [account, outcome] : aOutcomes) {
    if (account != aExcept) {
      sum.m_submitted += outcome.m_submitted;
      sum.m_refused += outcome.m_refused;
      sum.m_onTime += outcome.m_onTime;
      sum.m_totalTime += outcome.m_totalTime;
      sum.m_completed += outcome.m_completed;
    }
  }
  return sum;
}

void Print(const std::string& aName, const Outcome& aOutcome)
{
  MESSAGE(aName,
          ": submitted ",
          aOutcome.m_submitted,
          ", refused ",
          aOutcome.m_refused,
          ", on time ",
          aOutcome.m_onTime,
          ", mean ms ",
          aOutcome.MeanTime().count());
}

} // namespace

/// Guards against an account that takes the capacity of the others by submitting more.
TEST_CASE("an account at eight times its rate does not keep the others from their shares")
{
  std::vector<Traffic> traffic{ { "loud", 1.5, 12.0 } };
  for (int i = 0; i < 3; ++i) {
    traffic.push_back({ fmt::format("a{}", i), 1.5, 1.2 });
  }
  const auto without = Replay(traffic, false).Run(Millis(20'000));
  const auto with = Replay(traffic, true).Run(Millis(20'000));
  const Outcome othersWithout = SumOfOthers(without, "loud");
  const Outcome othersWith = SumOfOthers(with, "loud");
  Print("others without", othersWithout);
  Print("others with", othersWith);
  Print("loud without", without.at("loud"));
  Print("loud with", with.at("loud"));
  CHECK(othersWith.OnTimePart() >= 0.85);
  CHECK(othersWith.OnTimePart() >= 1.5 * othersWithout.OnTimePart());
  CHECK(othersWith.MeanTime() <= othersWithout.MeanTime());
  // The account still gets its own rate: 1.5 jobs a second.
  CHECK(with.at("loud").m_onTime >= 20);
}

/// Guards against small accounts that starve behind a large one, and against a large account that
/// starves beside many small ones.
TEST_CASE("one large account and fifty small ones both get their rates")
{
  std::vector<Traffic> traffic{ { "large", 3.0, 8.0 } };
  for (int i = 0; i < 50; ++i) {
    traffic.push_back({ fmt::format("s{:02}", i), 0.06, 0.06, Millis(i * 200) });
  }
  const auto without = Replay(traffic, false).Run(Millis(30'000));
  const auto with = Replay(traffic, true).Run(Millis(30'000));
  Print("small without", SumOfOthers(without, "large"));
  Print("small with", SumOfOthers(with, "large"));
  Print("large without", without.at("large"));
  Print("large with", with.at("large"));
  const Outcome small = SumOfOthers(with, "large");
  CHECK(small.m_refused == 0);
  CHECK(small.OnTimePart() >= 0.9);
  CHECK(small.OnTimePart() >= 1.5 * SumOfOthers(without, "large").OnTimePart());
  CHECK(with.at("large").m_onTime >= 90); // Its rate is 3 jobs a second.
}

TEST_CASE("while all units fit, an account beyond its rate is served like any other")
{
  const auto outcomes = Replay({ { "loud", 0.1, 3.0 }, { "a", 1, 1.0 } }, true).Run(Millis(20'000));
  CHECK(outcomes.at("loud").m_refused == 0);
  CHECK(outcomes.at("loud").OnTimePart() > 0.9);
}

/// Guards against credit: an account that comes back gets its share and not more.
TEST_CASE("an account that was idle gets no more than its share when it comes back")
{
  const auto outcomes =
    Replay({ { "steady", 3, 3.0 }, { "idle", 3, 9.0, Millis(15'000) } }, true).Run(Millis(25'000));
  Print("steady", outcomes.at("steady"));
  Print("idle", outcomes.at("idle"));
  CHECK(outcomes.at("steady").OnTimePart() >= 0.85);
  CHECK(outcomes.at("idle").m_onTime >= 20);
}

TEST_CASE("an account with weight 0 is served when the others have nothing to start")
{
  const auto outcomes = Replay({ { "zero", 0, 2.0 }, { "a", 5, 2.0 } }, true).Run(Millis(10'000));
  CHECK(outcomes.at("zero").m_onTime > 0);
}

TEST_CASE("AccountRates charges the owner's part of the fleet-wide rate")
{
  const auto countCharged = [](AccountRates& aRates, TimePoint aFrom) {
    int charged = 0;
    for (int i = 0; i < 100; ++i) {
      const TimePoint now = aFrom + i * Millis(50);
      aRates.OnArrival("a", now);
      charged += aRates.Charge("a", now) ? 1 : 0;
    }
    return charged;
  };
  const TimePoint start{ Micros(100'000'000) };
  AccountRates alone({ Millis(5'000), 0 });
  alone.SetAccounts({ { "a", {}, 10.0, {} } });
  CHECK(countCharged(alone, start) == 50);
  CHECK(alone.RetryAfter("a", start + Millis(5'000)) >= Millis(4'000));
  AccountRates oneOfTwo({ Millis(5'000), 0 });
  oneOfTwo.SetAccounts({ { "a", {}, 10.0, {} } });
  countCharged(oneOfTwo, start);
  const TimePoint later = start + Millis(5'000);
  oneOfTwo.SetFleetRates({ { "a", 40.0 } }, later);
  CHECK(oneOfTwo.ArrivalsPerSecond(later).at("a") == doctest::Approx(20).epsilon(0.02));
  // Half of the arrivals are at the other owner, and so is half of the entitlement; without an
  // update for 2 s the whole entitlement is used here again.
  const int charged = countCharged(oneOfTwo, later);
  CHECK(charged >= 25);
  CHECK(charged <= 50);
  AccountRates unknown;
  CHECK(unknown.Charge("unlisted", start));
}
