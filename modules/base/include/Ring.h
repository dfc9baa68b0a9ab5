/// @file
/// A bounded queue between threads, based on Boost.Lockfree.
#pragma once

#include <atomic>
#include <boost/lockfree/queue.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

namespace sequoiastep {

/// Bounded queue for many writers and many readers. A push into a full ring fails and is counted.
/// TryPush and TryPop may be called from any thread.
template<typename T>
class Ring
{
public:
  /// @param aCapacity the most items that the ring holds; at most 65534.
  explicit Ring(std::size_t aCapacity)
    : m_queue(aCapacity)
  {
  }
  Ring(const Ring&) = delete;
  Ring& operator=(const Ring&) = delete;
  ~Ring()
  {
    while (TryPop()) {
    }
  }

  /// @return false if the ring is full; aItem is dropped and the failed push counted.
  bool TryPush(T aItem)
  {
    auto item = std::make_unique<T>(std::move(aItem));
    if (!m_queue.bounded_push(item.get())) {
      m_refused.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    (void)item.release(); // The ring owns it until TryPop.
    return true;
  }

  /// @return the oldest item, or nothing if the ring is empty.
  std::optional<T> TryPop()
  {
    T* raw = nullptr;
    if (!m_queue.pop(raw)) {
      return std::nullopt;
    }
    const std::unique_ptr<T> item(raw);
    return std::move(*item);
  }

  /// @return the number of pushes that failed because the ring was full.
  std::uint64_t Refused() const { return m_refused.load(std::memory_order_relaxed); }

private:
  boost::lockfree::queue<T*> m_queue;
  std::atomic<std::uint64_t> m_refused{ 0 };
};

} // namespace sequoiastep
