/// @file
/// State shared by the threads of a node: immutable values behind atomic pointers, flags and
/// counters.
#pragma once

#include "Clock.h"
#include "Picker.h"
#include "Replay.h"
#include "RolloutTable.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sequoiastep::node {

/// Address and state of a node, as needed to forward calls to it.
struct NodeAddress
{
  std::string m_address;
  std::uint64_t m_incarnation = 0;
  std::string m_region;
  bool m_draining = false;
  /// Ready, not draining and not suspected.
  bool m_up = false;
  bool m_suspect = false;
};

/// The latest rollout of a service and the targets that take part in it.
struct ServiceRollout
{
  rollout::Rollout m_rollout;
  /// Candidates for requests on trial.
  std::vector<routing::Candidate> m_trial;
  /// Nodes whose target has another version and may still have work.
  std::vector<std::string> m_oldTargets;
};

/// Immutable routing table for calls: every node that is not gone, and the candidate targets of
/// each service.
struct RoutingView
{
  std::map<std::string, NodeAddress, std::less<>> m_nodes;
  std::map<std::string, std::vector<routing::Candidate>, std::less<>> m_services;
  /// Rollouts by service; empty unless the settings have rollouts.
  std::map<std::string, ServiceRollout, std::less<>> m_rollouts;
  /// Nodes that were declared gone without having announced a stop: they may be cut off.
  std::set<std::string, std::less<>> m_lost;
};

/// Counters of the call path; they never decrease.
struct CallCounters
{
  std::atomic<std::uint64_t> m_entered{ 0 };
  std::atomic<std::uint64_t> m_done{ 0 };
  std::atomic<std::uint64_t> m_notRun{ 0 };
  std::atomic<std::uint64_t> m_unknown{ 0 };
  std::atomic<std::uint64_t> m_failed{ 0 };
  std::atomic<std::uint64_t> m_retries{ 0 };
  /// Attempts during which the node beside the target fell silent.
  std::atomic<std::uint64_t> m_unresponsive{ 0 };
  std::atomic<std::uint64_t> m_shed{ 0 };
  std::atomic<std::uint64_t> m_dispatched{ 0 };
  std::atomic<std::uint64_t> m_versionHolds{ 0 };
  std::atomic<std::uint64_t> m_versionHoldsExpired{ 0 };
  std::atomic<std::uint64_t> m_crossRegionBytes{ 0 };
  std::atomic<std::uint64_t> m_lateAnswers{ 0 };
  /// Requests without a key of a workspace, or with an unknown one.
  std::atomic<std::uint64_t> m_unauthorized{ 0 };
  std::atomic<std::uint64_t> m_cancelled{ 0 };
};

/// One instance per node; outlives the node's threads. Any thread may use it.
struct SharedState
{
  /// Configuration in use; null until the first one is installed.
  std::atomic<std::shared_ptr<const config::Snapshot>> m_snapshot;
  std::atomic<std::shared_ptr<const RoutingView>> m_view;
  std::atomic<bool> m_ready{ false };
  /// The node has been ready at least once. If it is not ready now, a short check is in progress.
  std::atomic<bool> m_wasReady{ false };
  std::atomic<bool> m_draining{ false };
  /// Time of the control thread's last tick, in milliseconds of the monotonic clock.
  std::atomic<Milliseconds> m_lastControlTickMs{ 0 };
  CallCounters m_calls;
};

} // namespace sequoiastep::node
