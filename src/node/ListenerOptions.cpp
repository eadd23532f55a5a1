#include "node/ListenerOptions.h"

#include <algorithm>

#include "mustardtray/job/Deployment.h"

namespace mustardtray::node {

namespace {

constexpr Millis kIdleTimeout{ 60'000 };
/// Above `idle_timeout_ms` of the configuration (15 s) and `header_timeout_ms` (3 s), so that no
/// caller within these limits is closed.
constexpr Millis kProgressTimeout{ 20'000 };
constexpr Millis kHeaderTimeout{ 10'000 };
// Parts of the descriptors. The rest, about a fifth, is for outgoing calls.
constexpr std::size_t kCallerDescriptorDivisor = 2;
constexpr std::size_t kPeerDescriptorDivisor = 4;
constexpr std::size_t kReadyDescriptorDivisor = 32;
constexpr std::size_t kMinConnections = 16;
// Parts of the memory for requests and responses in progress.
constexpr std::size_t kCallerMemoryDivisor = 4;
constexpr std::size_t kPeerMemoryDivisor = 8;
constexpr std::size_t kReadyMemoryDivisor = 64;
/// A body of 262,144 one-byte chunks counts as 8.9 MB.
constexpr std::size_t kMinCallerBytes = 12u << 20;
constexpr std::size_t kMinOtherBytes = 1u << 20;
/// Of an open connection without a request: a read buffer of 8 KB, the parser and the connection.
constexpr std::size_t kConnectionBytes = 16u << 10;
constexpr std::uint64_t kMaxPeerMessageBytes = 8u << 20;
constexpr std::uint64_t kMaxReadyBodyBytes = 4'096;

struct Share
{
  const char* m_listener;
  std::size_t m_descriptorDivisor;
  std::size_t m_memoryDivisor;
  std::size_t m_minBytes;
};

HttpServerOptions MakeOptions(const platform::NodeSettings& aSettings, const Share& aShare)
{
  HttpServerOptions options;
  options.m_readTimeout = kIdleTimeout;
  options.m_maxConnections =
    std::max(aSettings.m_maxDescriptors / aShare.m_descriptorDivisor, kMinConnections);
  CallerLimits limits;
  limits.m_listener = aShare.m_listener;
  limits.m_progressTimeout = kProgressTimeout;
  limits.m_headerTimeout = kHeaderTimeout;
  if (aSettings.m_memoryMb > 0) {
    limits.m_maxHeldBytes =
      std::max((aSettings.m_memoryMb << 20) / aShare.m_memoryDivisor, aShare.m_minBytes);
    options.m_maxConnections =
      std::min(options.m_maxConnections,
               std::max(limits.m_maxHeldBytes / kConnectionBytes, kMinConnections));
  }
  options.m_callerLimits = limits;
  options.m_trafficName = aShare.m_listener;
  return options;
}

} // namespace

HttpServerOptions MakeCallerListenerOptions(const platform::NodeSettings& aSettings)
{
  HttpServerOptions options = MakeOptions(
    aSettings, { "callers", kCallerDescriptorDivisor, kCallerMemoryDivisor, kMinCallerBytes });
  options.m_address = aSettings.m_callerListener.m_ip;
  options.m_port = aSettings.m_callerListener.m_port;
  options.m_maxBodyBytes = job::Deployment{}.m_maxBodyBytes;
  return options;
}

HttpServerOptions MakePeerListenerOptions(const platform::NodeSettings& aSettings)
{
  HttpServerOptions options =
    MakeOptions(aSettings, { "peers", kPeerDescriptorDivisor, kPeerMemoryDivisor, kMinOtherBytes });
  options.m_address = aSettings.m_ip;
  options.m_port = aSettings.m_firstPeerPort;
  options.m_isTrafficSplitByPath = true;
  const std::size_t heldBytes = options.m_callerLimits->m_maxHeldBytes;
  options.m_maxBodyBytes =
    heldBytes > 0 ? std::min<std::uint64_t>(kMaxPeerMessageBytes, heldBytes) : kMaxPeerMessageBytes;
  return options;
}

HttpServerOptions MakeReadyListenerOptions(const platform::NodeSettings& aSettings)
{
  HttpServerOptions options = MakeOptions(
    aSettings, { "readiness", kReadyDescriptorDivisor, kReadyMemoryDivisor, kMinOtherBytes });
  options.m_address = aSettings.m_readyListener.m_ip;
  options.m_port = aSettings.m_readyListener.m_port;
  options.m_maxBodyBytes = kMaxReadyBodyBytes;
  return options;
}

} // namespace mustardtray::node
