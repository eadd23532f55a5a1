#include "node/LinkLoad.h"

#include <doctest/doctest.h>

#include "tests/node/NodeFixture.h"

using namespace mustardtray;
using namespace mustardtray::node;

TEST_CASE("other nodes are told to ask first while a third of the link is used")
{
  constexpr double kLinkBytesPerSecond = 250'000.0;
  constexpr std::uint64_t kBytesPerRound = 10'000; // In 50 ms: 0.8 of the link.
  asio::io_context io;
  TimerService timers(io);
  platform::NodeSettings settings;
  std::uint64_t bytes = kBytesPerRound;
  bool isAskedFirst = true;
  SUBCASE("a loaded link")
  {
    settings.m_linkBytesPerSecond = kLinkBytesPerSecond;
  }
  SUBCASE("a link that is hardly used")
  {
    settings.m_linkBytesPerSecond = kLinkBytesPerSecond;
    bytes = kBytesPerRound / 10;
    isAskedFirst = false;
  }
  SUBCASE("a link of unknown speed")
  {
    isAskedFirst = false;
  }
  NodeFixture node(io, timers, settings);
  const LinkLoad load(node.m_context);
  CHECK(load.AskFirstTime() == Millis{ 0 });
  for (int round = 0; round < 20; ++round) {
    node.m_http.Traffic().Add("read", 0, bytes);
    io.run_for(Millis(50));
  }
  CHECK((load.AskFirstTime() > Millis{ 0 }) == isAskedFirst);
  io.run_for(Millis(5'000));
  CHECK(load.AskFirstTime() == Millis{ 0 });
}
