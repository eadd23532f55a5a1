#include "mustardtray/connection/HttpMessage.h"

#include <algorithm>
#include <cctype>

namespace mustardtray {

namespace {

int HexDigitValue(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  const char lower = static_cast<char>(std::tolower(static_cast<unsigned char>(aDigit)));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string PercentDecode(std::string_view aText)
{
  std::string decoded;
  decoded.reserve(aText.size());
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const bool isEscape = aText[i] == '%' && i + 2 < aText.size() &&
                          HexDigitValue(aText[i + 1]) >= 0 && HexDigitValue(aText[i + 2]) >= 0;
    if (isEscape) {
      decoded += static_cast<char>(HexDigitValue(aText[i + 1]) * 16 + HexDigitValue(aText[i + 2]));
      i += 2;
    } else {
      decoded += aText[i] == '+' ? ' ' : aText[i];
    }
  }
  return decoded;
}

} // namespace

bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aOne, char aOther) {
      return std::tolower(static_cast<unsigned char>(aOne)) ==
             std::tolower(static_cast<unsigned char>(aOther));
    });
}

const std::string* FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (EqualsIgnoringCase(header.m_name, aName)) {
      return &header.m_value;
    }
  }
  return nullptr;
}

std::optional<std::string> HttpRequest::QueryValue(std::string_view aName) const
{
  std::string_view remaining = m_query;
  while (!remaining.empty()) {
    const std::string_view pair = remaining.substr(0, remaining.find('&'));
    remaining.remove_prefix(std::min(remaining.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == aName) {
      return equals == std::string_view::npos ? std::string()
                                              : PercentDecode(pair.substr(equals + 1));
    }
  }
  return std::nullopt;
}

HttpResponse JsonResponse(int aStatus, std::string aJsonText)
{
  return { aStatus, { { "Content-Type", "application/json" } }, std::move(aJsonText) };
}

} // namespace mustardtray
