#include "tests/hostile_callers/HostileCrowd.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

namespace mustardtray::test {

namespace {

constexpr std::size_t kBlockBytes = 48'000;
constexpr std::size_t kMaxBodyBytes = 262'144;
/// Far over the limit of a body.
constexpr std::size_t kFloodBytes = 2u << 20;
/// The bytes on the wire of one-byte chunks whose body is below the limit.
constexpr std::size_t kSmallChunkBytes = 900'000;
constexpr Millis kSendTime{ 100 };

const std::string kPost = "POST /queue/0123456789abcdef HTTP/1.1\r\nHost: a\r\n";
const std::string kChunkedPost = kPost + "Transfer-Encoding: chunked\r\n\r\n";

std::string Repeat(const std::string& aText, std::size_t aBytes)
{
  std::string text;
  while (text.size() < aBytes) {
    text += aText;
  }
  return text;
}

} // namespace

std::vector<HostileScript> HostileScripts()
{
  const std::string largeChunk = "8000\r\n" + std::string(0x8000, 'a') + "\r\n";
  const std::string extendedChunk = "1;e=" + std::string(kBlockBytes, 'e') + "\r\na\r\n";
  const std::string field = "x: " + std::string(8'000, 'v') + "\r\n";
  const std::string request = "GET /queue/0123456789abcdef HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::string announced = kPost + "Content-Length: 4000000\r\n\r\n";
  return {
    { "large chunks", kChunkedPost, largeChunk, kMaxBodyBytes - 2 * largeChunk.size() },
    { "one-byte chunks", kChunkedPost, Repeat("1\r\na\r\n", kBlockBytes), kSmallChunkBytes },
    { "endless chunk extensions", kChunkedPost, extendedChunk, kFloodBytes },
    { "endless trailers", kChunkedPost + "1\r\na\r\n0\r\n", field, kFloodBytes },
    { "a long body that is sent", announced, std::string(kBlockBytes, 'a'), kFloodBytes },
    { "a long body that is only announced", announced, "" },
    { "headers without end", "GET / HTTP/1.1\r\n", field, kFloodBytes },
    { "a body at one byte a second",
      kPost + "Content-Length: 262144\r\n\r\n",
      "a",
      kMaxBodyBytes,
      Millis(1'000) },
    { "silent connections", "", "" },
    { "pipelined requests", "", Repeat(request, kBlockBytes), kFloodBytes },
    { "slow readers", "", Repeat(request, kBlockBytes), kFloodBytes, Millis(0), 4'096 },
    { "expectations without a body",
      kPost + "Content-Length: 262144\r\nExpect: 100-continue\r\n\r\n",
      "" },
  };
}

class HostileCrowd::Caller : public std::enable_shared_from_this<Caller>
{
public:
  Caller(asio::io_context& aContext, const HostileScript& aScript, std::size_t& aSentBytes)
    : m_socket(aContext)
    , m_timer(aContext)
    , m_script(aScript)
    , m_sentBytes(aSentBytes)
  {
  }

  void Connect(const asio::ip::tcp::endpoint& aServer)
  {
    asio::error_code ignored;
    m_socket.open(aServer.protocol(), ignored);
    if (m_script.m_receiveBufferBytes > 0) {
      m_socket.set_option(asio::socket_base::receive_buffer_size(m_script.m_receiveBufferBytes),
                          ignored);
    }
    m_socket.async_connect(aServer, [self = shared_from_this()](const asio::error_code& aError) {
      if (!aError) {
        self->Send(self->m_script.m_first);
      }
    });
  }

private:
  void Send(const std::string& aBytes)
  {
    asio::async_write(
      m_socket,
      asio::buffer(aBytes),
      [self = shared_from_this()](const asio::error_code& aError, std::size_t aLength) {
        self->m_sentBytes += aLength;
        if (!aError) {
          self->Repeat();
        }
      });
  }

  void Repeat()
  {
    if (m_repeatedBytes >= m_script.m_totalBytes) {
      return;
    }
    m_repeatedBytes += m_script.m_repeated.size();
    m_timer.expires_after(m_script.m_pause);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code& aError) {
      if (!aError) {
        self->Send(self->m_script.m_repeated);
      }
    });
  }

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  HostileScript m_script;
  std::size_t& m_sentBytes;
  std::size_t m_repeatedBytes = 0;
};

HostileCrowd::~HostileCrowd() = default;

void HostileCrowd::Open(const asio::ip::tcp::endpoint& aServer,
                        const std::vector<HostileScript>& aScripts,
                        std::size_t aConnections)
{
  for (std::size_t i = 0; i < aConnections; ++i) {
    m_callers.push_back(
      std::make_shared<Caller>(m_context, aScripts[i % aScripts.size()], m_sentBytes));
    m_callers.back()->Connect(aServer);
  }
}

bool HostileCrowd::SendSome()
{
  const std::size_t before = m_sentBytes;
  m_context.restart();
  m_context.run_for(kSendTime);
  return m_sentBytes > before;
}

} // namespace mustardtray::test
