/// @file
/// A bounded queue whose items are handled on the thread of an io_context.
#pragma once

#include "AsioTypes.h"
#include "Ring.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <cstddef>
#include <functional>
#include <utility>

namespace sequoiastep::node {

/// Delivers items to the thread that runs an io_context. Post may be called from any thread.
template<typename T>
class Mailbox
{
public:
  using Handler = std::function<void(T)>;

  /// @param aContext io_context of the receiving thread; must outlive the mailbox.
  /// @param aCapacity maximum number of queued items; see Ring.
  /// @param aHandler called on that thread, once per item.
  Mailbox(net::asio::io_context& aContext, std::size_t aCapacity, Handler aHandler)
    : m_context(aContext)
    , m_ring(aCapacity)
    , m_handler(std::move(aHandler))
  {
  }

  /// @return false, with aItem dropped and counted as refused, if the queue is full.
  bool Post(T aItem)
  {
    if (!m_ring.TryPush(std::move(aItem))) {
      return false;
    }
    if (!m_scheduled.exchange(true)) {
      net::asio::post(m_context, [this] { Drain(); });
    }
    return true;
  }

  /// @return the number of items refused because the queue was full.
  std::uint64_t Refused() const { return m_ring.Refused(); }

private:
  void Drain()
  {
    m_scheduled.store(false);
    while (auto item = m_ring.TryPop()) {
      m_handler(std::move(*item));
    }
  }

  net::asio::io_context& m_context;
  Ring<T> m_ring;
  Handler m_handler;
  std::atomic<bool> m_scheduled{ false };
};

} // namespace sequoiastep::node
