#pragma once

/// Which machines a successor must leave alone for a while. Two holders must not give orders to one
/// machine within a short time of each other, so each machine is announced in the store before its
/// first order, and a successor holds back only the machines that it finds announced. Load that it
/// answers: rolling restarts and crashes of holders in the middle of a wave or a turn.

#include <map>
#include <set>
#include <string>

#include "mustardtray/process/Time.h"

namespace mustardtray::job {

class AnnouncedOrders
{
public:
  /// aTurnTime: two holders must not give orders to one machine within it. aLongestOrder: from the
  /// sending of an order to its answer, or to its being given up.
  AnnouncedOrders(Millis aTurnTime, Millis aLongestOrder)
    : m_turnTime(aTurnTime)
    , m_longestOrder(aLongestOrder)
  {
  }

  /// What the earlier holder had announced when this one took over.
  void Inherit(const std::set<std::string>& aMachines, TimePoint aNow);
  bool IsHeldBack(const std::string& aMachine, TimePoint aNow) const;
  /// Whether the store has the announcement.
  bool IsAnnounced(const std::string& aMachine) const;
  /// Adds a machine and returns the whole list to store.
  std::set<std::string> Announce(const std::string& aMachine, TimePoint aNow);
  void OnSaved(const std::set<std::string>& aMachines);
  /// An order was sent to the machine or was answered.
  void OnOrder(const std::string& aMachine, TimePoint aNow);

private:
  struct Announcement
  {
    TimePoint m_lastOrderAt{}; ///< Or the announcement, before the first order.
    bool m_isSaved = false;
  };

  Millis m_turnTime;
  Millis m_longestOrder;
  std::map<std::string, Announcement> m_announced;
  std::map<std::string, TimePoint> m_heldBackUntil;
};

} // namespace mustardtray::job
