#pragma once

/// Machines to which a new holder of the fleet lease must not yet give orders. Two holders must not
/// give orders to one machine within a short time of each other, so each machine is announced in
/// the store before its first order, and a successor delays its orders to the announced machines
/// only. Covers rolling restarts and crashes of holders during a wave or a burst of load.

#include <map>
#include <set>
#include <string>

#include "mustardtray/process/Time.h"

namespace mustardtray::job {

class AnnouncedOrders
{
public:
  /// aHandoverDelay: minimum time between orders of two holders to one machine. aMaxOrderTime:
  /// maximum time from sending an order until it is answered or given up.
  AnnouncedOrders(Millis aHandoverDelay, Millis aMaxOrderTime)
    : m_handoverDelay(aHandoverDelay)
    , m_maxOrderTime(aMaxOrderTime)
  {
  }

  /// Holds back the machines that the earlier holder had announced when this one took over.
  void Inherit(const std::set<std::string>& aMachines, TimePoint aNow);
  bool IsHeldBack(const std::string& aMachine, TimePoint aNow) const;
  /// Whether the announcement of the machine is stored.
  bool IsAnnounced(const std::string& aMachine) const;
  /// Adds a machine and returns the complete list to write to the store.
  std::set<std::string> Announce(const std::string& aMachine, TimePoint aNow);
  void OnSaved(const std::set<std::string>& aMachines);
  /// Called when an order to the machine is sent and when it is answered.
  void OnOrder(const std::string& aMachine, TimePoint aNow);

private:
  struct Announcement
  {
    TimePoint m_lastOrderAt{}; ///< Before the first order: time of the announcement.
    bool m_isSaved = false;
  };

  Millis m_handoverDelay;
  Millis m_maxOrderTime;
  std::map<std::string, Announcement> m_announced;
  std::map<std::string, TimePoint> m_heldBackUntil;
};

} // namespace mustardtray::job
