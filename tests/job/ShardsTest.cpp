#include "mustardtray/job/Shards.h"

#include <set>

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace mustardtray;
using namespace mustardtray::job;

namespace {

std::vector<Machine> MakeMachines(std::size_t aCount, const std::string& aKind, std::int64_t aCpu)
{
  std::vector<Machine> machines(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    machines[i].m_name = fmt::format("{}-{}-{}", aKind, aCpu, i);
    machines[i].m_labels = { aKind, fmt::format("rack-{}", i % 8) };
    machines[i].m_capacity = { aCpu, 1'000, 0 };
  }
  return machines;
}

PoolDivision Divide(const std::vector<Machine>& aMachines)
{
  std::vector<const Machine*> machines;
  for (const Machine& machine : aMachines) {
    machines.push_back(&machine);
  }
  return DividePool(machines);
}

} // namespace

/// Guards against steps that must be spread over machines of a kind, of which each shard has some
/// and none has enough.
TEST_CASE("machines of a rare kind or size are together in one shard")
{
  std::vector<Machine> machines = MakeMachines(90, "a", 16'000);
  for (const Machine& machine : MakeMachines(6, "b", 16'000)) {
    machines.push_back(machine);
  }
  for (const Machine& machine : MakeMachines(5, "a", 64'000)) {
    machines.push_back(machine);
  }
  ShardMap shards;
  shards.Set("pool", DecodePoolDivision("pool", EncodePoolDivision(Divide(machines))).value());
  CHECK(shards.Count("pool") == 3);
  std::set<std::string> ofKind;
  std::set<std::string> ofSize;
  std::set<std::string> ofOthers;
  for (const Machine& machine : machines) {
    auto& found = machine.m_labels[0] == "b"           ? ofKind
                  : machine.m_capacity.m_cpu == 64'000 ? ofSize
                                                       : ofOthers;
    found.insert(shards.Of("pool", machine.m_name));
  }
  CHECK(ofKind.size() == 1);
  CHECK(ofSize.size() == 1);
  CHECK(ofOthers.size() == 3);
}

TEST_CASE("machines of a common kind are divided by their names alone")
{
  CHECK(Divide(MakeMachines(20, "a", 1'000)).m_shards == 1);
  CHECK(EncodePoolDivision(Divide(MakeMachines(95, "a", 1'000))) == "3");
  std::vector<Machine> machines = MakeMachines(40, "a", 1'000);
  for (const Machine& machine : MakeMachines(40, "b", 1'000)) {
    machines.push_back(machine);
  }
  CHECK(EncodePoolDivision(Divide(machines)) == "2");
}

TEST_CASE("a stored division is read as earlier releases wrote it, and not when it is damaged")
{
  CHECK(DecodePoolDivision("pool", "4").value().m_shards == 4);
  CHECK_FALSE(DecodePoolDivision("pool", ""));
  CHECK_FALSE(DecodePoolDivision("pool", "0"));
  CHECK_FALSE(DecodePoolDivision("pool", "2 {"));
  CHECK_FALSE(DecodePoolDivision("pool", R"(2 {"m":2})"));
}
