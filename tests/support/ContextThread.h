#pragma once

/// Runs an io_context on its own thread during the lifetime of the object.

#include <future>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

namespace mustardtray::test {

class ContextThread
{
public:
  ContextThread()
    : m_workGuard(asio::make_work_guard(m_context))
    , m_thread([this] { m_context.run(); })
  {
  }

  ~ContextThread()
  {
    m_workGuard.reset();
    m_context.stop();
    m_thread.join();
  }

  asio::io_context& Context() { return m_context; }

  /// Runs a function on the thread, blocks until it ends and returns its result.
  template<typename F>
  auto Run(F aFunction)
  {
    std::packaged_task<decltype(aFunction())()> task(std::move(aFunction));
    auto result = task.get_future();
    asio::post(m_context, [&] { task(); });
    return result.get();
  }

private:
  asio::io_context m_context;
  asio::executor_work_guard<asio::io_context::executor_type> m_workGuard;
  std::thread m_thread;
};

} // namespace mustardtray::test
