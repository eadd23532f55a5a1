#include "mustardtray/process/GoneWatch.h"

#include <doctest/doctest.h>

using namespace mustardtray;

namespace {

constexpr TimePoint kStart(Micros(std::chrono::hours(1)));
const NodeIncarnation kOther{ "entry-1", 1 };

VmListing Listed(const std::string& aName, VmState aState)
{
  VmListing listing;
  listing.m_name = aName;
  listing.m_state = aState;
  return listing;
}

std::vector<VmListing> OnlySelf()
{
  return { Listed("entry-0", VmState::Live) };
}

} // namespace

TEST_CASE("A node is gone when the list lacks it for longer than the list lags, and it is silent")
{
  const GoneWatchOptions options;
  GoneWatch watch("entry-0", options);
  CHECK(!watch.IsGone(kOther, kStart));
  watch.OnSeen(kOther, kStart);
  watch.OnVmList(OnlySelf(), kStart + options.m_listLag - Millis(1));
  CHECK(!watch.IsGone(kOther, kStart + options.m_listLag));
  watch.OnVmList(OnlySelf(), kStart + options.m_listLag);
  CHECK(watch.IsGone(kOther, kStart + options.m_listLag));
  watch.OnHeard(kOther, kStart + options.m_listLag);
  CHECK(!watch.IsGone(kOther, kStart + options.m_listLag));
  CHECK(watch.IsGone(kOther, kStart + options.m_listLag + options.m_silence));
}

TEST_CASE("A list that lacks its reader, or shows the node on any line, proves nothing")
{
  const TimePoint later = kStart + std::chrono::hours(1);
  GoneWatch watch("entry-0");
  watch.OnSeen(kOther, kStart);
  watch.OnVmList({}, later);
  CHECK(!watch.IsGone(kOther, later));
  watch.OnVmList({ Listed("entry-0", VmState::Live),
                   Listed("entry-1", VmState::Leaving),
                   Listed("entry-1", VmState::Gone) },
                 later);
  CHECK(!watch.IsGone(kOther, later));
  watch.OnVmList({ Listed("entry-0", VmState::Live), Listed("entry-1", VmState::Gone) }, later);
  CHECK(watch.IsGone(kOther, later));
  watch.OnVmList({ Listed("entry-0", VmState::Live), Listed("entry-1", VmState::Live) }, kStart);
  CHECK(watch.IsGone(kOther, later));
}

TEST_CASE("A newer incarnation proves the older one gone, and not itself")
{
  const TimePoint later = kStart + std::chrono::hours(1);
  GoneWatch watch("entry-0");
  watch.OnSeen(kOther, kStart);
  watch.OnVmList(OnlySelf(), later);
  watch.OnSeen({ "entry-1", 2 }, later);
  CHECK(watch.IsGone(kOther, later));
  CHECK(!watch.IsGone({ "entry-1", 2 }, later));
  watch.OnSeen({ "entry-0", 2 }, later);
  CHECK(watch.IsGone({ "entry-0", 1 }, later));
  CHECK(!watch.IsGone({ "entry-0", 2 }, later));
}
