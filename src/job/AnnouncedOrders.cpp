#include "mustardtray/job/AnnouncedOrders.h"

namespace mustardtray::job {

void AnnouncedOrders::Inherit(const std::set<std::string>& aMachines, TimePoint aNow)
{
  for (const std::string& machine : aMachines) {
    m_heldBackUntil[machine] = aNow + m_handoverDelay;
  }
}

bool AnnouncedOrders::IsHeldBack(const std::string& aMachine, TimePoint aNow) const
{
  const auto found = m_heldBackUntil.find(aMachine);
  return found != m_heldBackUntil.end() && aNow < found->second;
}

bool AnnouncedOrders::IsAnnounced(const std::string& aMachine) const
{
  const auto found = m_announced.find(aMachine);
  return found != m_announced.end() && found->second.m_isSaved;
}

std::set<std::string> AnnouncedOrders::Announce(const std::string& aMachine, TimePoint aNow)
{
  std::erase_if(m_announced, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_lastOrderAt > m_handoverDelay + m_maxOrderTime;
  });
  std::erase_if(m_heldBackUntil, [&](const auto& aEntry) { return aNow >= aEntry.second; });
  m_announced[aMachine].m_lastOrderAt = aNow;
  std::set<std::string> machines;
  for (const auto& [name, announcement] : m_announced) {
    machines.insert(name);
  }
  // A successor that takes over soon must also wait for the orders of the holder before this one.
  for (const auto& [name, until] : m_heldBackUntil) {
    machines.insert(name);
  }
  return machines;
}

void AnnouncedOrders::OnSaved(const std::set<std::string>& aMachines)
{
  for (auto& [name, announcement] : m_announced) {
    announcement.m_isSaved = announcement.m_isSaved || aMachines.contains(name);
  }
}

void AnnouncedOrders::OnOrder(const std::string& aMachine, TimePoint aNow)
{
  const auto found = m_announced.find(aMachine);
  if (found != m_announced.end()) {
    found->second.m_lastOrderAt = aNow;
  }
}

} // namespace mustardtray::job
