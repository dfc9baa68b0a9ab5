/// @file
/// Follows the operator's configuration record in the platform's store and installs new versions on
/// this node.
#pragma once

#include "AsioTypes.h"
#include "Events.h"
#include "LogClient.h"
#include "Random.h"
#include "SharedState.h"
#include "TopicFollower.h"

#include <cstdint>
#include <functional>
#include <string>

namespace sequoiastep::node {

/// Used on the control thread only.
class OperatorConfigSource
{
public:
  /// Callbacks into the controller.
  struct Hooks
  {
    /// @return true if this node must read the store now; other nodes get the record from peers.
    std::function<bool()> m_shouldRead;
    /// Passes an event to the controller.
    std::function<void(distribution::Event)> m_feed;
  };

  /// @param aFollowRollouts pass on orders for rollouts as RolloutOrdered events.
  OperatorConfigSource(net::asio::io_context& aContext,
                       platform::LogClient& aLog,
                       SharedState& aShared,
                       Hooks aHooks,
                       bool aFollowRollouts);

  void Start();
  void Stop();
  /// Installs a record's configuration if the record is valid and newer than the current version.
  /// @param aText the record.
  /// @param aFrom peer that sent the record; empty if it came from the store.
  void InstallIfNewer(const std::string& aText, const std::string& aFrom);
  /// @return number of orders for rollouts that could not be read.
  std::uint64_t RefusedOrders() const { return m_refusedOrders; }

private:
  /// Orders that one read brought, and what the store holds of their states.
  struct OrderBatch;

  net::Awaitable<void> Follow();
  net::Awaitable<distribution::TopicRead> ReadOnce();
  net::Awaitable<void> Sleep(Milliseconds aDelay);
  net::Awaitable<distribution::TopicRead> ReadNewestOnce();
  net::Awaitable<bool> ReadStates(OrderBatch& aBatch);
  void HandleEntry(const platform::KeyedEntry& aEntry, OrderBatch& aBatch);
  void PassOrders(const OrderBatch& aBatch);
  void PassOrder(const platform::KeyedEntry& aEntry, const OrderBatch& aBatch);
  void RecordStoreContact(const distribution::TopicRead& aRead);

  net::asio::io_context& m_context;
  platform::LogClient& m_log;
  SharedState& m_shared;
  Hooks m_hooks;
  Random m_random{ EntropySeed() };
  distribution::TopicFollower m_follower;
  bool m_followRollouts = false;
  std::uint64_t m_refusedOrders = 0;
  bool m_storeReachable = true;
  bool m_stopped = false;
};

} // namespace sequoiastep::node
