#include "mustardtray/process/fleet/VmInventory.h"

#include <doctest/doctest.h>

using namespace mustardtray;

namespace {

constexpr Millis kGrace{ 60'000 };

VmListing Listing(VmState aState, const std::string& aRack = "r1", const std::string& aZone = "z1")
{
  VmListing line;
  line.m_name = "a";
  line.m_address = "10.0.0.1";
  line.m_zone = aZone;
  line.m_rack = aRack;
  line.m_state = aState;
  return line;
}

TimePoint At(int aSecond)
{
  return TimePoint(std::chrono::seconds(aSecond));
}

} // namespace

TEST_CASE("VmInventory resolves inconsistent states to leaving and reports the inconsistency")
{
  VmInventory inventory(kGrace);
  inventory.Update({ Listing(VmState::Live), Listing(VmState::Leaving) }, At(1));
  CHECK(inventory.Find("a")->m_listing.m_state == VmState::Leaving);
  CHECK(inventory.Find("a")->m_inconsistencies.contains("listed both live and leaving"));
  inventory.Update({ Listing(VmState::Gone), Listing(VmState::Live) }, At(2));
  CHECK_FALSE(inventory.IsGone("a"));
  inventory.Update({ Listing(VmState::Gone) }, At(3));
  CHECK(inventory.IsGone("a"));
  CHECK(inventory.Find("a")->m_inconsistencies.empty());
}

TEST_CASE("VmInventory keeps the known rack and zone of a VM")
{
  VmInventory inventory(kGrace);
  inventory.Update({ Listing(VmState::Live) }, At(1));
  inventory.Update({ Listing(VmState::Live, "", "z2") }, At(2));
  CHECK(inventory.Find("a")->m_listing.m_rack == "r1");
  CHECK(inventory.Find("a")->m_listing.m_zone == "z1");
  CHECK(inventory.Find("a")->m_inconsistencies.contains("zone changed from z1 to z2"));
  VmInventory fresh(kGrace);
  fresh.Update({ Listing(VmState::Live, "") }, At(1));
  CHECK(fresh.Find("a")->m_inconsistencies.contains("rack unknown"));
}

TEST_CASE("VmInventory does not treat a missing VM as gone, and accepts it when it is listed again")
{
  VmInventory inventory(kGrace);
  inventory.Update({ Listing(VmState::Live) }, At(1));
  inventory.Update({}, At(2));
  CHECK(inventory.Find("a")->m_isMissing);
  CHECK(inventory.Find("a")->m_inconsistencies.empty());
  inventory.Update({}, At(63));
  CHECK(inventory.Find("a")->m_inconsistencies.contains("missing from the list"));
  CHECK_FALSE(inventory.IsGone("a"));
  inventory.Update({ Listing(VmState::Live) }, At(64));
  CHECK_FALSE(inventory.Find("a")->m_isMissing);
  CHECK(inventory.Find("a")->m_inconsistencies.empty());
}
