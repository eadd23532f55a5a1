#include "mustardtray/request/KeyTable.h"

#include <doctest/doctest.h>

using namespace mustardtray;

namespace {

constexpr WallTime kNow(Millis(1'800'000'000'000));

/// Creates a snapshot in which this node owns every partition at epoch 1.
std::shared_ptr<KeyOwnership> MakeFullOwnership(std::uint64_t aSequence, WallTime aFloor)
{
  auto ownership = std::make_shared<KeyOwnership>();
  ownership->m_sequence = aSequence;
  for (KeyPartitionView& view : ownership->m_partitions) {
    view.m_record = { { "entry-1", 1 }, 1, aFloor };
    view.m_role = KeyPartitionRole::Accepting;
  }
  return ownership;
}

KeyTable MakeTable(KeyTableOptions aOptions = {}, WallTime aFloor = {})
{
  KeyTable table(aOptions);
  table.Apply(MakeFullOwnership(1, aFloor));
  return table;
}

IdempotencyKey MakeKey(WallTime aMinted, std::uint64_t aNumber = 0)
{
  return MintIdempotencyKey(aMinted, 0, aNumber);
}

std::shared_ptr<const HttpResponse> MakeResponse(std::size_t aBytes)
{
  return std::make_shared<HttpResponse>(HttpResponse{ 201, {}, std::string(aBytes, 'x') });
}

void CheckClaim(const KeyClaim& aClaim, KeyDecision aDecision, KeyReason aReason)
{
  CHECK(ToName(aClaim.m_decision) == ToName(aDecision));
  CHECK(ToName(aClaim.m_reason) == ToName(aReason));
}

} // namespace

TEST_CASE("KeyTable runs a key once and gives repeated requests the same response")
{
  KeyTable table = MakeTable();
  const IdempotencyKey key = MakeKey(kNow);
  CheckClaim(table.Claim(kNow, key, 7, 1), KeyDecision::Run, KeyReason::None);
  CheckClaim(table.Claim(kNow, key, 7, 2), KeyDecision::Join, KeyReason::None);
  CheckClaim(table.Claim(kNow, key, 8, 3), KeyDecision::Mismatch, KeyReason::None);
  const auto response = MakeResponse(5);
  CHECK(table.OnResponse(kNow, key, response) == std::vector<KeyWaiter>{ 2 });
  const KeyClaim claim = table.Claim(kNow, key, 7, 4);
  CheckClaim(claim, KeyDecision::Answer, KeyReason::None);
  CHECK(claim.m_response == response);
  CHECK(table.OnNotRun(key).empty());
  CheckClaim(table.Claim(kNow, key, 7, 5), KeyDecision::Answer, KeyReason::None);
}

TEST_CASE("KeyTable runs a key again only if the earlier attempt did not run")
{
  KeyTable table = MakeTable();
  const IdempotencyKey key = MakeKey(kNow);
  table.Claim(kNow, key, 7, 1);
  table.Claim(kNow, key, 7, 2);
  CHECK(table.OnNotRun(key) == std::vector<KeyWaiter>{ 2 });
  CheckClaim(table.Claim(kNow, key, 7, 3), KeyDecision::Run, KeyReason::None);
  table.OnUnknown(key);
  CheckClaim(table.Claim(kNow, key, 7, 4), KeyDecision::Unknown, KeyReason::LostAnswer);
}

TEST_CASE("KeyTable distinguishes unknown from not run by the mint time")
{
  KeyTableOptions options;
  KeyTable table = MakeTable(options, kNow);
  CheckClaim(table.Claim(kNow, MakeKey(kNow - Millis(1)), 7, 1),
             KeyDecision::Unknown,
             KeyReason::MintedBeforeOwnerChange);
  CheckClaim(table.Claim(kNow, MakeKey(kNow), 7, 1), KeyDecision::Run, KeyReason::None);
  const WallTime newest = kNow + options.m_bounds.m_futureAllowance;
  CheckClaim(table.Claim(kNow, MakeKey(newest), 7, 1), KeyDecision::Run, KeyReason::None);
  CheckClaim(table.Claim(kNow, MakeKey(newest + Millis(1)), 7, 1),
             KeyDecision::NotRun,
             KeyReason::MintedInFuture);
}

TEST_CASE("KeyTable never runs a key that it may have removed, even if the clock goes back")
{
  KeyTableOptions options;
  KeyTable table = MakeTable(options);
  const IdempotencyKey key = MakeKey(kNow);
  table.Claim(kNow, key, 7, 1);
  table.OnResponse(kNow, key, MakeResponse(5));
  table.Expire(kNow + options.m_retention);
  CHECK(table.KeyCount() == 1);
  table.Expire(kNow + options.m_retention + Millis(1));
  CHECK(table.KeyCount() == 0);
  CHECK(table.MemoryBytes() == 0);
  CheckClaim(table.Claim(kNow, key, 7, 2), KeyDecision::Unknown, KeyReason::KeyTooOld);
}

TEST_CASE("KeyTable keeps a running key beyond the retention time")
{
  KeyTableOptions options;
  KeyTable table = MakeTable(options);
  const IdempotencyKey key = MakeKey(kNow);
  table.Claim(kNow, key, 7, 1);
  table.Expire(kNow + 2 * options.m_retention);
  CheckClaim(table.Claim(kNow, key, 7, 2), KeyDecision::Join, KeyReason::None);
}

TEST_CASE("KeyTable runs no key of a partition that the node does not own")
{
  KeyTable table;
  CheckClaim(table.Claim(kNow, MakeKey(kNow), 7, 1), KeyDecision::Unknown, KeyReason::NotOwner);
  table = MakeTable();
  CheckClaim(
    table.Claim(kNow, MakeKey(kNow), 7, 1, 0), KeyDecision::Unknown, KeyReason::EpochMismatch);
  // A sender that knows a newer epoch proves that this node is no longer the owner.
  CheckClaim(table.Claim(kNow, MakeKey(kNow), 7, 1, 2), KeyDecision::Unknown, KeyReason::NotOwner);
  CheckClaim(table.Claim(kNow, MakeKey(kNow), 7, 1), KeyDecision::Unknown, KeyReason::NotOwner);
}

TEST_CASE("KeyTable reports a stopped partition once, after its last running key")
{
  KeyTable table = MakeTable();
  const IdempotencyKey key = MakeKey(kNow);
  const std::size_t partition = PartitionOfHash(key.Hash());
  table.Claim(kNow, key, 7, 1);
  auto stopping = MakeFullOwnership(2, {});
  stopping->m_partitions[partition].m_role = KeyPartitionRole::Stopping;
  table.Apply(stopping);
  CHECK(table.TakeStoppedPartitions().empty());
  table.Apply(MakeFullOwnership(1, {}));
  CheckClaim(table.Claim(kNow, key, 7, 2), KeyDecision::Join, KeyReason::None);
  table.OnResponse(kNow, key, MakeResponse(5));
  const auto stopped = table.TakeStoppedPartitions();
  REQUIRE(stopped.size() == 1);
  CHECK(stopped[0].m_partition == partition);
  CHECK(stopped[0].m_newestMint == kNow);
  CHECK(table.TakeStoppedPartitions().empty());
}

TEST_CASE("KeyTable refuses new keys if only running keys fill its memory budget")
{
  KeyTableOptions options;
  options.m_maxBytes = 64u << 10;
  options.m_maxResponseBytes = 16u << 10;
  KeyTable table = MakeTable(options);
  std::uint64_t number = 0;
  KeyClaim claim = table.Claim(kNow, MakeKey(kNow, number), 7, 1);
  while (claim.m_decision == KeyDecision::Run) {
    claim = table.Claim(kNow, MakeKey(kNow, ++number), 7, 1);
  }
  CheckClaim(claim, KeyDecision::NotRun, KeyReason::KeyTableFull);
  for (std::uint64_t i = 0; i < number; ++i) {
    CheckClaim(table.Claim(kNow, MakeKey(kNow, i), 7, 2), KeyDecision::Join, KeyReason::None);
    table.OnResponse(kNow, MakeKey(kNow, i), MakeResponse(10u << 10));
    CHECK(table.MemoryBytes() <= options.m_maxBytes);
  }
  // Completed keys beyond the minimum retention are removed; they are then refused, not run again.
  const WallTime later = kNow + options.m_minRetention + Millis(1);
  CheckClaim(table.Claim(later, MakeKey(later), 7, 1), KeyDecision::Run, KeyReason::None);
  CheckClaim(
    table.Claim(later, MakeKey(kNow, 0), 7, 3), KeyDecision::Unknown, KeyReason::KeyTooOld);
}

TEST_CASE("KeyTable evicts old responses before it removes keys")
{
  KeyTableOptions options;
  options.m_maxBytes = 64u << 10;
  KeyTable table = MakeTable(options);
  for (std::uint64_t i = 0; i < 100; ++i) {
    const IdempotencyKey key = MakeKey(kNow + Millis(i));
    CheckClaim(table.Claim(kNow, key, 7, 1), KeyDecision::Run, KeyReason::None);
    table.OnResponse(kNow, key, MakeResponse(4u << 10));
    CHECK(table.MemoryBytes() <= options.m_maxBytes);
  }
  CHECK(table.KeyCount() == 100);
  CheckClaim(
    table.Claim(kNow, MakeKey(kNow), 7, 1), KeyDecision::Unknown, KeyReason::AnswerNotKept);
  CheckClaim(
    table.Claim(kNow, MakeKey(kNow + Millis(99)), 7, 1), KeyDecision::Answer, KeyReason::None);
}

TEST_CASE("KeyTable limits the waiters of a key and removes them on request")
{
  KeyTableOptions options;
  options.m_maxWaiters = 1;
  KeyTable table = MakeTable(options);
  const IdempotencyKey key = MakeKey(kNow);
  table.Claim(kNow, key, 7, 1);
  CheckClaim(table.Claim(kNow, key, 7, 2), KeyDecision::Join, KeyReason::None);
  CheckClaim(table.Claim(kNow, key, 7, 3), KeyDecision::Unknown, KeyReason::TooManyWaiters);
  table.RemoveWaiter(key, 2);
  CheckClaim(table.Claim(kNow, key, 7, 3), KeyDecision::Join, KeyReason::None);
  CHECK(table.OnUnknown(key) == std::vector<KeyWaiter>{ 3 });
}
