/// @file
/// Awaits replies of the log client in a coroutine on another thread than the client's.
#pragma once

#include "AsioTypes.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace sequoiastep::node {

/// Calls aStart with the handler to pass to the log client, and waits for the reply. The coroutine
/// resumes on aContext's thread.
template<typename Reply, typename Start>
net::Awaitable<Reply>
AwaitLogReply(net::asio::io_context& aContext, Start aStart)
{
  struct PendingReply
  {
    explicit PendingReply(net::asio::io_context& aContext)
      : m_done(aContext, std::chrono::steady_clock::time_point::max())
    {
    }
    net::asio::steady_timer m_done;
    Reply m_reply;
  };
  auto pending = std::make_shared<PendingReply>(aContext);
  aStart([pending, &aContext](Reply aReply) {
    net::asio::post(aContext, [pending, reply = std::move(aReply)]() mutable {
      pending->m_reply = std::move(reply);
      pending->m_done.expires_at(std::chrono::steady_clock::time_point::min());
    });
  });
  co_await pending->m_done.async_wait(net::kAsTuple);
  co_return std::move(pending->m_reply);
}

} // namespace sequoiastep::node
