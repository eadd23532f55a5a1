#include "mustardtray/job/AccountKeys.h"

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace mustardtray::job;

TEST_CASE("a key identifies its account, and nothing that resembles a key does")
{
  const AccountKeys keys(
    { { "a1", { "key-1", "key-2" }, 1.0, {} }, { "a2", { "key-3" }, 1.0, {} } });
  CHECK(keys.FindAccount("key-2") == "a1");
  CHECK(keys.FindAccount("key-3") == "a2");
  for (const char* unknown : { "", "key-", "key-11", "KEY-1", "a1" }) {
    CHECK_FALSE(keys.FindAccount(unknown));
  }
}

TEST_CASE("a key's label is the beginning of its digest and not of the key")
{
  CHECK(KeyLabel("abc") == "ba7816bf"); // The test vector of FIPS 180-2.
}

TEST_CASE("DecideAccess refuses an unknown key only while it cannot have been added since")
{
  AccessInput input;
  input.m_key = "key";
  input.m_viewAge = kMaxUnknownKeyViewAge;
  CHECK(DecideAccess(input) == Access::Unauthorized);
  input.m_viewAge += Millis(1);
  CHECK(DecideAccess(input) == Access::Unconfirmed);
  input.m_key.reset(); // No configuration makes a missing key valid.
  CHECK(DecideAccess(input) == Access::Unauthorized);
  input.m_isQueuePublic = true;
  CHECK(DecideAccess(input) == Access::Granted);
}

TEST_CASE("a known key stays valid however old the view is, unless revocation is strict")
{
  AccessInput input;
  input.m_key = "key";
  input.m_account = "a1";
  input.m_viewAge = Millis(60'000);
  CHECK(DecideAccess(input) == Access::Granted);
  input.m_isRevocationStrict = true;
  CHECK(DecideAccess(input) == Access::ViewTooOld);
  input.m_viewAge = input.m_maxRevocationDelay;
  CHECK(DecideAccess(input) == Access::Granted);
}
