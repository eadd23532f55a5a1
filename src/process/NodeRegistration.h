#pragma once

/// Registers this run of the daemon in the platform's table and reads the rows of the other nodes.

#include <functional>
#include <string>
#include <vector>

#include "mustardtray/process/Heartbeat.h"
#include "mustardtray/process/Log.h"
#include "mustardtray/process/Platform.h"

namespace mustardtray {

/// Used on the control thread only. Must outlive the platform calls that it starts.
template<PlatformAccess P>
class NodeRegistration
{
public:
  struct Events
  {
    std::function<void(const NodeIncarnation&)> m_onRegistered;
    std::function<void(const NodeInfo&)> m_onRow;
    std::function<void(const std::string&)> m_onRowDeleted;
  };

  NodeRegistration(P& aPlatform, NodeInfo aSelf, Events aEvents)
    : m_platform(aPlatform)
    , m_self(std::move(aSelf))
    , m_events(std::move(aEvents))
  {
  }

  /// Must be called periodically. Tries to register until that succeeds, then reads changed rows.
  void Tick()
  {
    if (m_isBusy) {
      return;
    }
    m_isBusy = true;
    if (m_isRegistered) {
      Scan();
    } else {
      ReadOwnRow();
    }
  }

  bool IsRegistered() const { return m_isRegistered; }

private:
  std::string Key() const { return std::string(kNodeRowPrefix) + m_self.m_id.m_node; }

  void ReadOwnRow()
  {
    m_platform.Read({ Key() }, [this](const Result<std::vector<Row>>& aRows) {
      if (aRows.has_error()) {
        m_isBusy = false;
        return;
      }
      Register(aRows.value());
    });
  }

  /// After a write whose response was lost, the next attempt writes the next incarnation. An
  /// incarnation is used only once it is known to be in the table.
  void Register(const std::vector<Row>& aRows)
  {
    std::uint64_t version = 0;
    m_self.m_id.m_incarnation = 1;
    if (!aRows.empty()) {
      version = aRows.front().m_version;
      const Result<NodeInfo> previous = ParseNodeInfo(aRows.front().m_value);
      // For an unreadable row the version is an upper bound: each incarnation was one write.
      const std::uint64_t last = previous ? previous.value().m_id.m_incarnation : version;
      m_self.m_id.m_incarnation = last + 1;
    }
    Transaction transaction;
    transaction.m_checks.push_back({ Key(), version });
    transaction.m_writes.push_back({ Key(), ToJson(m_self) });
    m_platform.Transact(transaction, [this](const Result<Commit>& aCommit) {
      m_isBusy = false;
      if (aCommit.has_error() || !aCommit.value().m_isCommitted) {
        return;
      }
      m_isRegistered = true;
      Log(LogCategory::Membership,
          LogLevel::Info,
          "registered",
          "incarnation",
          m_self.m_id.m_incarnation);
      m_events.m_onRegistered(m_self.m_id);
    });
  }

  void Scan()
  {
    m_platform.Scan(std::string(kNodeRowPrefix), m_revision, [this](const Result<ScanPage>& aPage) {
      m_isBusy = false;
      if (aPage.has_error()) {
        return;
      }
      m_revision = std::max(m_revision, aPage.value().m_revision);
      for (const Row& row : aPage.value().m_rows) {
        OnRow(row);
      }
      for (const std::string& key : aPage.value().m_deleted) {
        m_events.m_onRowDeleted(key.substr(kNodeRowPrefix.size()));
      }
    });
  }

  void OnRow(const Row& aRow)
  {
    const Result<NodeInfo> info = ParseNodeInfo(aRow.m_value);
    if (info.has_error()) {
      Log(LogCategory::Membership,
          LogLevel::Warning,
          "invalid-node-row",
          "key",
          aRow.m_key,
          "error",
          info.error().Text());
      return;
    }
    m_events.m_onRow(info.value());
  }

  P& m_platform;
  NodeInfo m_self;
  Events m_events;
  std::uint64_t m_revision = 0;
  bool m_isRegistered = false;
  bool m_isBusy = false;
};

} // namespace mustardtray
