#pragma once

/// Follows the bytes that a connection receives and estimates the memory that the requests in them
/// need. RESTinio parses the same bytes, but does not tell how much it holds for a request that is
/// not complete. Performs no I/O.

#include <cstddef>
#include <cstdint>

#include <http_parser.h>

namespace mustardtray {

class RequestMeter
{
public:
  enum class Part
  {
    None, ///< No request has begun.
    Header,
    Body,
  };

  RequestMeter();

  /// Returns the status with which the request must be refused, or 0. Bytes after a refusal are
  /// ignored.
  int Consume(const char* aBytes, std::size_t aLength, std::uint64_t aMaxBodyBytes);
  /// Called when the response to the complete request begins, which ends its memory.
  void OnResponse();

  /// Part of the incomplete request that is being received.
  Part CurrentPart() const { return m_part; }
  /// Estimated memory of the complete requests without a response and of the incomplete one.
  std::size_t HeldBytes() const { return m_completeBytes + m_headerBytes + m_bodyBytes; }

private:
  static const http_parser_settings& Callbacks();
  static RequestMeter& Self(http_parser* aParser)
  {
    return *static_cast<RequestMeter*>(aParser->data);
  }
  void BeginMessage();
  int AddBody(std::size_t aBodyBytes, bool aIsChunked);
  bool IsTooLong() const;

  http_parser m_parser{};
  Part m_part = Part::None;
  /// The parser cannot go on: an error, which RESTinio's parser finds as well, or an upgrade.
  bool m_isSuspended = false;
  int m_status = 0;
  std::uint64_t m_maxBodyBytes = 0;
  std::uint64_t m_wireBytes = 0;    ///< Of the incomplete request, with chunk heads and trailers.
  std::uint64_t m_contentBytes = 0; ///< Of its body.
  std::size_t m_headerBytes = 0;    ///< Estimated memory of its header.
  std::size_t m_bodyBytes = 0;      ///< Estimated memory of its body.
  std::size_t m_completeBytes = 0;
};

} // namespace mustardtray
