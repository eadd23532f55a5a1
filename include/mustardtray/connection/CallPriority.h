#pragma once

/// Order in which calls are sent when they want more than the link gives.

#include <array>
#include <string_view>
#include <utility>

#include "mustardtray/process/EnumNames.h"

namespace mustardtray {

enum class CallPriority
{
  Immediate, ///< Never waits: small calls, and those that leases and the configuration depend on.
  High,
  Normal,
  Low,
};

template<>
struct EnumNames<CallPriority>
{
  static constexpr std::array kTable{
    std::pair{ CallPriority::Immediate, std::string_view("immediate") },
    std::pair{ CallPriority::High, std::string_view("high") },
    std::pair{ CallPriority::Normal, std::string_view("normal") },
    std::pair{ CallPriority::Low, std::string_view("low") },
  };
};

} // namespace mustardtray
