#pragma once

/// Typed errors with the step that failed and the peer involved.

#include <string>
#include <utility>

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>

#include "mustardtray/process/EnumNames.h"

namespace mustardtray {

/// Kind of an error, by which the caller decides how to proceed.
enum class ErrorKind
{
  Invalid,     ///< The input is invalid; a retry fails again.
  NotFound,    ///< The named object does not exist.
  Conflict,    ///< A precondition of a write failed; nothing was written.
  Unavailable, ///< The peer could not be reached; nothing was sent or done.
  Refused,     ///< The peer responded that it did not carry out the request.
  Unknown,     ///< The peer may or may not have carried out the request.
  Internal,    ///< A fault of this process.
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
  std::string m_step;    ///< The operation that failed, as "verb object".
  std::string m_peer;    ///< Address or name of the other side; empty when local.
  std::string m_message; ///< What went wrong.

  /// One line: "step at peer: message".
  std::string Text() const
  {
    const std::string place = m_peer.empty() ? m_step : m_step + " at " + m_peer;
    return place + ": " + m_message;
  }
};

/// A value or an Error. Accessing the one that is not present terminates the process.
template<typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

} // namespace mustardtray
