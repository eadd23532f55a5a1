#include "tests/soak/OrderFaults.h"

#include <utility>

namespace mustardtray::soak {

namespace {

constexpr int kMinDelayMs = 2'000;
constexpr int kMaxDelayMs = 12'000;
/// The lease of an order that is carried out sooner than this may still be valid.
constexpr int kShortDelayMs = 4'000;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

} // namespace

OrderFaults::OrderFaults(std::uint64_t aSeed)
  : m_random(aSeed)
{
}

void OrderFaults::Begin(std::set<std::string> aMachines,
                        OrderKinds aKinds,
                        int aLatePercent,
                        int aRefusedPercent)
{
  m_machines = std::move(aMachines);
  m_kinds = aKinds;
  m_latePercent = aLatePercent;
  m_refusedPercent = aRefusedPercent;
}

std::optional<OrderFault> OrderFaults::Draw(const std::string& aMachine, const std::string& aPath)
{
  if (!m_machines.contains(aMachine)) {
    return std::nullopt;
  }
  const OrderKinds kind = aPath == "/-/hold" ? OrderKinds::Grants : OrderKinds::Orders;
  const bool isAffected = m_kinds == OrderKinds::All || m_kinds == kind;
  if (isAffected && DrawNumber(1, 100) <= m_latePercent) {
    return DrawLate();
  }
  if (DrawNumber(1, 100) <= m_refusedPercent) {
    return DrawRefusal();
  }
  return std::nullopt;
}

int OrderFaults::DrawNumber(int aMin, int aMax)
{
  return std::uniform_int_distribution<int>(aMin, aMax)(m_random);
}

OrderFault OrderFaults::DrawLate()
{
  OrderFault fault;
  fault.m_response =
    DrawNumber(0, 1) == 0 ? OrderFault::Response::Reset : OrderFault::Response::None;
  const int maxDelayMs = DrawNumber(0, 1) == 0 ? kShortDelayMs : kMaxDelayMs;
  fault.m_delay = Millis(DrawNumber(kMinDelayMs, maxDelayMs));
  return fault;
}

OrderFault OrderFaults::DrawRefusal()
{
  OrderFault fault;
  switch (DrawNumber(0, 4)) {
    case 0:
      fault.m_response = OrderFault::Response::Reset;
      break;
    case 1:
      // Only the response is lost.
      fault.m_response = OrderFault::Response::Reset;
      fault.m_delay = Millis(0);
      break;
    case 2:
      fault.m_response = OrderFault::Response::None;
      break;
    default:
      fault.m_response = OrderFault::Response::Refusal;
      fault.m_status = DrawNumber(0, 1) == 0 ? kTooManyRequests : kServiceUnavailable;
  }
  return fault;
}

} // namespace mustardtray::soak
