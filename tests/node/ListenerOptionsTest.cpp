#include "node/ListenerOptions.h"

#include <doctest/doctest.h>

using namespace mustardtray;
using namespace mustardtray::node;

namespace {

std::size_t AllConnections(const platform::NodeSettings& aSettings)
{
  return MakeCallerListenerOptions(aSettings).m_maxConnections +
         MakePeerListenerOptions(aSettings).m_maxConnections +
         MakeReadyListenerOptions(aSettings).m_maxConnections;
}

} // namespace

TEST_CASE("The listeners together leave descriptors for outgoing calls")
{
  platform::NodeSettings settings;
  for (const std::size_t descriptors : { 400, 1'000, 4'100, 8'192 }) {
    settings.m_maxDescriptors = descriptors;
    CHECK(AllConnections(settings) <= descriptors * 4 / 5);
  }
}

TEST_CASE("Callers get a quarter of the node's memory, and no limit where it is not known")
{
  platform::NodeSettings settings;
  CHECK(MakeCallerListenerOptions(settings).m_callerLimits->m_maxHeldBytes == 0);
  settings.m_memoryMb = 160;
  CHECK(MakeCallerListenerOptions(settings).m_callerLimits->m_maxHeldBytes == 40u << 20);
  CHECK(MakeCallerListenerOptions(settings).m_maxConnections == 2'050);
  CHECK(MakeCallerListenerOptions(settings).m_maxBodyBytes == 262'144);
  CHECK(MakePeerListenerOptions(settings).m_maxBodyBytes == 8u << 20);
}

TEST_CASE("The limits of time are longer than what the configuration permits to callers")
{
  // header_timeout_ms is 3,000 and idle_timeout_ms is 15,000.
  const CallerLimits limits = *MakeCallerListenerOptions(platform::NodeSettings{}).m_callerLimits;
  CHECK(limits.m_headerTimeout > Millis(3'000));
  CHECK(limits.m_progressTimeout > Millis(15'000));
}
