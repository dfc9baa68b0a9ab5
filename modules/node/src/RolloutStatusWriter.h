/// @file
/// Writes the states of rollouts to the platform's store.
#pragma once

#include "AsioTypes.h"
#include "Events.h"
#include "LogClient.h"
#include "RolloutRecord.h"
#include "SharedState.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace sequoiastep::node {

/// Only the judges of a service write, the second one if the first one has not done so for a while.
/// Each append is conditional on the end of the topic as read just before, so that an order has one
/// final state. Used on the control thread only.
class RolloutStatusWriter
{
public:
  /// Passes an event to the controller.
  using Feed = std::function<void(distribution::Event)>;

  /// @param aNode this node.
  RolloutStatusWriter(net::asio::io_context& aContext,
                      platform::LogClient& aLog,
                      SharedState& aShared,
                      std::string aNode,
                      Feed aFeed);

  void Start();
  void Stop();

private:
  /// What is known of the state of one order in the store.
  struct Progress
  {
    rollout::OrderId m_order;
    /// The store holds a state of the order, or one of a later order.
    bool m_runningStored = false;
    bool m_superseded = false;
    /// The state that the store lacks, and since when.
    std::optional<adapter::RolloutState> m_wanted;
    Instant m_wantedSince;
    /// Attempts so far; the newest one is in flight since m_startedAt.
    std::uint64_t m_attempts = 0;
    bool m_inFlight = false;
    Instant m_startedAt;
    Instant m_retryAt;
    Milliseconds m_backoffMs = 0;
    bool m_overdueLogged = false;
  };

  net::Awaitable<void> Follow();
  net::Awaitable<void> Write(rollout::Rollout aRollout,
                             adapter::RolloutState aState,
                             std::uint64_t aAttempt);
  bool HandleHeld(const rollout::Rollout& aRollout,
                  adapter::RolloutState aState,
                  const std::vector<platform::KeyedEntry>& aEntries);
  void HandleAppended(const rollout::Rollout& aRollout,
                      adapter::RolloutState aState,
                      std::uint64_t aOffset);
  void Review(const RoutingView& aView, const rollout::Rollout& aRollout, Instant aNow);
  void Retry(const rollout::Rollout& aRollout, bool aAtOnce);

  net::asio::io_context& m_context;
  platform::LogClient& m_log;
  SharedState& m_shared;
  std::string m_node;
  Feed m_feed;
  std::map<std::string, Progress, std::less<>> m_progress;
  bool m_stopped = false;
};

} // namespace sequoiastep::node
