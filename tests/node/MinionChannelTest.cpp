#include "node/MinionChannel.h"

#include <vector>

#include <doctest/doctest.h>

#include "node/NodeContext.h"

using namespace mustardtray;
using namespace mustardtray::node;
using job::OrderResult;

namespace {

struct MinionChannelFixture
{
  void Order(Millis aTime = Millis(1'000))
  {
    m_channel.Send({ LeaseClockNow() + aTime,
                     [this](const Connections&, platform::MinionClient::OrderCallback aDone) {
                       m_sent.push_back(std::move(aDone));
                     },
                     [this](const platform::OrderResponse& aResponse) {
                       m_results.push_back(aResponse.m_result);
                     } });
  }

  /// Answers the oldest order without an answer.
  void Answer(OrderResult aResult, std::uint64_t aConnection, bool aLacksConnection = false)
  {
    REQUIRE_FALSE(m_sent.empty());
    const auto done = m_sent.front();
    m_sent.erase(m_sent.begin());
    platform::OrderResponse response;
    response.m_result = aResult;
    response.m_connection = aConnection;
    response.m_lacksConnection = aLacksConnection;
    done(response);
  }

  int m_connects = 0;
  std::vector<platform::MinionClient::OrderCallback> m_sent;
  std::vector<OrderResult> m_results;
  MinionChannel m_channel{ [this] { ++m_connects; } };
};

} // namespace

TEST_CASE_FIXTURE(MinionChannelFixture, "an order waits until the minion has listed its runs")
{
  Order();
  CHECK(m_sent.empty());
  CHECK(m_connects == 1);
  SUBCASE("it lists them")
  {
    m_channel.OnListed(7, true);
    REQUIRE(m_sent.size() == 1);
    CHECK(m_channel.Known()->Contains(7));
    Answer(OrderResult::Started, 7);
    CHECK(m_results == std::vector{ OrderResult::Started });
  }
  SUBCASE("it does not answer")
  {
    m_channel.OnConnectFailed();
    CHECK(m_sent.empty());
    CHECK(m_results == std::vector{ OrderResult::NotSent });
  }
}

TEST_CASE_FIXTURE(MinionChannelFixture, "an order that has waited too long is not sent")
{
  Order(Millis(-1));
  m_channel.OnListed(7, true);
  CHECK(m_sent.empty());
  CHECK(m_results == std::vector{ OrderResult::NotSent });
}

TEST_CASE_FIXTURE(MinionChannelFixture, "orders beyond the known connections open further ones")
{
  m_channel.OnListed(7, false); // Stays free for the extension of leases.
  Order();
  CHECK(m_sent.empty());
  CHECK(m_connects == 1);
  m_channel.OnListed(8, true);
  CHECK(m_sent.size() == 1);
  CHECK(m_channel.HasFreeConnection());
  Order();
  CHECK(m_sent.size() == 1);
  CHECK(m_connects == 2);
  Answer(OrderResult::Started, 8);
  CHECK(m_sent.size() == 1);
}

TEST_CASE_FIXTURE(MinionChannelFixture, "an order is sent again when no known connection was free")
{
  m_channel.OnListed(6, false);
  m_channel.OnListed(7, true);
  Order();
  Answer(OrderResult::NotSent, 0, true);
  CHECK(m_results.empty());
  CHECK(m_connects == 1);
  CHECK_FALSE(m_channel.HasFreeConnection());
  m_channel.OnListed(9, true);
  CHECK(m_sent.size() == 1);
}

// Guards against orders to a later incarnation: the answer of the former one arrives late.
TEST_CASE_FIXTURE(MinionChannelFixture, "an answer from before a restart makes no connection known")
{
  m_channel.OnListed(6, false);
  m_channel.OnListed(7, true);
  Order();
  m_channel.OnRestarted();
  Answer(OrderResult::Started, 7);
  CHECK(m_channel.Known()->IsEmpty());
}

// Guards against orders to a later incarnation: they were decided for the former one.
TEST_CASE_FIXTURE(MinionChannelFixture, "an order that waits at a restart is not sent")
{
  Order();
  m_channel.OnRestarted();
  m_channel.OnListed(8, true);
  CHECK(m_sent.empty());
  CHECK(m_results == std::vector{ OrderResult::NotSent });
}

TEST_CASE_FIXTURE(MinionChannelFixture, "a call for a former incarnation gets no new connection")
{
  m_channel.OnListed(7, true);
  const Connections former = m_channel.Known();
  m_channel.OnRestarted();
  m_channel.OnListed(8, true);
  CHECK(former->IsEmpty());
}

// Guards against leases that lapse while orders have no answer.
TEST_CASE_FIXTURE(MinionChannelFixture, "orders on lost connections leave new ones free")
{
  m_channel.OnListed(6, false);
  m_channel.OnListed(7, true);
  Order();
  m_channel.OnLacksConnection();
  m_channel.OnListed(9, false);
  CHECK(m_channel.HasFreeConnection());
  Answer(OrderResult::NoAnswer, 0);
  CHECK(m_channel.HasFreeConnection());
}
