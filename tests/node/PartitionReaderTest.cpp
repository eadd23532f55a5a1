#include "node/PartitionReader.h"

#include <set>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "tests/node/NodeFixture.h"
#include "tests/soak/RowStoreStandin.h"

using namespace mustardtray;
using namespace mustardtray::node;

namespace {

constexpr const char* kPool = "pool";
constexpr std::size_t kRows = 150;
constexpr std::size_t kRowBytes = 400;
/// The table takes longer than one call may, at this speed in bytes per second.
constexpr std::size_t kReadSpeed = 24'000;
constexpr Millis kMaxLoadTime{ 12'000 };

platform::NodeSettings MakeSettings(std::uint16_t aPort)
{
  platform::NodeSettings settings;
  settings.m_store = { "127.0.0.1", aPort };
  return settings;
}

} // namespace

// Guards against LOST: a pool had no owner while the reads of its jobs timed out and started again.
TEST_CASE("a table that takes longer than one call over a slow link is read")
{
  asio::io_context io;
  TimerService timers(io);
  soak::RowStoreStandin store(io, timers);
  NodeFixture node(io, timers, MakeSettings(store.Port()));
  PoolBatchWriter writer(node.m_context, kPool, 0, [] {});
  for (std::size_t i = 0; i < kRows; ++i) {
    store.PutWithoutHistory(kJobTable, kPool, fmt::format("{:04}", i), std::string(kRowBytes, 'x'));
  }
  store.SetReadSpeed(kReadSpeed);
  PartitionReader reader(node.m_context, kPool, writer);
  std::multiset<std::string> keys;
  bool isDone = false;
  reader.ReadTable(
    kJobTable,
    [&](std::vector<platform::Row>& aRows) {
      for (const platform::Row& row : aRows) {
        keys.insert(row.m_rowId.m_key);
      }
    },
    [&] { isDone = true; });
  for (const TimePoint end = MonotonicNow() + kMaxLoadTime; !isDone && MonotonicNow() < end;) {
    io.run_for(Millis(20));
  }
  CHECK(isDone);
  CHECK(keys.size() == kRows);
  CHECK(std::set<std::string>(keys.begin(), keys.end()).size() == kRows);
}

// Guards against LOST: after a short outage, a new owner read its pool's jobs one by one.
TEST_CASE("pages of a table grow again after reads that the store refused")
{
  constexpr std::size_t kMaxReads = 20;
  asio::io_context io;
  TimerService timers(io);
  soak::RowStoreStandin store(io, timers);
  NodeFixture node(io, timers, MakeSettings(store.Port()));
  PoolBatchWriter writer(node.m_context, kPool, 0, [] {});
  for (std::size_t i = 0; i < kRows; ++i) {
    store.PutWithoutHistory(kJobTable, kPool, fmt::format("{:04}", i), std::string(kRowBytes, 'x'));
  }
  std::size_t reads = 0;
  store.SetOnRead([&](const std::string&) { ++reads; });
  store.SetFault(soak::StoreFault::Busy);
  const TimerHandle outage =
    timers.After(Millis(1'500), [&] { store.SetFault(soak::StoreFault::None); });
  PartitionReader reader(node.m_context, kPool, writer);
  std::size_t rows = 0;
  bool isDone = false;
  reader.ReadTable(
    kJobTable,
    [&](std::vector<platform::Row>& aRows) { rows += aRows.size(); },
    [&] { isDone = true; });
  for (const TimePoint end = MonotonicNow() + kMaxLoadTime; !isDone && MonotonicNow() < end;) {
    io.run_for(Millis(20));
  }
  CHECK(isDone);
  CHECK(rows == kRows);
  CHECK(reads <= kMaxReads);
}
