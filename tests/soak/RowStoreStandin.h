#pragma once

/// Stand-in for the platform's row store, with fault injection. Used by the soak.

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>

#include "mustardtray/process/JsonReader.h"
#include "mustardtray/process/TimerService.h"
#include "standin/StandinServer.h"

namespace mustardtray::soak {

enum class StoreFault
{
  None,
  Busy,          ///< Every request gets status 503 and has no effect.
  Closing,       ///< Connections are closed without a response; requests have no effect.
  Unresponsive,  ///< Requests get no response and have no effect.
  Slow,          ///< Each response is delayed by some hundred milliseconds.
  ResponsesLost, ///< Half of the writes are applied without a response.
  WritesLate,    ///< Half of the writes get no response and are applied seconds later if their
                 ///< preconditions still hold.
};

class RowStoreStandin
{
public:
  RowStoreStandin(asio::io_context& aContext, TimerService& aTimers);

  std::uint16_t Port() const { return m_server.Port(); }
  void SetFault(StoreFault aFault) { m_fault = aFault; }
  /// Reads beyond this number in a second get status 429; 0 sets no limit.
  void SetMaxReadsPerSecond(std::size_t aReads) { m_maxReadsPerSecond = aReads; }
  /// Changes in one answer of a feed; 0 sets no limit.
  void SetMaxRowsPerFeed(std::size_t aRows) { m_maxRowsPerFeed = aRows; }
  /// Longest value that a row may have; transactions with a longer one get status 400.
  void SetMaxRowBytes(std::size_t aBytes) { m_maxRowBytes = aBytes; }
  /// Reads of rows are answered as over a link of this speed, in bytes per second; 0 sets no limit.
  void SetReadSpeed(std::size_t aBytesPerSecond) { m_readSpeed = aBytesPerSecond; }
  /// aOnRead: called with the table before each read of rows.
  void SetOnRead(std::function<void(const std::string&)> aOnRead) { m_onRead = std::move(aOnRead); }
  /// Transactions that write a row with this key are refused for good.
  void SetRefusedKey(std::string aKey) { m_refusedKey = std::move(aKey); }
  /// Names in one list of partitions.
  void SetMaxListedPartitions(std::size_t aPartitions) { m_maxListedPartitions = aPartitions; }
  std::size_t RefusedTransactions() const { return m_refusedTransactions; }
  /// Writes a row and discards the history before any feed has the change.
  void PutWithoutHistory(const std::string& aTable,
                         const std::string& aPartition,
                         const std::string& aKey,
                         const std::string& aValue);
  std::size_t RefusedReads() const { return m_refusedReads; }
  /// Discards the history of changes, so that readers of feeds must read all rows again.
  void Compact() { m_history.clear(); }

  // Writes of the operator and the minions, which no injected fault affects.
  void Put(const std::string& aTable, const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  /// Returns the value of a row; empty when there is none.
  std::string Value(const std::string& aTable,
                    const std::string& aPartition,
                    const std::string& aKey) const;

private:
  struct Row
  {
    std::string m_table;
    std::string m_partition;
    std::string m_key;
    std::string m_value; ///< Encoded as Base64, as on the wire.
    std::uint64_t m_version = 0;
    bool m_isDeleted = false;
  };
  using RowName = std::tuple<std::string, std::string, std::string>; ///< Table, partition and key.
  struct WaitingFeed
  {
    std::shared_ptr<StandinExchange> m_exchange;
    std::string m_table;
    std::uint64_t m_afterVersion = 0;
    TimerHandle m_timeout;
  };

  void Handle(const std::shared_ptr<StandinExchange>& aExchange);
  /// Counts a read; returns false when it exceeds the limit.
  bool CountRead();
  void Dispatch(const std::shared_ptr<StandinExchange>& aExchange);
  HttpResponse Commit(const std::string& aBody);
  bool HasRefusedRow(const Json& aTransaction) const;
  HttpResponse Read(const HttpRequest& aRequest) const;
  void SendAtReadSpeed(const std::shared_ptr<StandinExchange>& aExchange, HttpResponse aResponse);
  HttpResponse ListPartitions(const HttpRequest& aRequest) const;
  void ReadFeed(const std::shared_ptr<StandinExchange>& aExchange);
  /// Sends a response if there are changes or aMustRespond is set. Returns whether a response was
  /// sent.
  bool SendFeedResponse(const WaitingFeed& aFeed, bool aMustRespond) const;
  void Apply(Row aRow);
  void ServeWaitingFeeds();
  Json MakeBody(Json aRows) const;
  static Json ToJson(const Row& aRow);

  TimerService& m_timers;
  StandinServer m_server;
  StoreFault m_fault = StoreFault::None;
  std::size_t m_maxReadsPerSecond = 0;
  std::size_t m_maxRowsPerFeed = 0;
  std::size_t m_maxRowBytes = 65'536;
  std::size_t m_readSpeed = 0;
  std::string m_refusedKey;
  std::function<void(const std::string&)> m_onRead = [](const std::string&) {};
  std::size_t m_maxListedPartitions = 1'000;
  std::size_t m_refusedTransactions = 0;
  std::size_t m_readsInSecond = 0;
  std::size_t m_refusedReads = 0;
  TimePoint m_secondBeganAt{};
  std::map<RowName, Row> m_rows;
  std::deque<Row> m_history;
  std::uint64_t m_version = 0;
  std::uint64_t m_writeCount = 0;
  std::list<WaitingFeed> m_waitingFeeds;
  std::list<TimerHandle> m_delayTimers;
};

} // namespace mustardtray::soak
