#pragma once

/// Typed errors that carry the step and the peer at which they arose.

#include <string>
#include <utility>

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>

#include "mustardtray/process/EnumNames.h"

namespace mustardtray {

/// What an error means to whoever has to decide what to do next.
enum class ErrorKind
{
  Invalid,     ///< The input is wrong; the same input fails again.
  NotFound,    ///< The named object does not exist.
  Conflict,    ///< A checked write lost a race; nothing was written.
  Unavailable, ///< The peer could not be reached; nothing was sent or done.
  Refused,     ///< The peer answered that it did not do it.
  Unknown,     ///< The peer may or may not have done it.
  Internal,    ///< This process failed.
};

template<>
struct EnumNames<ErrorKind>
{
  static constexpr std::array kTable{
    std::pair{ ErrorKind::Invalid, std::string_view("invalid") },
    std::pair{ ErrorKind::NotFound, std::string_view("not-found") },
    std::pair{ ErrorKind::Conflict, std::string_view("conflict") },
    std::pair{ ErrorKind::Unavailable, std::string_view("unavailable") },
    std::pair{ ErrorKind::Refused, std::string_view("refused") },
    std::pair{ ErrorKind::Unknown, std::string_view("unknown") },
    std::pair{ ErrorKind::Internal, std::string_view("internal") },
  };
};

struct Error
{
  ErrorKind m_kind = ErrorKind::Internal;
  std::string m_step;    ///< What was being done, as "verb object".
  std::string m_peer;    ///< Address or name of the other side; empty when local.
  std::string m_message; ///< What went wrong.

  /// One readable line: "step at peer: message".
  std::string Text() const
  {
    const std::string place = m_peer.empty() ? m_step : m_step + " at " + m_peer;
    return place + ": " + m_message;
  }
};

/// A value or an Error. Reading the wrong side is a programming error and terminates.
template<typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

} // namespace mustardtray
