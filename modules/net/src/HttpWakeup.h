/// @file
/// Lets a coroutine wait for an event of its own thread.
#pragma once

#include "AsioTypes.h"

#include <chrono>

namespace sequoiastep::net {

/// Suspends coroutines until Wake: a timer that never expires and is cancelled to resume them.
struct HttpWakeup
{
  explicit HttpWakeup(const asio::any_io_executor& aExecutor)
    : m_timer(aExecutor, std::chrono::steady_clock::time_point::max())
  {
  }

  Awaitable<void> Wait() { co_await m_timer.async_wait(kAsTuple); }
  void Wake() { m_timer.cancel(); }

  asio::steady_timer m_timer;
};

} // namespace sequoiastep::net
