/// @file
/// What the threads of a node share: immutable values behind atomic pointers, flags and counters.
#pragma once

#include "Clock.h"
#include "Picker.h"
#include "Replay.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sequoiastep::node {

/// Where a node is reached.
struct NodeAddress
{
  std::string m_address;
  std::uint64_t m_incarnation = 0;
  std::string m_region;
  bool m_draining = false;
};

/// Targets by service, as calls pick among them, and all nodes.
struct RoutingView
{
  std::map<std::string, NodeAddress, std::less<>> m_nodes;
  std::map<std::string, std::vector<routing::Candidate>, std::less<>> m_services;
};

/// Counts of the call path; they only rise.
struct CallCounters
{
  std::atomic<std::uint64_t> m_entered{ 0 };
  std::atomic<std::uint64_t> m_done{ 0 };
  std::atomic<std::uint64_t> m_notRun{ 0 };
  std::atomic<std::uint64_t> m_unknown{ 0 };
  std::atomic<std::uint64_t> m_failed{ 0 };
  std::atomic<std::uint64_t> m_retries{ 0 };
  std::atomic<std::uint64_t> m_shed{ 0 };
  std::atomic<std::uint64_t> m_dispatched{ 0 };
  std::atomic<std::uint64_t> m_versionHolds{ 0 };
  std::atomic<std::uint64_t> m_versionHoldsExpired{ 0 };
  std::atomic<std::uint64_t> m_crossRegionBytes{ 0 };
  std::atomic<std::uint64_t> m_lateAnswers{ 0 };
  std::atomic<std::uint64_t> m_cancelled{ 0 };
};

/// One instance for each node, alive as long as its threads.
struct Shared
{
  std::atomic<std::shared_ptr<const config::Snapshot>> m_snapshot;
  std::atomic<std::shared_ptr<const RoutingView>> m_view;
  std::atomic<bool> m_ready{ false };
  /// The node was ready once; if it is not ready now, it checks something that takes a moment.
  std::atomic<bool> m_wasReady{ false };
  std::atomic<bool> m_draining{ false };
  /// When the control thread last ticked, in milliseconds of the monotonic clock.
  std::atomic<Milliseconds> m_controlTick{ 0 };
  CallCounters m_calls;
};

} // namespace sequoiastep::node
