/// @file
/// Watches the platform's store for the operator's configuration and puts it in force here.
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

/// Runs on the control thread only.
class OperatorSource
{
public:
  /// What the source asks of the controller.
  struct Hooks
  {
    /// Whether this node has to watch the store now.
    std::function<bool()> m_reads;
    std::function<void(distribution::Event)> m_feed;
  };

  OperatorSource(net::asio::io_context& aContext,
                 platform::LogClient& aLog,
                 SharedState& aShared,
                 Hooks aHooks);

  void Start();
  void Stop();
  /// Takes a record's text; it is put in force if it is valid and newer.
  /// @param aFrom the peer that sent it; empty if it came from the store.
  void Take(const std::string& aText, const std::string& aFrom);

private:
  net::Awaitable<void> Follow();
  net::Awaitable<distribution::FollowOutcome> ReadOnce(std::uint64_t& aNext);
  net::Awaitable<void> Sleep(Milliseconds aDelay);
  void TakeEntry(const platform::KeyedEntry& aEntry);
  void NoteStore(bool aWorks);

  net::asio::io_context& m_context;
  platform::LogClient& m_log;
  SharedState& m_shared;
  Hooks m_hooks;
  Random m_random{ EntropySeed() };
  distribution::TopicFollower m_follower;
  bool m_storeWorks = true;
  bool m_stopped = false;
};

} // namespace sequoiastep::node
