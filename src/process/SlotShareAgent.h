#pragma once

/// I/O for SlotShares: reads the zone's row and proposes this node as a member.

#include <set>
#include <string>
#include <vector>

#include "mustardtray/process/Log.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/SlotShares.h"

namespace mustardtray {

/// Used on the control thread only. Must outlive the platform calls that it starts.
template<PlatformAccess P>
class SlotShareAgent
{
public:
  SlotShareAgent(P& aPlatform, std::string aZone, EntryMember aSelf, Micros aLongestRun)
    : m_platform(aPlatform)
    , m_zone(std::move(aZone))
    , m_shares(std::move(aSelf), aLongestRun)
  {
  }

  SlotShares& Shares() { return m_shares; }
  const SlotShares& Shares() const { return m_shares; }

  /// Must be called periodically. aHeard holds the nodes that sent a heartbeat lately.
  void Tick(const std::vector<VmListing>& aVms, const std::set<std::string>& aHeard)
  {
    m_view.m_zone = m_zone;
    m_view.m_vms = aVms;
    m_view.m_recentlyHeardNodes = aHeard;
    Read();
  }

  /// Removes this node from the zone's row. Call it when nothing is in flight, and repeat it until
  /// IsMember() is false.
  void Leave()
  {
    m_isLeaving = true;
    m_shares.BeginLeave();
    Read();
  }

  bool IsMember() const
  {
    const ZoneRow row = m_shares.NewestRow();
    return std::find(row.m_members.begin(), row.m_members.end(), m_shares.Self()) !=
           row.m_members.end();
  }

private:
  void Read()
  {
    if (m_isBusy) {
      return;
    }
    m_isBusy = true;
    m_platform.Read({ ZoneRowKey(m_zone) }, [this](const Result<std::vector<Row>>& aRows) {
      m_isBusy = false;
      if (aRows.has_error()) {
        return;
      }
      m_view.m_row.reset();
      if (!aRows.value().empty()) {
        ApplyRow(aRows.value().front());
      }
      Propose();
    });
  }

  void ApplyRow(const Row& aRow)
  {
    m_view.m_row = aRow;
    const Result<ZoneRow> row = ParseZoneRow(aRow.m_value);
    if (row.has_error()) {
      Log(LogCategory::Membership,
          LogLevel::Error,
          "invalid-zone-row",
          "zone",
          m_zone,
          "error",
          row.error().Text());
      return;
    }
    if (m_shares.OnRow(MonotonicNow(), row.value())) {
      Log(LogCategory::Membership,
          LogLevel::Info,
          "slot-share-generation",
          "zone",
          m_zone,
          "generation",
          row.value().m_generation,
          "members",
          row.value().m_members.size());
    }
  }

  void Propose()
  {
    const auto proposal =
      m_isLeaving ? ProposeLeave(m_shares.Self(), m_view) : ProposeMembers(m_shares.Self(), m_view);
    if (proposal.has_error() || !proposal.value()) {
      return;
    }
    m_isBusy = true;
    m_platform.Transact(*proposal.value(), [this](const Result<Commit>&) { m_isBusy = false; });
  }

  P& m_platform;
  std::string m_zone;
  SlotShares m_shares;
  ZoneView m_view;
  bool m_isLeaving = false;
  bool m_isBusy = false;
};

} // namespace mustardtray
