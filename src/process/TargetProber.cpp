#include "process/TargetProber.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

namespace mustardtray {

struct TargetProber::Connection : std::enable_shared_from_this<Connection>
{
  explicit Connection(asio::io_context& aContext)
    : m_socket(aContext)
    , m_timer(aContext)
  {
  }

  void Start(const asio::ip::tcp::endpoint& aEndpoint, Millis aTimeout)
  {
    m_timer.expires_after(aTimeout);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code& aError) {
      if (!aError) {
        self->Finish(false);
      }
    });
    m_socket.async_connect(aEndpoint, [self = shared_from_this()](const asio::error_code& aError) {
      self->Finish(!aError);
    });
  }

  void Finish(bool aIsReachable)
  {
    if (!m_callback) {
      return;
    }
    const auto callback = std::exchange(m_callback, nullptr);
    asio::error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
    callback(aIsReachable);
  }

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  std::function<void(bool)> m_callback;
};

void TargetProber::Probe(const ProbeTarget& aTarget,
                         Millis aTimeout,
                         std::function<void(bool)> aCallback)
{
  std::weak_ptr<Connection>& activeProbe = m_activeProbes[aTarget.m_name];
  if (!activeProbe.expired()) {
    return;
  }
  asio::error_code error;
  const asio::ip::address address = asio::ip::make_address(aTarget.m_address, error);
  if (error) {
    aCallback(false);
    return;
  }
  auto connection = std::make_shared<Connection>(m_context);
  connection->m_callback = std::move(aCallback);
  activeProbe = connection;
  connection->Start({ address, aTarget.m_port }, aTimeout);
}

} // namespace mustardtray
