#include "mustardtray/process/EventLoop.h"

#include <stdexcept>

#include <asio/post.hpp>
#include <doctest/doctest.h>

using namespace mustardtray;

TEST_CASE("an unexpected error ends one handler and not the event loop")
{
  asio::io_context context;
  int handled = 0;
  asio::post(context, [&] { ++handled; });
  asio::post(context, [] { throw std::out_of_range("malformed message"); });
  asio::post(context, [&] { ++handled; });
  CHECK(RunEventLoop(context, 2));
  CHECK(handled == 2);
}

TEST_CASE("the event loop ends after too many unexpected errors")
{
  asio::io_context context;
  for (int i = 0; i < 3; ++i) {
    asio::post(context, [] { throw std::out_of_range("malformed message"); });
  }
  CHECK_FALSE(RunEventLoop(context, 3));
}
