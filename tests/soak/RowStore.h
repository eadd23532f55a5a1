#pragma once

/// Stand-in of the platform's store of rows, with faults: for the soak.

#include <deque>
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
  Busy,        ///< 503: nothing is done.
  Silent,      ///< No answer, nothing is done.
  Slow,        ///< Each answer takes some hundred milliseconds.
  LoseAnswers, ///< Half of the writes are done and not answered.
  LateWrites, ///< Half of the writes are not answered and done seconds later, if they still can be.
};

class RowStore
{
public:
  RowStore(asio::io_context& aContext, TimerService& aTimers);

  std::uint16_t Port() const { return m_server.Port(); }
  void SetFault(StoreFault aFault) { m_fault = aFault; }
  /// Forgets the history: feeds have to read everything again.
  void Compact() { m_history.clear(); }

  // The operator's and the minions' own writes; they meet no fault.
  void Put(const std::string& aTable, const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);

private:
  struct Row
  {
    std::string m_table;
    std::string m_part;
    std::string m_key;
    std::string m_value; ///< As on the wire: base64.
    std::uint64_t m_version = 0;
    bool m_isDeleted = false;
  };
  using RowName = std::tuple<std::string, std::string, std::string>; ///< Table, part, key.
  struct WaitingFeed
  {
    std::shared_ptr<StandinExchange> m_exchange;
    std::string m_table;
    std::uint64_t m_after = 0;
    TimerHandle m_timeout;
  };

  void Handle(const std::shared_ptr<StandinExchange>& aExchange);
  void Dispatch(const std::shared_ptr<StandinExchange>& aExchange);
  HttpResponse Commit(const std::string& aBody);
  HttpResponse Read(const HttpRequest& aRequest) const;
  HttpResponse Parts(const HttpRequest& aRequest) const;
  void Follow(const std::shared_ptr<StandinExchange>& aExchange);
  /// Answers when there is a change, or when aMustAnswer.
  bool AnswerFeed(const WaitingFeed& aFeed, bool aMustAnswer) const;
  void Apply(Row aRow);
  void WakeFeeds();
  Json Envelope(Json aRows) const;
  static Json ToJson(const Row& aRow);

  TimerService& m_timers;
  StandinServer m_server;
  StoreFault m_fault = StoreFault::None;
  std::map<RowName, Row> m_rows;
  std::deque<Row> m_history;
  std::uint64_t m_version = 0;
  std::uint64_t m_writes = 0;
  std::list<WaitingFeed> m_feeds;
  std::list<TimerHandle> m_delayed;
};

} // namespace mustardtray::soak
