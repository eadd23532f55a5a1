#include "standin/StandinServer.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <iterator>
#include <unordered_set>
#include <utility>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <http_parser.h>

namespace mustardtray {

namespace {

using asio::ip::tcp;

constexpr std::size_t kReadBytes = 16 << 10;
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

void AppendNumber(std::string& aText, std::size_t aNumber)
{
  std::array<char, 24> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), aNumber).ptr;
  aText.append(digits.data(), end);
}

/// Status line and headers, including the empty line that ends them.
std::string FormatHead(const HttpResponse& aResponse, bool aKeepAlive)
{
  std::string head = "HTTP/1.1 ";
  AppendNumber(head, static_cast<std::size_t>(aResponse.m_status));
  head += ' ';
  head += http_status_str(static_cast<http_status>(aResponse.m_status));
  for (const HttpHeader& header : aResponse.m_headers) {
    head += "\r\n";
    head += header.m_name;
    head += ": ";
    head += header.m_value;
  }
  head += "\r\nContent-Length: ";
  AppendNumber(head, aResponse.m_body.size());
  head += aKeepAlive ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n";
  return head;
}

void ResetSocket(tcp::socket& aSocket)
{
  asio::error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

} // namespace

struct StandinServer::SharedState
{
  SharedState(asio::io_context& aContext, StandinHandler aHandler)
    : m_acceptor(aContext)
    , m_handler(std::move(aHandler))
  {
  }

  tcp::acceptor m_acceptor;
  std::string m_address;
  std::uint16_t m_port = 0;
  StandinHandler m_handler;
  StandinTraffic m_traffic;
  std::unordered_set<Connection*> m_openConnections;
};

/// Reads continuously in order to detect that the peer closes the connection while a request runs.
/// Handles pipelined requests one at a time, in order.
class StandinServer::Connection final
  : public StandinExchange
  , public std::enable_shared_from_this<Connection>
{
public:
  Connection(tcp::socket aSocket, std::shared_ptr<SharedState> aShared)
    : m_socket(std::move(aSocket))
    , m_shared(std::move(aShared))
  {
    asio::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_peerAddress = m_socket.remote_endpoint(ignored).address().to_string();
    http_parser_init(&m_parser, HTTP_REQUEST);
    m_parser.data = this;
    m_shared->m_openConnections.insert(this);
    StandinTraffic& traffic = m_shared->m_traffic;
    ++traffic.m_accepted;
    ++traffic.m_connections;
    traffic.m_peakConnections = std::max(traffic.m_peakConnections, traffic.m_connections);
  }

  ~Connection() override { Unregister(); }

  const HttpRequest& Request() const override { return m_currentRequest; }
  const std::string& PeerAddress() const override { return m_peerAddress; }

  void SendResponse(const HttpResponse& aResponse) override
  {
    const bool keepAlive = m_isKeepAlive;
    std::string bytes = FormatHead(aResponse, keepAlive);
    bytes += aResponse.m_body;
    Write(std::move(bytes), [keepAlive](Connection& aSelf) {
      if (keepAlive) {
        aSelf.HandleNextRequest();
      } else {
        aSelf.Disconnect(false);
      }
    });
  }

  void SendTruncatedResponse(const HttpResponse& aResponse, bool aReset) override
  {
    std::string bytes = FormatHead(aResponse, true);
    bytes += aResponse.m_body.substr(0, aResponse.m_body.size() / 2);
    Write(std::move(bytes), [aReset](Connection& aSelf) { aSelf.Disconnect(aReset); });
  }

  void Close() override
  {
    if (std::exchange(m_isAwaitingResponse, false)) {
      Disconnect(false);
    }
  }

  void Reset() override
  {
    if (std::exchange(m_isAwaitingResponse, false)) {
      Disconnect(true);
    }
  }

  void Disconnect(bool aReset)
  {
    m_isAwaitingResponse = false;
    Unregister();
    if (aReset) {
      ResetSocket(m_socket);
      return;
    }
    asio::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
  }

  void Read()
  {
    m_socket.async_read_some(
      asio::buffer(m_readBuffer),
      [self = shared_from_this()](const asio::error_code& aError, std::size_t aBytes) {
        if (!self->m_socket.is_open()) {
          return;
        }
        if (aError) {
          self->Disconnect(false);
          return;
        }
        self->Parse(aBytes);
      });
  }

  bool IsAwaitingResponse() const { return m_isAwaitingResponse; }

private:
  void Parse(std::size_t aBytes)
  {
    m_shared->m_traffic.m_bytesIn += aBytes;
    http_parser_execute(&m_parser, &Callbacks(), m_readBuffer.data(), aBytes);
    if (HTTP_PARSER_ERRNO(&m_parser) != HPE_OK) {
      Disconnect(false);
      return;
    }
    if (!m_isAwaitingResponse && !m_isWriting) {
      HandleNextRequest();
    }
    if (m_socket.is_open()) {
      Read();
    }
  }

  void HandleNextRequest()
  {
    if (m_pendingRequests.empty() || !m_socket.is_open()) {
      return;
    }
    auto& [request, keepAlive] = m_pendingRequests.front();
    m_currentRequest = std::move(request);
    m_isKeepAlive = keepAlive;
    m_pendingRequests.pop_front();
    m_isAwaitingResponse = true;
    m_shared->m_handler(shared_from_this());
  }

  template<typename OnWritten>
  void Write(std::string aBytes, OnWritten aOnWritten)
  {
    if (!std::exchange(m_isAwaitingResponse, false) || !m_socket.is_open()) {
      return;
    }
    m_isWriting = true;
    m_writeBuffer = std::move(aBytes);
    asio::async_write(
      m_socket,
      asio::buffer(m_writeBuffer),
      [self = shared_from_this(), aOnWritten](const asio::error_code& aError, std::size_t aSent) {
        self->m_shared->m_traffic.m_bytesOut += aSent;
        self->m_isWriting = false;
        if (aError) {
          self->Disconnect(false);
        } else {
          aOnWritten(*self);
        }
      });
  }

  void Unregister()
  {
    if (m_shared->m_openConnections.erase(this) > 0) {
      --m_shared->m_traffic.m_connections;
    }
  }

  static Connection& SelfFrom(http_parser* aParser)
  {
    return *static_cast<Connection*>(aParser->data);
  }

  static int OnMessageBegin(http_parser* aParser)
  {
    Connection& self = SelfFrom(aParser);
    self.m_incomingRequest = {};
    self.m_url.clear();
    self.m_isInHeaderValue = true;
    return 0;
  }

  static int OnUrl(http_parser* aParser, const char* aData, std::size_t aLength)
  {
    SelfFrom(aParser).m_url.append(aData, aLength);
    return 0;
  }

  static int OnHeaderField(http_parser* aParser, const char* aData, std::size_t aLength)
  {
    Connection& self = SelfFrom(aParser);
    if (std::exchange(self.m_isInHeaderValue, false)) {
      self.m_incomingRequest.m_headers.emplace_back();
    }
    self.m_incomingRequest.m_headers.back().m_name.append(aData, aLength);
    return 0;
  }

  static int OnHeaderValue(http_parser* aParser, const char* aData, std::size_t aLength)
  {
    Connection& self = SelfFrom(aParser);
    self.m_isInHeaderValue = true;
    self.m_incomingRequest.m_headers.back().m_value.append(aData, aLength);
    return 0;
  }

  static int OnHeadersComplete(http_parser* aParser)
  {
    Connection& self = SelfFrom(aParser);
    if (self.m_incomingRequest.Header("Expect")) {
      asio::error_code ignored;
      asio::write(self.m_socket, asio::buffer(kContinueResponse), ignored);
    }
    return 0;
  }

  static int OnBody(http_parser* aParser, const char* aData, std::size_t aLength)
  {
    SelfFrom(aParser).m_incomingRequest.m_body.append(aData, aLength);
    return 0;
  }

  static int OnMessageComplete(http_parser* aParser)
  {
    Connection& self = SelfFrom(aParser);
    HttpRequest& request = self.m_incomingRequest;
    request.m_method = http_method_str(static_cast<http_method>(aParser->method));
    const std::size_t queryStart = self.m_url.find('?');
    request.m_path = self.m_url.substr(0, queryStart);
    request.m_query = queryStart == std::string::npos ? "" : self.m_url.substr(queryStart + 1);
    request.m_peer = self.m_peerAddress;
    self.m_pendingRequests.emplace_back(std::move(request), http_should_keep_alive(aParser) != 0);
    return 0;
  }

  static const http_parser_settings& Callbacks()
  {
    static const http_parser_settings sCallbacks = [] {
      http_parser_settings settings{};
      settings.on_message_begin = &OnMessageBegin;
      settings.on_url = &OnUrl;
      settings.on_header_field = &OnHeaderField;
      settings.on_header_value = &OnHeaderValue;
      settings.on_headers_complete = &OnHeadersComplete;
      settings.on_body = &OnBody;
      settings.on_message_complete = &OnMessageComplete;
      return settings;
    }();
    return sCallbacks;
  }

  tcp::socket m_socket;
  std::shared_ptr<SharedState> m_shared;
  std::string m_peerAddress;
  http_parser m_parser{};
  std::array<char, kReadBytes> m_readBuffer;
  HttpRequest m_incomingRequest; ///< The request that is being parsed.
  std::string m_url;
  bool m_isInHeaderValue = true;
  /// Complete requests that are not handled yet, with their keep-alive flags.
  std::deque<std::pair<HttpRequest, bool>> m_pendingRequests;
  HttpRequest m_currentRequest; ///< The request that is being handled.
  bool m_isKeepAlive = true;
  bool m_isAwaitingResponse = false;
  bool m_isWriting = false;
  std::string m_writeBuffer;
};

StandinServer::StandinServer(asio::io_context& aContext,
                             std::string aAddress,
                             std::uint16_t aPort,
                             StandinHandler aHandler)
  : m_shared(std::make_shared<SharedState>(aContext, std::move(aHandler)))
{
  m_shared->m_address = std::move(aAddress);
  m_shared->m_port = aPort;
}

StandinServer::~StandinServer()
{
  StopListening();
  CloseConnections(false);
}

Result<void> StandinServer::Listen()
{
  if (IsListening()) {
    return boost::outcome_v2::success();
  }
  tcp::acceptor& acceptor = m_shared->m_acceptor;
  asio::error_code error;
  const auto address = asio::ip::make_address(m_shared->m_address, error);
  const tcp::endpoint endpoint(address, m_shared->m_port);
  const auto runUnlessFailed = [&](auto&& aStep) {
    if (!error) {
      aStep();
    }
  };
  runUnlessFailed([&] { acceptor.open(endpoint.protocol(), error); });
  runUnlessFailed([&] { acceptor.set_option(tcp::acceptor::reuse_address(true), error); });
  runUnlessFailed([&] { acceptor.bind(endpoint, error); });
  runUnlessFailed([&] { acceptor.listen(asio::socket_base::max_listen_connections, error); });
  if (error) {
    const std::string peer = m_shared->m_address + ":" + std::to_string(m_shared->m_port);
    StopListening();
    return Error{ ErrorKind::Unavailable, "listen", peer, error.message() };
  }
  m_shared->m_port = acceptor.local_endpoint().port();
  AcceptNext();
  return boost::outcome_v2::success();
}

void StandinServer::AcceptNext()
{
  m_shared->m_acceptor.async_accept(
    [this, shared = m_shared](const asio::error_code& aError, tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted || !shared->m_acceptor.is_open()) {
        return;
      }
      if (!aError) {
        std::make_shared<Connection>(std::move(aSocket), shared)->Read();
      }
      AcceptNext();
    });
}

void StandinServer::StopListening()
{
  asio::error_code ignored;
  m_shared->m_acceptor.close(ignored);
}

bool StandinServer::IsListening() const
{
  return m_shared->m_acceptor.is_open();
}

std::uint16_t StandinServer::Port() const
{
  return m_shared->m_port;
}

void StandinServer::CloseConnections(bool aReset)
{
  const std::vector<Connection*> connections(m_shared->m_openConnections.begin(),
                                             m_shared->m_openConnections.end());
  for (Connection* connection : connections) {
    connection->Disconnect(aReset);
  }
}

void StandinServer::CloseIdleConnections(bool aReset)
{
  std::vector<Connection*> idle;
  std::copy_if(m_shared->m_openConnections.begin(),
               m_shared->m_openConnections.end(),
               std::back_inserter(idle),
               [](const Connection* aConnection) { return !aConnection->IsAwaitingResponse(); });
  for (Connection* connection : idle) {
    connection->Disconnect(aReset);
  }
}

const StandinTraffic& StandinServer::Traffic() const
{
  return m_shared->m_traffic;
}

} // namespace mustardtray
