#include <algorithm>
#include <deque>
#include <memory>
#include <random>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "mustardtray/job/AllowanceBook.h"
#include "mustardtray/job/AllowancePlanner.h"
#include "tests/job/PoolFixture.h"

using namespace mustardtray;
using namespace mustardtray::job;

namespace {

constexpr const char* kAccount = "team";
constexpr Millis kSyncPeriod{ 200 };

std::vector<AccountSpec> Accounts(std::int64_t aCpu)
{
  return { AccountSpec{ kAccount, {}, 1.0, { aCpu, 0, 0 } } };
}

/// A shard with its owner. Units have one core each unless the test asks otherwise.
struct ShardModel
{
  std::string m_name;
  std::uint64_t m_owner = 1;
  AllowanceBook m_book;
  std::int64_t m_known = 0;  ///< CPU of the runs that the owner knows.
  std::int64_t m_hidden = 0; ///< CPU of runs on minions that the owner has not heard from.
  std::int64_t m_waiting = 0;
  std::int64_t m_unit = 1'000;

  std::int64_t Running() const { return m_known + m_hidden; }
  void Count() { m_book.SetUsed({ { kAccount, { m_known, 0, 0 } } }); }

  /// Starts as many waiting units as the book permits.
  void Start()
  {
    Count();
    const Resources need{ m_unit, 0, 0 };
    while (m_waiting >= m_unit && m_book.Permits(kAccount, need)) {
      m_book.OnStart(kAccount, need);
      m_known += m_unit;
      m_waiting -= m_unit;
    }
  }

  AccountReport Sync(const AccountGrants& aGrants)
  {
    m_book.ApplyGrants(aGrants, m_owner);
    Start();
    std::map<std::string, AccountUse> waiting;
    if (m_waiting > 0) {
      waiting[kAccount].m_wanted = { m_waiting, 0, 0 };
      waiting[kAccount].m_largest = { m_unit, 0, 0 };
    }
    return m_book.Report(m_owner, waiting);
  }

  /// The owner dies; its successor has heard from no minion yet.
  void TakeOver(const std::vector<AccountSpec>& aAccounts, std::size_t aShards)
  {
    ++m_owner;
    m_hidden += m_known;
    m_known = 0;
    m_book = AllowanceBook();
    m_book.SetAccounts(aAccounts);
    m_book.SetShards(aShards);
    m_book.SetRecovering(true);
  }

  void HearAll()
  {
    m_known += m_hidden;
    m_hidden = 0;
    m_book.SetRecovering(false);
  }
};

struct FleetModel
{
  explicit FleetModel(std::size_t aShards, std::int64_t aLimit)
    : m_limit(aLimit)
  {
    for (std::size_t i = 0; i < aShards; ++i) {
      ShardModel& shard = m_shards.emplace_back();
      shard.m_name = fmt::format("pool#{}", i);
      shard.m_book.SetAccounts(Accounts(aLimit));
      shard.m_book.SetShards(aShards);
      m_names.push_back(shard.m_name);
    }
    ReplaceHolder();
  }

  void ReplaceHolder()
  {
    m_planner = std::make_unique<AllowancePlanner>(++m_holder);
    m_planner->SetAccounts(Accounts(m_limit));
    m_planner->SetShards(m_names);
  }

  void SetLimitAtHolder(std::int64_t aLimit)
  {
    m_limit = aLimit;
    m_planner->SetAccounts(Accounts(aLimit));
  }

  void Sync(ShardModel& aShard)
  {
    m_planner->OnReport(aShard.m_name, aShard.Sync(m_planner->GrantsFor(aShard.m_name)), m_now);
  }

  /// Exchanges messages without loss. aExcept: index of a shard whose owner cannot be reached.
  void Rounds(int aRounds, std::optional<std::size_t> aExcept = {})
  {
    for (int i = 0; i < aRounds; ++i) {
      m_now += kSyncPeriod;
      m_planner->Plan(m_now);
      for (std::size_t s = 0; s < m_shards.size(); ++s) {
        if (aExcept != s) {
          Sync(m_shards[s]);
        }
      }
      CHECK(Running() <= m_maxRunning.value_or(m_limit));
    }
  }

  std::int64_t Running() const
  {
    std::int64_t running = 0;
    for (const ShardModel& shard : m_shards) {
      running += shard.Running();
    }
    return running;
  }

  TimePoint m_now{ Micros(100'000'000) };
  std::int64_t m_limit;
  std::optional<std::int64_t> m_maxRunning; ///< The limit unless set.
  std::uint64_t m_holder = 0;
  std::vector<std::string> m_names;
  std::vector<ShardModel> m_shards;
  std::unique_ptr<AllowancePlanner> m_planner;
};

} // namespace

// Guards against starts that wait for a holder after all nodes have been started.
TEST_CASE("a shard starts units up to its basic allowance without a holder")
{
  FleetModel fleet(3, 120'000);
  fleet.m_shards[0].m_waiting = 50'000;
  fleet.m_shards[0].Start();
  CHECK(fleet.m_shards[0].m_known == 10'000);
}

// Guards against a limit that is divided rigidly: a single busy shard must get nearly all of it.
TEST_CASE("the limit follows the demand from shard to shard")
{
  FleetModel fleet(4, 160'000);
  fleet.m_shards[0].m_waiting = 500'000;
  fleet.Rounds(5);
  CHECK(fleet.m_shards[0].m_known == 130'000); // All but the basic allowances of the others.
  fleet.m_shards[0].m_waiting = 0;
  fleet.m_shards[0].m_known = 0;
  fleet.m_shards[2].m_waiting = 500'000;
  fleet.Rounds(5);
  CHECK(fleet.m_shards[2].m_known == 130'000);
}

// Guards against shares that are smaller than a unit, with which nothing would ever start.
TEST_CASE("shards that all want a unit of more than half the limit take turns")
{
  FleetModel fleet(4, 20'000);
  std::vector<int> starts(4, 0);
  for (ShardModel& shard : fleet.m_shards) {
    shard.m_unit = 19'000;
    shard.m_waiting = 100 * shard.m_unit;
  }
  for (int i = 0; i < 200; ++i) {
    fleet.Rounds(1);
    for (std::size_t s = 0; s < 4; ++s) {
      starts[s] += fleet.m_shards[s].m_known > 0 && i % 10 == 0 ? 1 : 0;
      fleet.m_shards[s].m_known = i % 10 == 0 ? 0 : fleet.m_shards[s].m_known;
    }
  }
  CHECK(*std::min_element(starts.begin(), starts.end()) >= 2);
}

// Failure 1: the allowance of a dead owner must not be granted to others before the next one has
// reported, and not while minions that it has not heard from may run its units.
TEST_CASE("an owner dies between the grant and its use")
{
  FleetModel fleet(3, 120'000);
  fleet.m_shards[0].m_waiting = 500'000;
  fleet.Rounds(1);
  fleet.m_now += kSyncPeriod;
  fleet.m_planner->Plan(fleet.m_now);
  const AccountGrants lost = fleet.m_planner->GrantsFor(fleet.m_shards[0].m_name);
  REQUIRE(lost.m_allowances.at(kAccount).m_cpu == 100'000);
  // The owner applies the grant and starts units; its report and itself are lost.
  fleet.m_shards[0].Sync(lost);
  REQUIRE(fleet.m_shards[0].m_known == 100'000);
  fleet.m_shards[0].TakeOver(Accounts(120'000), 3);
  fleet.m_shards[1].m_waiting = 500'000;
  fleet.Rounds(30, 0);
  CHECK(fleet.m_shards[1].m_known <= 10'000);
  fleet.m_shards[0].m_waiting = 500'000;
  fleet.Rounds(10); // The successor reports, but recovers.
  CHECK(fleet.Running() <= 120'000);
  fleet.m_shards[0].m_hidden = 40'000; // Most units have ended meanwhile.
  fleet.m_shards[0].HearAll();
  fleet.m_shards[0].m_waiting = 0;
  fleet.Rounds(5);
  CHECK(fleet.m_shards[1].m_known == 70'000);
}

// Failure 2: grants for a former owner must not count for its successor, and a late report of the
// former one must not reduce what is charged.
TEST_CASE("a partitioned owner continues while its successor reports")
{
  FleetModel fleet(3, 120'000);
  fleet.m_shards[0].m_waiting = 60'000;
  fleet.Rounds(5);
  ShardModel former = fleet.m_shards[0];
  const AccountReport late = former.Sync(fleet.m_planner->GrantsFor(former.m_name));
  fleet.m_shards[0].TakeOver(Accounts(120'000), 3);
  // What was planned for the former owner reaches the successor.
  AccountGrants grants = fleet.m_planner->GrantsFor(former.m_name);
  grants.m_allowances[kAccount] = { 100'000, 0, 0 };
  fleet.m_shards[0].m_waiting = 500'000;
  fleet.m_planner->OnReport(former.m_name, fleet.m_shards[0].Sync(grants), fleet.m_now);
  CHECK(fleet.m_shards[0].m_known == 0);
  former.m_known = 0;
  fleet.m_planner->OnReport(former.m_name, late, fleet.m_now);
  CHECK(fleet.m_planner->Charged(kAccount).m_cpu >= 60'000);
  fleet.m_shards[1].m_waiting = 500'000;
  fleet.Rounds(10);
}

// Failure 3: a holder without state must not grant what a shard that it has not heard of may use.
TEST_CASE("the holder dies and the new one has no state")
{
  FleetModel fleet(3, 120'000);
  fleet.m_shards[0].m_waiting = 500'000;
  fleet.Rounds(5);
  REQUIRE(fleet.m_shards[0].m_known == 100'000);
  const AccountGrants late = fleet.m_planner->GrantsFor(fleet.m_names[1]);
  fleet.ReplaceHolder();
  fleet.m_shards[1].m_waiting = 500'000;
  fleet.Rounds(10, 0);
  CHECK(fleet.m_planner->UnknownShards() == 1);
  CHECK(fleet.m_shards[1].m_known == 10'000);
  // The owner keeps its allowance while there is no holder, also for units that start later.
  fleet.m_shards[0].m_known = 0;
  fleet.m_shards[0].Start();
  CHECK(fleet.m_shards[0].m_known == 100'000);
  // A message of the former holder has no effect any more.
  AccountGrants forged = late;
  forged.m_sequence += 100;
  forged.m_allowances[kAccount] = { 90'000, 0, 0 };
  fleet.m_shards[1].Sync(forged);
  CHECK(fleet.m_shards[1].m_known == 10'000);
  // An owner that recovers under a holder without state may have inherited anything.
  fleet.m_shards[0].TakeOver(Accounts(120'000), 3);
  fleet.Rounds(10);
  CHECK(fleet.m_planner->UnknownShards() == 1);
  fleet.m_shards[0].HearAll();
  fleet.m_shards[0].m_known = 0;
  fleet.m_shards[0].m_waiting = 0;
  fleet.Rounds(10);
  CHECK(fleet.m_shards[1].m_known == 100'000);
}

// Failure 4: owners that do not know the lower limit yet must not start more than the holder's.
TEST_CASE("a limit is lowered while the store is down")
{
  FleetModel fleet(3, 120'000);
  for (ShardModel& shard : fleet.m_shards) {
    shard.m_waiting = 500'000;
  }
  fleet.Rounds(10);
  REQUIRE(fleet.Running() == 120'000);
  fleet.m_maxRunning = 120'000;
  fleet.SetLimitAtHolder(60'000);
  fleet.Rounds(10);
  CHECK(fleet.Running() == 120'000); // Nothing that runs is stopped.
  for (int i = 0; i < 40; ++i) {
    const std::int64_t before = fleet.Running();
    ShardModel& shard = fleet.m_shards[static_cast<std::size_t>(i) % 3];
    shard.m_known -= shard.m_known > 0 ? 2'000 : 0;
    fleet.Rounds(2);
    CHECK(fleet.Running() <= std::max<std::int64_t>(before, 60'000));
  }
  CHECK(fleet.Running() <= 60'000);
}

// Failure 5: while one of two configurations reaches the owners, the highest limit counts; after
// that the last one does.
TEST_CASE("two configurations arrive within a second")
{
  FleetModel fleet(3, 120'000);
  for (ShardModel& shard : fleet.m_shards) {
    shard.m_waiting = 500'000;
  }
  fleet.Rounds(5);
  fleet.m_maxRunning = 240'000;
  fleet.SetLimitAtHolder(240'000);
  fleet.m_shards[0].m_book.SetAccounts(Accounts(240'000));
  fleet.Rounds(2);
  fleet.SetLimitAtHolder(60'000);
  fleet.m_shards[1].m_book.SetAccounts(Accounts(60'000));
  fleet.Rounds(2);
  for (ShardModel& shard : fleet.m_shards) {
    shard.m_book.SetAccounts(Accounts(60'000));
  }
  fleet.Rounds(5);
  for (ShardModel& shard : fleet.m_shards) {
    shard.m_known = 0;
  }
  fleet.m_maxRunning = 60'000;
  fleet.Rounds(10);
  CHECK(fleet.Running() == 60'000);
}

// Guards against orders of events that nobody thought of: messages are lost, late and repeated,
// owners and holders die, units end, and the demand moves.
TEST_CASE("no order of lost, late and repeated messages exceeds a limit")
{
  constexpr std::int64_t kLimit = 100'000;
  constexpr std::size_t kShards = 4;
  std::int64_t highest = 0;
  for (std::uint32_t seed = 0; seed < 150; ++seed) {
    std::mt19937 random(seed);
    const auto chance = [&](int aPercent) { return static_cast<int>(random() % 100) < aPercent; };
    FleetModel fleet(kShards, kLimit);
    std::deque<std::pair<std::size_t, AccountGrants>> grants;
    std::deque<std::pair<std::size_t, AccountReport>> reports;
    for (int step = 0; step < 1'500; ++step) {
      fleet.m_now += Millis(20);
      if (step % 10 == 0) {
        fleet.m_planner->Plan(fleet.m_now);
        for (std::size_t s = 0; s < kShards; ++s) {
          grants.emplace_back(s, fleet.m_planner->GrantsFor(fleet.m_names[s]));
        }
      }
      // Any message in flight may be the next one.
      if (!grants.empty() && chance(60)) {
        const std::size_t i = chance(80) ? 0 : random() % grants.size();
        const auto message = grants[i];
        if (!chance(10)) {
          grants.erase(grants.begin() + static_cast<std::ptrdiff_t>(i));
        }
        if (!chance(15)) {
          reports.emplace_back(message.first, fleet.m_shards[message.first].Sync(message.second));
        }
      }
      if (!reports.empty() && chance(60)) {
        const std::size_t i = chance(80) ? 0 : random() % reports.size();
        const auto message = reports[i];
        if (!chance(10)) {
          reports.erase(reports.begin() + static_cast<std::ptrdiff_t>(i));
        }
        if (!chance(15)) {
          fleet.m_planner->OnReport(fleet.m_names[message.first], message.second, fleet.m_now);
        }
      }
      ShardModel& shard = fleet.m_shards[random() % kShards];
      if (chance(10)) {
        shard.m_waiting = chance(50) ? 0 : 200'000;
      }
      shard.m_known -= chance(40) ? std::min<std::int64_t>(shard.m_known, 5'000) : 0;
      shard.Start();
      if (chance(1)) {
        shard.TakeOver(Accounts(kLimit), kShards);
      } else if (shard.m_hidden > 0 || chance(20)) {
        // Minions answer one after the other.
        const std::int64_t heard =
          chance(30) ? shard.m_hidden : std::min<std::int64_t>(shard.m_hidden, 3'000);
        shard.m_hidden -= heard;
        shard.m_known += heard;
        if (shard.m_hidden == 0) {
          shard.HearAll();
        }
      }
      if (step % 400 == 399) {
        fleet.ReplaceHolder();
      }
      highest = std::max(highest, fleet.Running());
      REQUIRE_MESSAGE(fleet.Running() <= kLimit, "seed ", seed, " step ", step);
    }
  }
  CHECK(highest > kLimit * 9 / 10); // The limit is used, too.
}

// Guards against messages that grow with the accounts that have nothing to report.
TEST_CASE("messages about 20 busy accounts in 9 shards stay short and survive encoding")
{
  std::vector<AccountSpec> accounts;
  std::vector<std::string> shards;
  for (int i = 0; i < 790; ++i) {
    accounts.push_back({ fmt::format("cugo{}", 100 + i), {}, 1.0, { 21'699'458, 22'742'285, 0 } });
  }
  for (int i = 0; i < 9; ++i) {
    shards.push_back(fmt::format("pool#{}", i));
  }
  AllowancePlanner planner(12'345'678);
  planner.SetAccounts(accounts);
  planner.SetShards(shards);
  std::vector<AllowanceBook> books(9);
  std::size_t longestReport = 0;
  std::size_t longestGrants = 0;
  for (int round = 0; round < 5; ++round) {
    planner.Plan(TimePoint{ Micros(1'000'000 + 200'000 * round) });
    for (std::size_t s = 0; s < 9; ++s) {
      books[s].SetAccounts(accounts);
      books[s].SetShards(9);
      std::map<std::string, AccountUse> waiting;
      std::map<std::string, Resources> used;
      for (int i = 0; i < 20; ++i) {
        used[accounts[i].m_name] = { 1'234'567, 2'345'678, 0 };
        waiting[accounts[i].m_name] = {
          {}, {}, { 1'234'567, 345'678, 0 }, { 13'000, 4'096, 0 }, 3.25
        };
      }
      books[s].SetUsed(used);
      nlohmann::json request = nlohmann::json::object();
      AddAccounts(request, planner.GrantsFor(shards[s]));
      longestGrants = std::max(longestGrants, request.dump().size());
      books[s].ApplyGrants(AccountGrantsOf(request), 7);
      nlohmann::json response = nlohmann::json::object();
      AddAccounts(response, books[s].Report(7, waiting));
      longestReport = std::max(longestReport, response.dump().size());
      planner.OnReport(shards[s], AccountReportOf(response), TimePoint{ Micros(1'000'000) });
    }
  }
  MESSAGE("longest report ", longestReport, " bytes, longest grants ", longestGrants, " bytes");
  CHECK(longestReport < 3'000);
  CHECK(longestGrants < 2'000);
  CHECK(planner.GrantsFor(shards[0]).m_arrivals.at("cugo100") == doctest::Approx(9 * 3.25));
}
