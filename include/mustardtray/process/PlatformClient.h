#pragma once

/// The adapter to the platform: implements PlatformAccess with JSON over HTTP. No other part knows
/// the platform's wire format.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "mustardtray/connection/HttpClient.h"
#include "mustardtray/process/Platform.h"
#include "mustardtray/process/Time.h"

namespace mustardtray {

struct PlatformClientOptions
{
  std::string m_url; ///< Scheme, IP address and port, without a path.
  Millis m_connectTimeout{ 500 };
  Millis m_readTimeout{ 2'000 };  ///< For reads, scans and VM lists.
  Millis m_writeTimeout{ 3'000 }; ///< For transactions and VM actions.
  Millis m_queueTimeout{ 2'000 }; ///< A call that was queued for longer fails.
  std::size_t m_maxInFlight = 16;
  std::size_t m_maxQueued = 256; ///< Maximum number of queued calls.
  std::uint64_t m_maxAnswerBytes = 64u << 20;
  std::string m_caFile; ///< For https: file of the trusted certificate authority.
};

/// Counters since the start, for metrics.
struct PlatformClientCounts
{
  std::uint64_t m_calls = 0;
  std::uint64_t m_failed = 0; ///< Calls that ended with an Error of any kind.
  std::uint64_t m_unknown = 0;
  std::uint64_t m_bytesSent = 0;
  std::uint64_t m_bytesReceived = 0;
};

/// Callbacks run on the io_context's thread, never inside the call and never after the client was
/// destroyed.
///
/// Errors: Unavailable when the platform cannot be reached or reports that it is down, or when too
/// many calls are queued; nothing was done then. Unknown when a transaction or a VM action was sent
/// and no complete response came. Invalid, NotFound and Conflict according to the platform's
/// response. A transaction whose checks fail is no error: it returns a Commit that is not
/// committed.
class PlatformClient
{
public:
  /// Uses aHttp, which must outlive the client and run on aContext.
  PlatformClient(asio::io_context& aContext, HttpClient& aHttp, PlatformClientOptions aOptions);
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  void Transact(const Transaction& aTransaction, Callback<Commit> aCallback);
  void Read(const std::vector<std::string>& aKeys, Callback<std::vector<Row>> aCallback);
  void Scan(const std::string& aPrefix, std::uint64_t aSince, Callback<ScanPage> aCallback);
  void ListVms(Callback<std::vector<VmListing>> aCallback);
  void RunVmAction(const VmActionRequest& aRequest, Callback<ActionState> aCallback);

  PlatformClientCounts Counts() const;

private:
  class Implementation;
  std::shared_ptr<Implementation> m_implementation;
};

static_assert(PlatformAccess<PlatformClient>);

} // namespace mustardtray
