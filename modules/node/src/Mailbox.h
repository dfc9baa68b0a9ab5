/// @file
/// A bounded ring into one thread's io_context.
#pragma once

#include "AsioTypes.h"
#include "Ring.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <cstddef>
#include <functional>
#include <utility>

namespace sequoiastep::node {

/// Carries items to the thread that runs a context; Post may be called from any thread.
template<typename T>
class Mailbox
{
public:
  using Handler = std::function<void(T)>;

  /// @param aContext context of the receiving thread; must outlive the mailbox.
  /// @param aHandler runs on that thread, once for each item.
  Mailbox(net::asio::io_context& aContext, std::size_t aCapacity, Handler aHandler)
    : m_context(aContext)
    , m_ring(aCapacity)
    , m_handler(std::move(aHandler))
  {
  }

  /// @return false if the ring is full; the refusal is counted.
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

  /// @return how many items were refused.
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
