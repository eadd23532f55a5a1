#include "mustardtray/request/IdempotencyKey.h"

#include <doctest/doctest.h>

using namespace mustardtray;

TEST_CASE("IdempotencyKey parses a version 7 UUID and its mint time")
{
  const auto key = ParseIdempotencyKey("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
  REQUIRE(key);
  CHECK(key.value().MintTime() == WallTime(Millis(1645557742000)));
  CHECK(key.value().Text() == "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
  CHECK(ParseIdempotencyKey("\"017f22e2-79b0-7cc3-98c4-dc0c0c07398f\"").value() == key.value());
}

TEST_CASE("ParseIdempotencyKey reports the error in a malformed key")
{
  const auto message = [](const char* aText) {
    return ParseIdempotencyKey(aText).error().m_message;
  };
  CHECK(message("") == "not a UUID: expected 36 characters, found 0");
  CHECK(message("017f22e2079b0-7cc3-98c4-dc0c0c07398f").find("hyphen at position 8") !=
        std::string::npos);
  CHECK(message("017f22e2-79b0-7cc3-98c4-dc0c0c07398g").find("digit at position 35") !=
        std::string::npos);
  CHECK(message("017f22e2-79b0-4cc3-98c4-dc0c0c07398f").find("version 7") != std::string::npos);
  CHECK(message("017f22e2-79b0-7cc3-18c4-dc0c0c07398f").find("variant") != std::string::npos);
}

TEST_CASE("MintIdempotencyKey creates a valid key that sorts by its mint time")
{
  const WallTime now(Millis(1800000000123));
  const IdempotencyKey key = MintIdempotencyKey(now, ~0ull, ~0ull);
  CHECK(key.MintTime() == now);
  CHECK(ParseIdempotencyKey(key.Text()).value() == key);
  CHECK(key < MintIdempotencyKey(now + Millis(1), 0, 0));
}

TEST_CASE("RequestFingerprint depends on each part of the request")
{
  const HttpRequest request{ "POST", "/book", "a=1", {}, "body", "" };
  HttpRequest other = request;
  CHECK(RequestFingerprint(request) == RequestFingerprint(other));
  other.m_body = "bodY";
  CHECK(RequestFingerprint(request) != RequestFingerprint(other));
  other = request;
  other.m_path = "/booka";
  other.m_query = "=1";
  CHECK(RequestFingerprint(request) != RequestFingerprint(other));
}
