#pragma once

/// The adapter to the platform: PlatformAccess over HTTP with JSON. Nothing outside of it knows the
/// platform's wire format.

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
  std::string m_url; ///< With scheme, IP number and port, without a path.
  Millis m_connectTimeout{ 500 };
  Millis m_readTimeout{ 2'000 };  ///< For reads, scans and VM lists.
  Millis m_writeTimeout{ 3'000 }; ///< For transactions and VM actions.
  Millis m_queueTimeout{ 2'000 }; ///< A call that waited longer for its turn is not made.
  std::size_t m_maxInFlight = 16;
  std::size_t m_maxQueued = 256; ///< Calls that may wait for their turn.
  std::uint64_t m_maxAnswerBytes = 64u << 20;
  std::string m_caFile; ///< For https: certificate authority to trust.
};

/// Numbers for metrics, since the start.
struct PlatformClientCounts
{
  std::uint64_t m_calls = 0;
  std::uint64_t m_failed = 0; ///< Ended with an Error of any kind.
  std::uint64_t m_unknown = 0;
  std::uint64_t m_bytesSent = 0;
  std::uint64_t m_bytesReceived = 0;
};

/// Callbacks come on the io_context's thread, never inside the call, and never after the client is
/// gone.
///
/// Errors: Unavailable when the platform cannot be reached, says that it is down, or too many calls
/// wait: nothing was done. Unknown when a transaction or a VM action was sent and no whole answer
/// came. Invalid, NotFound and Conflict as the platform answered. A transaction whose checks fail
/// is no error: it is a Commit that is not committed.
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
