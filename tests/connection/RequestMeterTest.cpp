#include "connection/RequestMeter.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace mustardtray;

namespace {

constexpr std::uint64_t kMaxBody = 1'000;
const std::string kHead = "POST /x HTTP/1.1\r\nHost: a\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";

int Consume(RequestMeter& aMeter, const std::string& aBytes)
{
  return aMeter.Consume(aBytes.data(), aBytes.size(), kMaxBody);
}

std::string WithBody(std::size_t aBytes)
{
  return kHead + "Content-Length: " + std::to_string(aBytes) + "\r\n\r\n" +
         std::string(aBytes, 'b');
}

} // namespace

TEST_CASE("RequestMeter refuses a body over the limit, announced or chunked, and none at the limit")
{
  CHECK(Consume(*std::make_unique<RequestMeter>(), WithBody(kMaxBody)) == 0);
  CHECK(Consume(*std::make_unique<RequestMeter>(), kHead + "Content-Length: 1001\r\n\r\n") == 413);
  RequestMeter chunked;
  CHECK(Consume(chunked, kChunkedHead + "3e8\r\n" + std::string(kMaxBody, 'b') + "\r\n") == 0);
  CHECK(Consume(chunked, "1\r\nb\r\n") == 413);
  CHECK_MESSAGE(Consume(chunked, "0\r\n\r\n") == 413, "a refusal stays");
}

TEST_CASE("RequestMeter counts the memory that many small chunks need, beyond their bytes")
{
  RequestMeter meter;
  Consume(meter, kChunkedHead);
  const std::size_t before = meter.HeldBytes();
  for (int i = 0; i < 500; ++i) {
    REQUIRE(Consume(meter, "1\r\nb\r\n") == 0);
  }
  CHECK(meter.HeldBytes() - before >= 500 * 32);
  CHECK(meter.CurrentPart() == RequestMeter::Part::Body);
}

TEST_CASE("RequestMeter refuses chunk extensions without end")
{
  RequestMeter meter;
  Consume(meter, kChunkedHead);
  int status = 0;
  for (int i = 0; i < 200 && status == 0; ++i) {
    status = Consume(meter, "1;e=" + std::string(50'000, 'e') + "\r\nb\r\n");
  }
  CHECK(status == 413);
}

TEST_CASE("RequestMeter counts a complete request until its response begins")
{
  RequestMeter meter;
  Consume(meter, WithBody(700));
  CHECK(meter.CurrentPart() == RequestMeter::Part::None);
  CHECK(meter.HeldBytes() > 700);
  Consume(meter, "GET /y HTT");
  CHECK(meter.CurrentPart() == RequestMeter::Part::Header);
  meter.OnResponse();
  CHECK(meter.HeldBytes() < 100);
}

TEST_CASE("RequestMeter finds a body over the limit also after a request for an upgrade")
{
  RequestMeter meter;
  Consume(meter, kHead + "Connection: Upgrade\r\nUpgrade: x\r\n\r\n");
  meter.OnResponse();
  CHECK(Consume(meter, WithBody(kMaxBody + 1)) == 413);
}

TEST_CASE("RequestMeter gives the same result however the bytes of a valid request are divided")
{
  // Guards against state that is lost or counted twice between two reads.
  std::mt19937 random(11);
  const std::string request =
    kChunkedHead + "5;e=f\r\nhello\r\n1\r\n.\r\n0\r\nt: v\r\n\r\n" + WithBody(300) + "GET /z HT";
  RequestMeter whole;
  Consume(whole, request);
  for (int round = 0; round < 300; ++round) {
    RequestMeter meter;
    for (std::size_t at = 0; at < request.size();) {
      const std::string part = request.substr(at, 1 + random() % 40);
      CHECK(Consume(meter, part) == 0);
      at += part.size();
    }
    CHECK(meter.CurrentPart() == whole.CurrentPart());
    // A field that is divided counts once more.
    CHECK(meter.HeldBytes() >= whole.HeldBytes());
  }
}

TEST_CASE("RequestMeter takes any bytes and never holds more than it was given justifies")
{
  // Fuzz target: mutations of a small corpus of valid and hostile requests.
  const std::vector<std::string> corpus{
    WithBody(40),
    kChunkedHead + "5;e=f\r\nhello\r\n1\r\n.\r\n0\r\nt: v\r\n\r\n",
    kHead + "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
    kHead + "Content-Length: 18446744073709551615\r\n\r\n",
    kChunkedHead + "ffffffffffffffff\r\na",
    kHead + "Connection: Upgrade\r\nUpgrade: x\r\n\r\n" + WithBody(40),
    "GET / HTTP/1.0\r\n\r\nGET / HTTP/1.1\r\nx:\r\n y\r\n\r\n",
  };
  constexpr std::size_t kMostPerByte = 200; // A header field of two bytes counts 145.
  std::mt19937 random(7);
  for (int round = 0; round < 20'000; ++round) {
    RequestMeter meter;
    std::size_t given = 0;
    for (int part = 0; part < 3; ++part) {
      std::string bytes = corpus[random() % corpus.size()];
      for (std::size_t i = random() % 4; i > 0 && !bytes.empty(); --i) {
        const std::size_t at = random() % bytes.size();
        if (random() % 2 == 0) {
          bytes[at] = static_cast<char>(random());
        } else {
          bytes.erase(at, 1 + random() % 8);
        }
      }
      given += bytes.size();
      const int status = Consume(meter, bytes);
      const bool isKnownStatus = status == 0 || status == 413;
      CHECK(isKnownStatus);
      CHECK(meter.HeldBytes() <= given * kMostPerByte);
      if (random() % 2 == 0) {
        meter.OnResponse();
      }
    }
  }
}
