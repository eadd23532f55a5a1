#include "mustardtray/process/OperatorListener.h"

#include <filesystem>
#include <fstream>

#include <unistd.h>

#include <doctest/doctest.h>

#include "mustardtray/connection/HttpClient.h"
#include "tests/support/OperatorServer.h"

using namespace mustardtray;

namespace {

/// A token file that is removed at the end of the test.
class TokenFile
{
public:
  TokenFile()
    : m_path(std::filesystem::temp_directory_path() /
             ("mustardtray-token-" + std::to_string(::getpid())))
  {
  }
  ~TokenFile() { std::filesystem::remove(m_path); }

  void Write(const std::string& aToken, int aSecond)
  {
    std::ofstream(m_path) << aToken << "\n";
    std::filesystem::last_write_time(
      m_path, std::filesystem::file_time_type(std::chrono::seconds(aSecond)));
  }
  std::string Path() const { return m_path.string(); }

private:
  std::filesystem::path m_path;
};

int FetchStatus(const std::string& aUrl, const std::string& aToken, const std::string& aPath)
{
  HttpCall call;
  call.m_url = aUrl + aPath;
  if (!aToken.empty()) {
    call.m_headers.push_back({ "Authorization", "Bearer " + aToken });
  }
  const HttpCallResult result = CallAndWait(std::move(call));
  REQUIRE(result.has_value());
  return result.value().m_status;
}

HttpRequest RequestWithToken(const std::string& aToken)
{
  HttpRequest request;
  request.m_headers.push_back({ "authorization", "Bearer " + aToken });
  return request;
}

} // namespace

TEST_CASE("Operators' listener needs certificate, key and token for a non-loopback address")
{
  OperatorSettings settings;
  CHECK_FALSE(CheckOperatorAccess(settings).has_error());
  settings.m_listen.m_address = "0.0.0.0";
  CHECK(CheckOperatorAccess(settings).has_error());
  settings.m_tokenFile = "token";
  settings.m_certificateFile = "certificate";
  CHECK(CheckOperatorAccess(settings).has_error());
  settings.m_keyFile = "key";
  CHECK_FALSE(CheckOperatorAccess(settings).has_error());
}

TEST_CASE(
  "Only requests with the token are allowed, and a new token takes effect without a restart")
{
  TokenFile file;
  file.Write("first", 1'000);
  BearerToken token(file.Path());
  REQUIRE_FALSE(token.Reload().has_error());
  CHECK(token.Allows(RequestWithToken("first")));
  CHECK_FALSE(token.Allows(RequestWithToken("firs")));
  CHECK_FALSE(token.Allows(RequestWithToken("wrong")));
  CHECK_FALSE(token.Allows(HttpRequest{}));
  file.Write("second", 2'000);
  REQUIRE_FALSE(token.Reload().has_error());
  CHECK_FALSE(token.Allows(RequestWithToken("first")));
  CHECK(token.Allows(RequestWithToken("second")));
  file.Write("", 3'000);
  CHECK(token.Reload().has_error());
  CHECK(token.Allows(RequestWithToken("second"))); // The previous token stays valid.
}

TEST_CASE("A request without a valid token is rejected before routing")
{
  TokenFile file;
  file.Write("secret", 1'000);
  test::OperatorServer server(file.Path());
  REQUIRE(server.HasStarted());
  CHECK(FetchStatus(server.Url(), "", "/operator/status") == 401);
  CHECK(FetchStatus(server.Url(), "wrong", "/operator/apply") == 401);
  CHECK(FetchStatus(server.Url(), "secret", "/operator/status") == 200);
  CHECK(FetchStatus(server.Url(), "secret", "/operator/none") == 404);
  CHECK(FetchStatus(server.Url(), "secret", "/operator/apply") == 405);
  CHECK(FetchStatus(server.Url(), "secret", "/operator/operation?id=none") == 404);
  CHECK(FetchStatus(server.Url(), "secret", "/operator/explain?kind=vm&name=x") == 503);
}
