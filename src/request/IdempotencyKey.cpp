#include "mustardtray/request/IdempotencyKey.h"

#include <xxhash.h>

namespace mustardtray {

namespace {

constexpr std::size_t kTextLength = 36;
constexpr std::string_view kHexDigits = "0123456789abcdef";

bool IsHyphenPosition(std::size_t aPosition)
{
  return aPosition == 8 || aPosition == 13 || aPosition == 18 || aPosition == 23;
}

/// Value of a hexadecimal digit, or -1.
int HexValue(char aCharacter)
{
  if (aCharacter >= '0' && aCharacter <= '9') {
    return aCharacter - '0';
  }
  if (aCharacter >= 'a' && aCharacter <= 'f') {
    return aCharacter - 'a' + 10;
  }
  if (aCharacter >= 'A' && aCharacter <= 'F') {
    return aCharacter - 'A' + 10;
  }
  return -1;
}

Error MalformedKeyError(std::string aMessage)
{
  return Error{ ErrorKind::Invalid, "parse Idempotency-Key", "", std::move(aMessage) };
}

std::string_view StripQuotes(std::string_view aText)
{
  if (aText.size() >= 2 && aText.front() == '"' && aText.back() == '"') {
    return aText.substr(1, aText.size() - 2);
  }
  return aText;
}

} // namespace

WallTime IdempotencyKey::MintTime() const
{
  std::int64_t millis = 0;
  for (std::size_t i = 0; i < 6; ++i) {
    millis = millis << 8 | m_bytes[i];
  }
  return WallTime(Millis(millis));
}

std::uint64_t IdempotencyKey::Hash() const
{
  return XXH3_64bits(m_bytes.data(), m_bytes.size());
}

std::string IdempotencyKey::Text() const
{
  std::string text;
  text.reserve(kTextLength);
  for (const std::uint8_t byte : m_bytes) {
    if (IsHyphenPosition(text.size())) {
      text += '-';
    }
    text += kHexDigits[byte >> 4];
    text += kHexDigits[byte & 15];
  }
  return text;
}

Result<IdempotencyKey> ParseIdempotencyKey(std::string_view aText)
{
  const std::string_view text = StripQuotes(aText);
  if (text.size() != kTextLength) {
    return MalformedKeyError("not a UUID: expected 36 characters, found " +
                             std::to_string(text.size()));
  }
  IdempotencyKey key;
  std::size_t digits = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (IsHyphenPosition(i)) {
      if (text[i] != '-') {
        return MalformedKeyError("not a UUID: expected a hyphen at position " + std::to_string(i));
      }
      continue;
    }
    const int value = HexValue(text[i]);
    if (value < 0) {
      return MalformedKeyError("not a UUID: expected a hexadecimal digit at position " +
                               std::to_string(i));
    }
    std::uint8_t& byte = key.m_bytes[digits / 2];
    byte = static_cast<std::uint8_t>(byte << 4 | value);
    ++digits;
  }
  if (key.m_bytes[6] >> 4 != 7) {
    return MalformedKeyError("not a UUID of version 7, which carries its mint time");
  }
  if (key.m_bytes[8] >> 6 != 2) {
    return MalformedKeyError("not a UUID of the RFC 9562 variant");
  }
  return key;
}

IdempotencyKey MintIdempotencyKey(WallTime aNow,
                                  std::uint64_t aRandomHigh,
                                  std::uint64_t aRandomLow)
{
  IdempotencyKey key;
  const std::int64_t millis = aNow.time_since_epoch().count();
  for (std::size_t i = 0; i < 6; ++i) {
    key.m_bytes[i] = static_cast<std::uint8_t>(millis >> (40 - 8 * i));
  }
  key.m_bytes[6] = static_cast<std::uint8_t>(0x70 | (aRandomHigh >> 8 & 0x0f));
  key.m_bytes[7] = static_cast<std::uint8_t>(aRandomHigh);
  for (std::size_t i = 0; i < 8; ++i) {
    key.m_bytes[8 + i] = static_cast<std::uint8_t>(aRandomLow >> (56 - 8 * i));
  }
  key.m_bytes[8] = static_cast<std::uint8_t>(0x80 | (key.m_bytes[8] & 0x3f));
  return key;
}

std::uint64_t RequestFingerprint(const HttpRequest& aRequest)
{
  std::uint64_t hash = 0;
  for (const std::string* part :
       { &aRequest.m_method, &aRequest.m_path, &aRequest.m_query, &aRequest.m_body }) {
    hash = XXH3_64bits_withSeed(part->data(), part->size(), hash);
  }
  return hash;
}

} // namespace mustardtray
