#include "connection/RequestMeter.h"

#include <climits>

namespace mustardtray {

namespace {

constexpr int kPayloadTooLarge = 413;
/// RESTinio keeps an entry of 16 bytes for each chunk, in a vector that doubles its capacity.
constexpr std::size_t kChunkBytes = 32;
/// RESTinio allocates an announced body at once; other bodies double their capacity and leave the
/// former one to the heap.
constexpr std::size_t kChunkedBodyFactor = 2;
/// Two strings and a number for each header field, in a vector that doubles its capacity.
constexpr std::size_t kFieldBytes = 144;
/// A body of one-byte chunks has 6 bytes on the wire for each of its bytes. More than this is
/// caused by chunk extensions alone.
constexpr std::uint64_t kMaxWireFactor = 8;
constexpr std::uint64_t kWireAllowance = 1u << 20;

} // namespace

RequestMeter::RequestMeter()
{
  http_parser_init(&m_parser, HTTP_REQUEST);
}

const http_parser_settings& RequestMeter::Callbacks()
{
  static const http_parser_settings sCallbacks = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_message_begin = [](http_parser* aParser) {
      Self(aParser).BeginMessage();
      return 0;
    };
    const auto addHeaderBytes = [](http_parser* aParser, const char*, std::size_t aLength) {
      Self(aParser).m_headerBytes += aLength;
      return 0;
    };
    callbacks.on_url = addHeaderBytes;
    callbacks.on_header_value = addHeaderBytes;
    callbacks.on_header_field = [](http_parser* aParser, const char*, std::size_t aLength) {
      Self(aParser).m_headerBytes += aLength + kFieldBytes;
      return 0;
    };
    callbacks.on_headers_complete = [](http_parser* aParser) {
      RequestMeter& self = Self(aParser);
      self.m_part = Part::Body;
      const bool isAnnounced = aParser->content_length != ULLONG_MAX;
      return isAnnounced && aParser->content_length > self.m_maxBodyBytes ? -1 : 0;
    };
    callbacks.on_chunk_header = [](http_parser* aParser) {
      Self(aParser).m_bodyBytes += kChunkBytes;
      return 0;
    };
    callbacks.on_body = [](http_parser* aParser, const char*, std::size_t aLength) {
      return Self(aParser).AddBody(aLength, (aParser->flags & F_CHUNKED) != 0);
    };
    callbacks.on_message_complete = [](http_parser* aParser) {
      RequestMeter& self = Self(aParser);
      self.m_completeBytes += self.m_headerBytes + self.m_bodyBytes;
      self.BeginMessage();
      self.m_part = Part::None;
      return 0;
    };
    return callbacks;
  }();
  return sCallbacks;
}

void RequestMeter::BeginMessage()
{
  m_part = Part::Header;
  m_wireBytes = 0;
  m_contentBytes = 0;
  m_headerBytes = 0;
  m_bodyBytes = 0;
}

int RequestMeter::AddBody(std::size_t aBodyBytes, bool aIsChunked)
{
  m_contentBytes += aBodyBytes;
  m_bodyBytes += aBodyBytes * (aIsChunked ? kChunkedBodyFactor : 1);
  return m_contentBytes > m_maxBodyBytes ? -1 : 0;
}

bool RequestMeter::IsTooLong() const
{
  return m_wireBytes > kMaxWireFactor * m_maxBodyBytes + kWireAllowance;
}

int RequestMeter::Consume(const char* aBytes, std::size_t aLength, std::uint64_t aMaxBodyBytes)
{
  if (m_status != 0) {
    return m_status;
  }
  m_maxBodyBytes = aMaxBodyBytes;
  m_wireBytes += aLength;
  if (m_isSuspended) {
    m_bodyBytes += aLength;
  } else {
    m_parser.data = this;
    http_parser_execute(&m_parser, &Callbacks(), aBytes, aLength);
    const http_errno error = HTTP_PARSER_ERRNO(&m_parser);
    m_isSuspended = error != HPE_OK || m_parser.upgrade != 0;
    if (error == HPE_CB_headers_complete || error == HPE_CB_body) {
      m_status = kPayloadTooLarge;
    }
  }
  if (IsTooLong()) {
    m_status = kPayloadTooLarge;
  }
  return m_status;
}

void RequestMeter::OnResponse()
{
  m_completeBytes = 0;
  if (m_isSuspended) {
    // RESTinio parses what follows an upgrade that was not accepted as a new request.
    http_parser_init(&m_parser, HTTP_REQUEST);
    BeginMessage();
    m_part = Part::None;
    m_isSuspended = false;
  }
}

} // namespace mustardtray
