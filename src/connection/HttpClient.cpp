#include "mustardtray/connection/HttpClient.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include "connection/HttpTransfer.h"
#include "connection/LinkQueue.h"

namespace mustardtray {

namespace {

constexpr long kMaxIdleConnections = 1024;
constexpr std::size_t kMaxPooledHandles = 256;

void InitializeCurl()
{
  static const CURLcode sInitialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)sInitialized;
}

} // namespace

class HttpClient::Implementation : public std::enable_shared_from_this<HttpClient::Implementation>
{
public:
  Implementation(asio::io_context& aContext, std::string aLocalAddress, double aLinkBytesPerSecond)
    : m_context(aContext)
    , m_timer(aContext)
    , m_deadlineTimer(aContext)
    , m_linkTimer(aContext)
    , m_linkQueue(aLinkBytesPerSecond)
    , m_localAddress(std::move(aLocalAddress))
  {
    InitializeCurl();
    m_multi = curl_multi_init();
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Implementation::OnSocketUpdate);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Implementation::OnTimerUpdate);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
    curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  }

  ~Implementation() { Close(); }

  /// Aborts every call without invoking its callback.
  void Close()
  {
    if (!m_multi) {
      return;
    }
    for (auto& [id, transfer] : m_transfers) {
      if (transfer->m_easy) {
        curl_multi_remove_handle(m_multi, transfer->m_easy);
        curl_easy_cleanup(transfer->m_easy);
      }
    }
    m_transfers.clear();
    for (CURL* easy : m_handlePool) {
      curl_easy_cleanup(easy);
    }
    m_handlePool.clear();
    curl_multi_cleanup(m_multi);
    m_multi = nullptr;
    m_timer.cancel();
    m_deadlineTimer.cancel();
    m_linkTimer.cancel();
    m_deadlines.clear();
    m_socketWatches.clear();
  }

  CallId Start(HttpCall aCall, HttpCallback aCallback)
  {
    auto transfer = std::make_unique<Transfer>();
    const CallId id = ++m_lastId;
    transfer->m_id = id;
    transfer->m_call = std::move(aCall);
    transfer->m_callback = std::move(aCallback);
    transfer->m_connectionNumbers = &m_connectionNumbers;
    Transfer& started = *m_transfers.emplace(id, std::move(transfer)).first->second;
    const HttpCall& call = started.m_call;
    if (!call.m_isLinkReserved && m_linkQueue.MustWait(call.m_priority, MonotonicNow())) {
      WaitForLink(started, call.m_body.size());
    } else {
      Send(started);
    }
    return id;
  }

  void AwaitLink(CallPriority aPriority,
                 std::size_t aBytes,
                 Millis aMaxWait,
                 std::function<void(bool)> aDone)
  {
    const TimePoint now = MonotonicNow();
    if (!m_linkQueue.MustWait(aPriority, now)) {
      m_linkQueue.OnSent(aBytes, now);
      aDone(true);
      return;
    }
    auto transfer = std::make_unique<Transfer>();
    const CallId id = ++m_lastId;
    transfer->m_id = id;
    transfer->m_call.m_priority = aPriority;
    transfer->m_call.m_maxLinkWait = aMaxWait;
    transfer->m_onLink = std::move(aDone);
    transfer->m_reservedBytes = aBytes;
    WaitForLink(*m_transfers.emplace(id, std::move(transfer)).first->second, aBytes);
  }

  void Cancel(CallId aId)
  {
    const auto found = m_transfers.find(aId);
    if (found == m_transfers.end()) {
      return;
    }
    if (found->second->m_isWaitingForLink) {
      m_linkQueue.Remove(aId);
    } else {
      CountTraffic(*found->second, true, m_traffic);
      curl_multi_remove_handle(m_multi, found->second->m_easy);
      curl_easy_cleanup(found->second->m_easy);
    }
    m_deadlines.erase({ found->second->m_deadline, aId });
    m_transfers.erase(found);
  }

  Micros LinkDelay() const { return m_linkQueue.Delay(MonotonicNow()); }
  std::size_t Running() const { return m_transfers.size(); }
  TrafficMeter& Traffic() { return m_traffic; }

private:
  struct SocketWatch
  {
    explicit SocketWatch(asio::io_context& aContext, int aSocket)
      : m_descriptor(aContext, aSocket)
    {
    }
    ~SocketWatch()
    {
      if (m_descriptor.is_open()) {
        m_descriptor.release();
      }
    }
    asio::posix::stream_descriptor m_descriptor;
    int m_requestedEvents = 0;
    bool m_isWaitingForRead = false;
    bool m_isWaitingForWrite = false;
  };

  void WaitForLink(Transfer& aTransfer, std::size_t aBytes)
  {
    aTransfer.m_isWaitingForLink = true;
    m_linkQueue.Push(aTransfer.m_id, aTransfer.m_call.m_priority, aBytes);
    SetDeadline(aTransfer, aTransfer.m_call.m_maxLinkWait);
    ArmLinkTimer();
  }

  void Send(Transfer& aTransfer)
  {
    aTransfer.m_isWaitingForLink = false;
    const HttpCall& call = aTransfer.m_call;
    aTransfer.m_headers = MakeHeaderList(call.m_headers);
    aTransfer.m_easy = AcquireHandle();
    SetOptions(aTransfer, m_localAddress);
    if (!call.m_isLinkReserved) {
      m_linkQueue.OnSent(call.m_body.size(), MonotonicNow());
    }
    SetDeadline(aTransfer, call.m_timeout + m_linkQueue.TransferTime(call.m_body.size()));
    curl_multi_add_handle(m_multi, aTransfer.m_easy);
  }

  void SetDeadline(Transfer& aTransfer, Micros aTime)
  {
    m_deadlines.erase({ aTransfer.m_deadline, aTransfer.m_id });
    aTransfer.m_deadline = std::chrono::steady_clock::now() + aTime;
    m_deadlines.emplace(aTransfer.m_deadline, aTransfer.m_id);
    if (m_deadlines.begin()->second == aTransfer.m_id) {
      ArmDeadlineTimer();
    }
  }

  void ArmLinkTimer()
  {
    m_linkTimer.expires_after(m_linkQueue.NextPopAt() - MonotonicNow());
    m_linkTimer.async_wait([weak = weak_from_this()](const asio::error_code& aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        self->SendWaiting();
      }
    });
  }

  void SendWaiting()
  {
    while (m_multi) {
      const std::optional<CallId> next = m_linkQueue.Pop(MonotonicNow());
      if (!next) {
        break;
      }
      Transfer& transfer = *m_transfers.at(*next);
      if (!transfer.m_onLink) {
        Send(transfer);
        continue;
      }
      m_linkQueue.OnSent(transfer.m_reservedBytes, MonotonicNow());
      TakeWaiting(*next)->m_onLink(true);
    }
    if (m_multi && !m_linkQueue.IsEmpty()) {
      ArmLinkTimer();
    }
  }

  std::unique_ptr<Transfer> TakeWaiting(CallId aId)
  {
    const auto found = m_transfers.find(aId);
    std::unique_ptr<Transfer> transfer = std::move(found->second);
    m_transfers.erase(found);
    m_deadlines.erase({ transfer->m_deadline, aId });
    m_linkQueue.Remove(aId);
    return transfer;
  }

  /// Ends a call that has waited for the link for too long.
  void RefuseWaiting(CallId aId)
  {
    const std::unique_ptr<Transfer> transfer = TakeWaiting(aId);
    if (transfer->m_onLink) {
      transfer->m_onLink(false);
    } else {
      transfer->m_callback(MakeLinkBusyFailure(*transfer));
    }
  }

  CURL* AcquireHandle()
  {
    if (m_handlePool.empty()) {
      return curl_easy_init();
    }
    CURL* easy = m_handlePool.back();
    m_handlePool.pop_back();
    return easy;
  }

  void ReleaseHandle(CURL* aEasy)
  {
    if (m_handlePool.size() >= kMaxPooledHandles) {
      curl_easy_cleanup(aEasy);
      return;
    }
    curl_easy_reset(aEasy);
    m_handlePool.push_back(aEasy);
  }

  static int OnSocketUpdate(CURL*, curl_socket_t aSocket, int aEvents, void* aSelf, void*)
  {
    static_cast<Implementation*>(aSelf)->WatchSocket(aSocket, aEvents);
    return 0;
  }

  static int OnTimerUpdate(CURLM*, long aTimeoutMs, void* aSelf)
  {
    static_cast<Implementation*>(aSelf)->ArmTimer(aTimeoutMs);
    return 0;
  }

  void ArmTimer(long aTimeoutMs)
  {
    if (aTimeoutMs < 0) {
      m_timer.cancel();
      return;
    }
    m_timer.expires_after(Millis(aTimeoutMs));
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code& aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        self->PerformSocketAction(CURL_SOCKET_TIMEOUT, 0);
      }
    });
  }

  /// libcurl's own timeout is not used: after the thread was blocked, it would end all calls at
  /// once, also those whose response can be read.
  void ArmDeadlineTimer()
  {
    m_deadlineTimer.expires_at(m_deadlines.begin()->first);
    m_deadlineTimer.async_wait([weak = weak_from_this()](const asio::error_code& aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        self->EndLateCalls();
      }
    });
  }

  /// Runs after the handlers of sockets that became ready before the timer.
  void EndLateCalls()
  {
    const auto now = std::chrono::steady_clock::now();
    while (m_multi && !m_deadlines.empty() && m_deadlines.begin()->first <= now) {
      const Transfer& late = *m_transfers.at(m_deadlines.begin()->second);
      if (late.m_isWaitingForLink) {
        RefuseWaiting(late.m_id);
      } else {
        Finish(late.m_easy, CURLE_OPERATION_TIMEDOUT);
      }
    }
    if (m_multi && !m_deadlines.empty()) {
      ArmDeadlineTimer();
    }
  }

  void WatchSocket(curl_socket_t aSocket, int aEvents)
  {
    if (aEvents == CURL_POLL_REMOVE) {
      const auto found = m_socketWatches.find(aSocket);
      if (found != m_socketWatches.end()) {
        // The descriptor is released immediately: a running callback may still own the watch
        // when the system assigns the same descriptor number to a new socket.
        found->second->m_descriptor.release();
        m_socketWatches.erase(found);
      }
      return;
    }
    auto& watch = m_socketWatches[aSocket];
    if (!watch) {
      watch = std::make_shared<SocketWatch>(m_context, aSocket);
    }
    watch->m_requestedEvents = aEvents;
    WaitForRequestedEvents(aSocket, watch);
  }

  void WaitForRequestedEvents(curl_socket_t aSocket, const std::shared_ptr<SocketWatch>& aWatch)
  {
    const bool wantsRead = (aWatch->m_requestedEvents & CURL_POLL_IN) != 0;
    const bool wantsWrite = (aWatch->m_requestedEvents & CURL_POLL_OUT) != 0;
    if (wantsRead && !aWatch->m_isWaitingForRead) {
      aWatch->m_isWaitingForRead = true;
      WaitForEvent(aSocket, aWatch, asio::posix::stream_descriptor::wait_read);
    }
    if (wantsWrite && !aWatch->m_isWaitingForWrite) {
      aWatch->m_isWaitingForWrite = true;
      WaitForEvent(aSocket, aWatch, asio::posix::stream_descriptor::wait_write);
    }
  }

  void WaitForEvent(curl_socket_t aSocket,
                    const std::shared_ptr<SocketWatch>& aWatch,
                    asio::posix::stream_descriptor::wait_type aType)
  {
    aWatch->m_descriptor.async_wait(
      aType,
      [weak = weak_from_this(), aSocket, watch = std::weak_ptr<SocketWatch>(aWatch), aType](
        const asio::error_code& aError) {
        const auto self = weak.lock();
        const auto current = watch.lock();
        if (self && current) {
          self->OnReady(aSocket, current, aType, aError);
        }
      });
  }

  void OnReady(curl_socket_t aSocket,
               const std::shared_ptr<SocketWatch>& aWatch,
               asio::posix::stream_descriptor::wait_type aType,
               const asio::error_code& aError)
  {
    const bool isRead = aType == asio::posix::stream_descriptor::wait_read;
    (isRead ? aWatch->m_isWaitingForRead : aWatch->m_isWaitingForWrite) = false;
    const int requestedEvent = isRead ? CURL_POLL_IN : CURL_POLL_OUT;
    if ((aWatch->m_requestedEvents & requestedEvent) == 0) {
      return;
    }
    int flags = isRead ? CURL_CSELECT_IN : CURL_CSELECT_OUT;
    if (aError) {
      flags |= CURL_CSELECT_ERR;
    }
    PerformSocketAction(aSocket, flags);
    const auto found = m_socketWatches.find(aSocket);
    if (!aError && found != m_socketWatches.end() && found->second == aWatch) {
      WaitForRequestedEvents(aSocket, aWatch);
    }
  }

  void PerformSocketAction(curl_socket_t aSocket, int aFlags)
  {
    if (!m_multi) {
      return;
    }
    int runningCount = 0;
    curl_multi_socket_action(m_multi, aSocket, aFlags, &runningCount);
    CollectFinished();
  }

  void CollectFinished()
  {
    int remaining = 0;
    while (m_multi) {
      const CURLMsg* message = curl_multi_info_read(m_multi, &remaining);
      if (!message) {
        return;
      }
      if (message->msg == CURLMSG_DONE) {
        Finish(message->easy_handle, message->data.result);
      }
    }
  }

  void Finish(CURL* aEasy, CURLcode aCode)
  {
    Transfer* privateTransfer = nullptr;
    curl_easy_getinfo(aEasy, CURLINFO_PRIVATE, &privateTransfer);
    const auto found = m_transfers.find(privateTransfer->m_id);
    const std::unique_ptr<Transfer> transfer = std::move(found->second);
    m_transfers.erase(found);
    m_deadlines.erase({ transfer->m_deadline, transfer->m_id });
    long status = 0;
    curl_easy_getinfo(aEasy, CURLINFO_RESPONSE_CODE, &status);
    transfer->m_response.m_status = static_cast<int>(status);
    std::optional<HttpCallFailure> failure = DetermineFailure(*transfer, aCode);
    CountTraffic(*transfer, failure.has_value(), m_traffic);
    curl_multi_remove_handle(m_multi, aEasy);
    ReleaseHandle(aEasy);
    if (failure) {
      transfer->m_callback(std::move(*failure));
    } else {
      transfer->m_callback(std::move(transfer->m_response));
    }
  }

  asio::io_context& m_context;
  asio::steady_timer m_timer;
  asio::steady_timer m_deadlineTimer;
  asio::steady_timer m_linkTimer;
  LinkQueue m_linkQueue;
  std::string m_localAddress;
  CURLM* m_multi = nullptr;
  CallId m_lastId = 0;
  std::unordered_map<CallId, std::unique_ptr<Transfer>> m_transfers;
  /// Calls in the order in which they time out.
  std::set<std::pair<std::chrono::steady_clock::time_point, CallId>> m_deadlines;
  std::unordered_map<curl_socket_t, std::shared_ptr<SocketWatch>> m_socketWatches;
  std::vector<CURL*> m_handlePool;
  ConnectionNumbers m_connectionNumbers;
  TrafficMeter m_traffic;
};

HttpClient::HttpClient(asio::io_context& aContext,
                       std::string aLocalAddress,
                       double aLinkBytesPerSecond)
  : m_implementation(
      std::make_shared<Implementation>(aContext, std::move(aLocalAddress), aLinkBytesPerSecond))
{
}

HttpClient::~HttpClient()
{
  m_implementation->Close();
}

HttpClient::CallId HttpClient::Start(HttpCall aCall, HttpCallback aCallback)
{
  return m_implementation->Start(std::move(aCall), std::move(aCallback));
}

void HttpClient::Cancel(CallId aId)
{
  m_implementation->Cancel(aId);
}

void HttpClient::AwaitLink(CallPriority aPriority,
                           std::size_t aBytes,
                           Millis aMaxWait,
                           std::function<void(bool)> aDone)
{
  m_implementation->AwaitLink(aPriority, aBytes, aMaxWait, std::move(aDone));
}

Micros HttpClient::LinkDelay() const
{
  return m_implementation->LinkDelay();
}

std::size_t HttpClient::Running() const
{
  return m_implementation->Running();
}

TrafficMeter& HttpClient::Traffic()
{
  return m_implementation->Traffic();
}

HttpCallResult CallAndWait(HttpCall aCall)
{
  asio::io_context context;
  HttpClient client(context);
  std::optional<HttpCallResult> result;
  client.Start(std::move(aCall), [&](HttpCallResult aResult) { result = std::move(aResult); });
  while (!result && context.run_one() > 0) {
  }
  return std::move(*result);
}

} // namespace mustardtray
