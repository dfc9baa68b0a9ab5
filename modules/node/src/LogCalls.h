/// @file
/// Waiting for the log client's answers in a coroutine of another thread.
#pragma once

#include "AsioTypes.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace sequoiastep::node {

/// Starts a call of the log client by aStart, which is given the handler to pass on, and waits for
/// its answer on aContext's thread.
template<typename Reply, typename Start>
net::Awaitable<Reply>
AwaitLog(net::asio::io_context& aContext, Start aStart)
{
  struct Waiting
  {
    explicit Waiting(net::asio::io_context& aContext)
      : m_done(aContext, std::chrono::steady_clock::time_point::max())
    {
    }
    net::asio::steady_timer m_done;
    Reply m_reply;
  };
  auto waiting = std::make_shared<Waiting>(aContext);
  aStart([waiting, &aContext](Reply aReply) {
    net::asio::post(aContext, [waiting, reply = std::move(aReply)]() mutable {
      waiting->m_reply = std::move(reply);
      waiting->m_done.expires_at(std::chrono::steady_clock::time_point::min());
    });
  });
  co_await waiting->m_done.async_wait(net::kAsTuple);
  co_return std::move(waiting->m_reply);
}

} // namespace sequoiastep::node
