#include "mustardtray/request/KeyTable.h"

#include <doctest/doctest.h>

using namespace mustardtray;

namespace {

constexpr WallTime kNow(Millis(1'800'000'000'000));

/// Ownership of every partition by this node at epoch 1.
std::shared_ptr<KeyOwnership> OwnAll(std::uint64_t aSequence, WallTime aFloor)
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
  table.Apply(OwnAll(1, aFloor));
  return table;
}

IdempotencyKey KeyAt(WallTime aMinted, std::uint64_t aNumber = 0)
{
  return MintIdempotencyKey(aMinted, 0, aNumber);
}

std::shared_ptr<const HttpResponse> Answer(std::size_t aBytes)
{
  return std::make_shared<HttpResponse>(HttpResponse{ 201, {}, std::string(aBytes, 'x') });
}

void CheckClaim(const KeyClaim& aClaim, KeyDecision aDecision, KeyReason aReason)
{
  CHECK(ToName(aClaim.m_decision) == ToName(aDecision));
  CHECK(ToName(aClaim.m_reason) == ToName(aReason));
}

} // namespace

TEST_CASE("KeyTable runs a key once, lets resends join it and answers later ones")
{
  KeyTable table = MakeTable();
  const IdempotencyKey key = KeyAt(kNow);
  CheckClaim(table.Claim(kNow, key, 7, 1), KeyDecision::Run, KeyReason::None);
  CheckClaim(table.Claim(kNow, key, 7, 2), KeyDecision::Join, KeyReason::None);
  CheckClaim(table.Claim(kNow, key, 8, 3), KeyDecision::Mismatch, KeyReason::None);
  const auto answer = Answer(5);
  CHECK(table.OnAnswer(kNow, key, answer) == std::vector<KeyWaiter>{ 2 });
  const KeyClaim claim = table.Claim(kNow, key, 7, 4);
  CheckClaim(claim, KeyDecision::Answer, KeyReason::None);
  CHECK(claim.m_answer == answer);
  CHECK(table.OnNotRun(key).empty());
  CheckClaim(table.Claim(kNow, key, 7, 5), KeyDecision::Answer, KeyReason::None);
}

TEST_CASE("KeyTable runs a key again only after proof that it did not run")
{
  KeyTable table = MakeTable();
  const IdempotencyKey key = KeyAt(kNow);
  table.Claim(kNow, key, 7, 1);
  table.Claim(kNow, key, 7, 2);
  CHECK(table.OnNotRun(key) == std::vector<KeyWaiter>{ 2 });
  CheckClaim(table.Claim(kNow, key, 7, 3), KeyDecision::Run, KeyReason::None);
  table.OnUnknown(key);
  CheckClaim(table.Claim(kNow, key, 7, 4), KeyDecision::Unknown, KeyReason::LostAnswer);
}

TEST_CASE("KeyTable tells unknown from not run by the mint time")
{
  KeyTableOptions options;
  KeyTable table = MakeTable(options, kNow);
  CheckClaim(
    table.Claim(kNow, KeyAt(kNow - Millis(1)), 7, 1), KeyDecision::Unknown, KeyReason::BeforeFloor);
  CheckClaim(table.Claim(kNow, KeyAt(kNow), 7, 1), KeyDecision::Run, KeyReason::None);
  const WallTime newest = kNow + options.m_bounds.m_futureAllowance;
  CheckClaim(table.Claim(kNow, KeyAt(newest), 7, 1), KeyDecision::Run, KeyReason::None);
  CheckClaim(
    table.Claim(kNow, KeyAt(newest + Millis(1)), 7, 1), KeyDecision::NotRun, KeyReason::FromFuture);
}

TEST_CASE("KeyTable never runs a key that it may have forgotten, also when the clock goes back")
{
  KeyTableOptions options;
  KeyTable table = MakeTable(options);
  const IdempotencyKey key = KeyAt(kNow);
  table.Claim(kNow, key, 7, 1);
  table.OnAnswer(kNow, key, Answer(5));
  table.Expire(kNow + options.m_keptFor);
  CHECK(table.Keys() == 1);
  table.Expire(kNow + options.m_keptFor + Millis(1));
  CHECK(table.Keys() == 0);
  CHECK(table.Bytes() == 0);
  CheckClaim(table.Claim(kNow, key, 7, 2), KeyDecision::Unknown, KeyReason::TooOld);
}

TEST_CASE("KeyTable keeps a running key past its age")
{
  KeyTableOptions options;
  KeyTable table = MakeTable(options);
  const IdempotencyKey key = KeyAt(kNow);
  table.Claim(kNow, key, 7, 1);
  table.Expire(kNow + 2 * options.m_keptFor);
  CheckClaim(table.Claim(kNow, key, 7, 2), KeyDecision::Join, KeyReason::None);
}

TEST_CASE("KeyTable starts no key of a partition that it does not own")
{
  KeyTable table;
  CheckClaim(table.Claim(kNow, KeyAt(kNow), 7, 1), KeyDecision::Unknown, KeyReason::NotOwner);
  table = MakeTable();
  CheckClaim(table.Claim(kNow, KeyAt(kNow), 7, 1, 0), KeyDecision::Unknown, KeyReason::OtherEpoch);
  // A sender that knows a newer epoch proves that this node was superseded.
  CheckClaim(table.Claim(kNow, KeyAt(kNow), 7, 1, 2), KeyDecision::Unknown, KeyReason::NotOwner);
  CheckClaim(table.Claim(kNow, KeyAt(kNow), 7, 1), KeyDecision::Unknown, KeyReason::NotOwner);
}

TEST_CASE("KeyTable reports a stop once, after its last running key")
{
  KeyTable table = MakeTable();
  const IdempotencyKey key = KeyAt(kNow);
  const std::size_t partition = PartitionOfHash(key.Hash());
  table.Claim(kNow, key, 7, 1);
  auto stopping = OwnAll(2, {});
  stopping->m_partitions[partition].m_role = KeyPartitionRole::Stopping;
  table.Apply(stopping);
  CHECK(table.TakeStopped().empty());
  table.Apply(OwnAll(1, {}));
  CheckClaim(table.Claim(kNow, key, 7, 2), KeyDecision::Join, KeyReason::None);
  table.OnAnswer(kNow, key, Answer(5));
  const auto stopped = table.TakeStopped();
  REQUIRE(stopped.size() == 1);
  CHECK(stopped[0].m_partition == partition);
  CHECK(stopped[0].m_newestMint == kNow);
  CHECK(table.TakeStopped().empty());
}

TEST_CASE("KeyTable stays within its memory budget and refuses new keys rather than forget running")
{
  KeyTableOptions options;
  options.m_maxBytes = 64u << 10;
  options.m_maxAnswerBytes = 16u << 10;
  KeyTable table = MakeTable(options);
  std::uint64_t number = 0;
  KeyClaim claim = table.Claim(kNow, KeyAt(kNow, number), 7, 1);
  while (claim.m_decision == KeyDecision::Run) {
    claim = table.Claim(kNow, KeyAt(kNow, ++number), 7, 1);
  }
  CheckClaim(claim, KeyDecision::NotRun, KeyReason::TableFull);
  for (std::uint64_t i = 0; i < number; ++i) {
    CheckClaim(table.Claim(kNow, KeyAt(kNow, i), 7, 2), KeyDecision::Join, KeyReason::None);
    table.OnAnswer(kNow, KeyAt(kNow, i), Answer(10u << 10));
    CHECK(table.Bytes() <= options.m_maxBytes);
  }
  // Finished keys that are old enough give way; they are then refused, not run again.
  const WallTime later = kNow + options.m_keptAtLeast + Millis(1);
  CheckClaim(table.Claim(later, KeyAt(later), 7, 1), KeyDecision::Run, KeyReason::None);
  CheckClaim(table.Claim(later, KeyAt(kNow, 0), 7, 3), KeyDecision::Unknown, KeyReason::TooOld);
}

TEST_CASE("KeyTable drops old answers before it forgets keys")
{
  KeyTableOptions options;
  options.m_maxBytes = 64u << 10;
  KeyTable table = MakeTable(options);
  for (std::uint64_t i = 0; i < 100; ++i) {
    const IdempotencyKey key = KeyAt(kNow + Millis(i));
    CheckClaim(table.Claim(kNow, key, 7, 1), KeyDecision::Run, KeyReason::None);
    table.OnAnswer(kNow, key, Answer(4u << 10));
    CHECK(table.Bytes() <= options.m_maxBytes);
  }
  CHECK(table.Keys() == 100);
  CheckClaim(table.Claim(kNow, KeyAt(kNow), 7, 1), KeyDecision::Unknown, KeyReason::AnswerNotKept);
  CheckClaim(
    table.Claim(kNow, KeyAt(kNow + Millis(99)), 7, 1), KeyDecision::Answer, KeyReason::None);
}

TEST_CASE("KeyTable bounds the waiters of one key and lets them leave")
{
  KeyTableOptions options;
  options.m_maxWaiters = 1;
  KeyTable table = MakeTable(options);
  const IdempotencyKey key = KeyAt(kNow);
  table.Claim(kNow, key, 7, 1);
  CheckClaim(table.Claim(kNow, key, 7, 2), KeyDecision::Join, KeyReason::None);
  CheckClaim(table.Claim(kNow, key, 7, 3), KeyDecision::Unknown, KeyReason::TooManyWaiters);
  table.Leave(key, 2);
  CheckClaim(table.Claim(kNow, key, 7, 3), KeyDecision::Join, KeyReason::None);
  CHECK(table.OnUnknown(key) == std::vector<KeyWaiter>{ 3 });
}
