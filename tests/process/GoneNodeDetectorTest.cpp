#include "mustardtray/process/GoneNodeDetector.h"

#include <doctest/doctest.h>

using namespace mustardtray;

namespace {

constexpr TimePoint kStart(Micros(std::chrono::hours(1)));
const NodeIncarnation kOther{ "entry-1", 1 };

VmListing MakeListing(const std::string& aName, VmState aState)
{
  VmListing listing;
  listing.m_name = aName;
  listing.m_state = aState;
  return listing;
}

std::vector<VmListing> ListWithOnlySelf()
{
  return { MakeListing("entry-0", VmState::Live) };
}

} // namespace

TEST_CASE("A node is gone when it is unresponsive and a list newer than the lag does not have it")
{
  const GoneNodeDetectorOptions options;
  GoneNodeDetector watch("entry-0", options);
  CHECK(!watch.IsGone(kOther, kStart));
  watch.OnIncarnationSeen(kOther, kStart);
  watch.OnVmList(ListWithOnlySelf(), kStart + options.m_listLag - Millis(1));
  CHECK(!watch.IsGone(kOther, kStart + options.m_listLag));
  watch.OnVmList(ListWithOnlySelf(), kStart + options.m_listLag);
  CHECK(watch.IsGone(kOther, kStart + options.m_listLag));
  watch.OnAlive(kOther, kStart + options.m_listLag);
  CHECK(!watch.IsGone(kOther, kStart + options.m_listLag));
  CHECK(watch.IsGone(kOther, kStart + options.m_listLag + options.m_unresponsivePeriod));
}

TEST_CASE("A list without its reader, or with a live or leaving line of the node, is no proof")
{
  const TimePoint later = kStart + std::chrono::hours(1);
  GoneNodeDetector watch("entry-0");
  watch.OnIncarnationSeen(kOther, kStart);
  watch.OnVmList({}, later);
  CHECK(!watch.IsGone(kOther, later));
  watch.OnVmList({ MakeListing("entry-0", VmState::Live),
                   MakeListing("entry-1", VmState::Leaving),
                   MakeListing("entry-1", VmState::Gone) },
                 later);
  CHECK(!watch.IsGone(kOther, later));
  watch.OnVmList({ MakeListing("entry-0", VmState::Live), MakeListing("entry-1", VmState::Gone) },
                 later);
  CHECK(watch.IsGone(kOther, later));
  watch.OnVmList({ MakeListing("entry-0", VmState::Live), MakeListing("entry-1", VmState::Live) },
                 kStart);
  CHECK(watch.IsGone(kOther, later));
}

TEST_CASE("A newer incarnation proves that the older one is gone, but not itself")
{
  const TimePoint later = kStart + std::chrono::hours(1);
  GoneNodeDetector watch("entry-0");
  watch.OnIncarnationSeen(kOther, kStart);
  watch.OnVmList(ListWithOnlySelf(), later);
  watch.OnIncarnationSeen({ "entry-1", 2 }, later);
  CHECK(watch.IsGone(kOther, later));
  CHECK(!watch.IsGone({ "entry-1", 2 }, later));
  watch.OnIncarnationSeen({ "entry-0", 2 }, later);
  CHECK(watch.IsGone({ "entry-0", 1 }, later));
  CHECK(!watch.IsGone({ "entry-0", 2 }, later));
}
