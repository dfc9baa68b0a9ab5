/// @file
/// Reads the operator's configuration from the platform's store and puts it in force here.
#pragma once

#include "AsioTypes.h"
#include "LogClient.h"
#include "Random.h"
#include "Shared.h"
#include "TopicFollower.h"

#include <cstdint>
#include <string>

namespace sequoiastep::node {

/// Runs on the control thread only.
class OperatorSource
{
public:
  OperatorSource(net::asio::io_context& aContext, platform::LogClient& aLog, Shared& aShared);

  void Start();
  void Stop();

private:
  net::Awaitable<void> Follow();
  net::Awaitable<distribution::FollowOutcome> ReadOnce(std::uint64_t& aNext);
  void Take(const platform::KeyedEntry& aEntry);

  net::asio::io_context& m_context;
  platform::LogClient& m_log;
  Shared& m_shared;
  Random m_random{ EntropySeed() };
  distribution::TopicFollower m_follower;
  bool m_storeWorks = true;
  bool m_stopped = false;
};

} // namespace sequoiastep::node
