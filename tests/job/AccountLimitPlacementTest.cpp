#include <doctest/doctest.h>

#include "tests/job/PoolFixture.h"

using namespace mustardtray;
using namespace mustardtray::job;

namespace {

struct AccountFixture : PoolFixture
{
  AccountFixture()
  {
    // A single shard has a basic allowance of 4 cores.
    m_pool.SetAccounts({ { "small", {}, 1.0, { 16'000, 0, 0 } } });
    m_pool.SetAccountShards(1);
    AddMinion("m1");
  }

  void Add(const std::string& aId,
           std::uint32_t aUnits,
           const std::string& aAccount,
           bool aIsGang = false)
  {
    JobRecord record = MakeJob(aId, aUnits);
    record.m_account = aAccount;
    record.m_spec.m_steps[0].m_isGang = aIsGang;
    m_pool.AddJob(record, m_now, false);
  }

  std::int64_t Used() { return m_pool.ReportAccounts(1, m_now).m_accounts["small"].m_used.m_cpu; }
};

constexpr const char* kFirst = "00000000000000a1";
constexpr const char* kSecond = "00000000000000b2";

} // namespace

// Guards against units beyond the allowance, and against units of others that wait behind them.
TEST_CASE("units beyond the allowance of their account wait, and others do not")
{
  AccountFixture fixture;
  fixture.Add(kFirst, 8, "small");
  fixture.Add(kSecond, 8, "");
  CHECK(fixture.StartAll().size() == 12);
  const AccountReport report = fixture.m_pool.ReportAccounts(1, fixture.m_now);
  CHECK(report.m_accounts.at("small").m_used.m_cpu == 4'000);
  CHECK(report.m_accounts.at("small").m_wanted.m_cpu == 8'000);
  CHECK(report.m_accounts.at("small").m_largest.m_cpu == 1'000);
  AccountGrants grants;
  grants.m_holder = 1;
  grants.m_sequence = 1;
  grants.m_owner = 1;
  grants.m_allowances["small"] = { 6'000, 0, 0 };
  fixture.m_pool.ApplyAccountGrants(grants, 1, fixture.m_now);
  CHECK(fixture.StartAll().size() == 2);
}

// Guards against a gang that starts in part or beyond the allowance.
TEST_CASE("a gang beyond the allowance waits as a whole")
{
  AccountFixture fixture;
  fixture.Add(kFirst, 5, "small", true);
  CHECK(fixture.StartAll().empty());
  CHECK(fixture.m_pool.ReportAccounts(1, fixture.m_now).m_accounts.at("small").m_largest.m_cpu ==
        5'000);
  fixture.Add(kSecond, 4, "small", true);
  CHECK(fixture.StartAll().size() == 4);
}

// Guards against use that is forgotten while a minion may still carry out a dropped start order or
// runs a unit that is being stopped.
TEST_CASE("runs that are being stopped and unanswered starts count as used")
{
  AccountFixture fixture;
  fixture.Add(kFirst, 4, "small");
  const std::vector<StartOrder> starts = fixture.Decide().m_starts;
  REQUIRE(starts.size() == 4);
  fixture.m_pool.OnStartAnswer(starts[0], OrderResult::NoAnswer, fixture.m_now);
  CHECK(fixture.Used() == 4'000);
  fixture.m_pool.CancelJob(kFirst, fixture.m_now);
  CHECK(fixture.Used() == 4'000);
  // The minion restarts without the runs; three orders without an answer may still be carried out.
  fixture.m_pool.OnStartAnswer(starts[1], OrderResult::Started, fixture.m_now);
  fixture.Report("m1", {}, {}, 2);
  CHECK(fixture.Used() >= 3'000);
}

// Guards against a successor that does not count inherited runs or starts units before it knows
// them.
TEST_CASE("a new owner counts inherited runs and has no basic allowance before it knows them")
{
  PoolFixture fixture;
  fixture.m_pool.SetAccounts({ { "small", {}, 1.0, { 16'000, 0, 0 } } });
  fixture.m_pool.SetAccountShards(1);
  JobRecord record = MakeJob(kFirst, 3);
  record.m_account = "small";
  REQUIRE(fixture.m_pool.LoadJob(record, "", fixture.m_now, fixture.m_wallNow).has_value());
  fixture.m_pool.AwaitMinion("m2", fixture.m_now + Millis(4'000));
  fixture.AddMinion("m1");
  JobRecord other = MakeJob(kSecond, 3);
  other.m_account = "small";
  fixture.m_pool.AddJob(other, fixture.m_now, false);
  CHECK(fixture.StartAll().empty());
  CHECK(fixture.m_pool.ReportAccounts(1, fixture.m_now).m_isRecovering);
  const std::string unit = UnitId{ kFirst, 0, 0, 0 }.Text();
  fixture.m_pool.UpdateMinion(MakeMinion("m2"), fixture.m_now);
  fixture.Report("m2", { { unit, 1, {}, 0, 0 } }, {});
  CHECK(fixture.StartAll().size() == 3);
  const AccountReport report = fixture.m_pool.ReportAccounts(1, fixture.m_now);
  CHECK_FALSE(report.m_isRecovering);
  CHECK(report.m_accounts.at("small").m_used.m_cpu == 4'000);
}

// Guards against jobs that are accepted and can never run.
TEST_CASE("a unit or gang beyond the limit of its account is refused with the reason")
{
  AccountFixture fixture;
  JobRecord record = MakeJob(kFirst, 17);
  record.m_account = "small";
  CHECK(fixture.m_pool.DescribeLimitError(record).empty());
  record.m_spec.m_steps[0].m_isGang = true;
  CHECK(fixture.m_pool.DescribeLimitError(record).find("gang") != std::string::npos);
  record.m_spec.m_steps[0].m_count = 16;
  CHECK(fixture.m_pool.DescribeLimitError(record).empty());
  record.m_spec.m_steps[0].m_need.m_cpu = 16'001;
  record.m_account = "";
  CHECK(fixture.m_pool.DescribeLimitError(record).empty());
}
