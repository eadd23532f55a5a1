#include "mustardtray/process/fleet/VmInventory.h"

#include <doctest/doctest.h>

using namespace mustardtray;

namespace {

constexpr Millis kGrace{ 60'000 };

VmListing Line(VmState aState, const std::string& aRack = "r1", const std::string& aZone = "z1")
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

TEST_CASE("VmInventory believes the state that promises less, and reports the contradiction")
{
  VmInventory inventory(kGrace);
  inventory.Update({ Line(VmState::Live), Line(VmState::Leaving) }, At(1));
  CHECK(inventory.Find("a")->m_listing.m_state == VmState::Leaving);
  CHECK(inventory.Find("a")->m_faults.contains("listed both live and leaving"));
  inventory.Update({ Line(VmState::Gone), Line(VmState::Live) }, At(2));
  CHECK_FALSE(inventory.IsGone("a"));
  inventory.Update({ Line(VmState::Gone) }, At(3));
  CHECK(inventory.IsGone("a"));
  CHECK(inventory.Find("a")->m_faults.empty());
}

TEST_CASE("VmInventory keeps a rack and a zone that it knew")
{
  VmInventory inventory(kGrace);
  inventory.Update({ Line(VmState::Live) }, At(1));
  inventory.Update({ Line(VmState::Live, "", "z2") }, At(2));
  CHECK(inventory.Find("a")->m_listing.m_rack == "r1");
  CHECK(inventory.Find("a")->m_listing.m_zone == "z1");
  CHECK(inventory.Find("a")->m_faults.contains("zone changed from z1 to z2"));
  VmInventory fresh(kGrace);
  fresh.Update({ Line(VmState::Live, "") }, At(1));
  CHECK(fresh.Find("a")->m_faults.contains("rack unknown"));
}

TEST_CASE("VmInventory does not take a VM for gone that vanishes, and takes it back")
{
  VmInventory inventory(kGrace);
  inventory.Update({ Line(VmState::Live) }, At(1));
  inventory.Update({}, At(2));
  CHECK(inventory.Find("a")->m_isMissing);
  CHECK(inventory.Find("a")->m_faults.empty());
  inventory.Update({}, At(63));
  CHECK(inventory.Find("a")->m_faults.contains("missing from the list"));
  CHECK_FALSE(inventory.IsGone("a"));
  inventory.Update({ Line(VmState::Live) }, At(64));
  CHECK_FALSE(inventory.Find("a")->m_isMissing);
  CHECK(inventory.Find("a")->m_faults.empty());
}
