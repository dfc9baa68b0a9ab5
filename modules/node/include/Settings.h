/// @file
/// Settings of a node, read from a JSON file that is fully checked at start.
#pragma once

#include "Error.h"
#include "Log.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastep::node {

/// Resource limits of one node.
struct Limits
{
  std::uint64_t m_maxBodyBytes = 8U << 20;
  std::uint64_t m_maxHeaderBytes = 16U << 10;
  /// Memory that the node may use, in MB. A part of it is for large request bodies.
  std::uint64_t m_memoryMb = 512;
  std::uint64_t m_maxConnections = 4096;
  /// Most memory for read buffers, headers and small bodies of requests, and answers that callers
  /// have not taken yet, in MB; 0 means a quarter of m_memoryMb.
  std::uint64_t m_callerMemoryMb = 0;
  /// Descriptors that callers leave free for targets, other nodes, the log and admin requests, of
  /// those that the process may open.
  std::uint64_t m_reservedDescriptors = 64;
  /// Maximum number of connections to the port for nodes that have yet to say which node they are.
  std::uint64_t m_handshakes = 32;
  /// Maximum number of calls in progress that callers sent to this node.
  std::uint64_t m_maxCalls = 4096;
  /// Joining nodes answered per second; more are deferred.
  std::uint64_t m_joinsPerSecond = 8;
  /// Maximum number of claimed idempotency keys that the node holds.
  std::uint64_t m_rememberedKeys = 20'000;
  /// Maximum total size of the responses stored under those keys.
  std::uint64_t m_rememberedAnswerBytes = 4U << 20;
  /// How long the log is guaranteed to keep claims of idempotency keys that callers made up, in
  /// milliseconds.
  std::uint64_t m_ownKeyRetentionMs = 3'600'000;
};

/// @return the most bytes of large request bodies that the node holds at a time. A body is held up
/// to four times over: as received, as a call, as an attempt and as it is sent.
constexpr std::uint64_t
MaxBufferedBytes(const Limits& aLimits)
{
  return (aLimits.m_memoryMb << 20U) / 8;
}

/// @return the most bytes of read buffers, headers, small bodies and unsent answers of callers that
/// the node holds at a time.
constexpr std::uint64_t
MaxHeldBytes(const Limits& aLimits)
{
  const std::uint64_t all = aLimits.m_memoryMb << 20U;
  return aLimits.m_callerMemoryMb > 0 ? aLimits.m_callerMemoryMb << 20U : all / 4;
}

/// @return the most bytes that all owners of requests and answers hold together, copies included.
/// The rest of the memory is for what does not grow with them.
constexpr std::uint64_t
MaxCommonBytes(const Limits& aLimits)
{
  return (aLimits.m_memoryMb << 20U) / 4 * 3;
}

/// Intervals and timeouts, in milliseconds.
struct Timings
{
  std::uint64_t m_heartbeatMs = 1000;
  std::uint64_t m_suspectAfterMs = 2500;
  std::uint64_t m_joinWaitMs = 2000;
  std::uint64_t m_publishWaitMs = 2500;
  std::uint64_t m_checkpointEveryMs = 300'000;
  std::uint64_t m_directoryEveryMs = 43'200'000;
  std::uint64_t m_logWaitMs = 2000;
  /// Timeout of a call to the log, not counting a read's wait for new records.
  std::uint64_t m_logTimeoutMs = 3000;
  /// How long a call may wait for a configuration version that this node does not have yet.
  std::uint64_t m_versionHoldMs = 200;
  /// Maximum time from a stop request to the exit.
  std::uint64_t m_drainMs = 10'000;
  /// Delay from a stop request until the node announces that it is draining. Until then its target
  /// still takes work from other nodes, while callers of this node learn to use another one.
  std::uint64_t m_drainAfterMs = 0;
  /// Delay from that announcement until new work for the target is refused, so that peers can learn
  /// of it.
  std::uint64_t m_drainNoticeMs = 500;
  /// Delay from a stop request until new callers are refused, so that callers can learn to use
  /// another node.
  std::uint64_t m_callerNoticeMs = 500;
};

/// Size of the link graph between the nodes of a failure domain.
struct Links
{
  /// Children of a node in its failure domain's tree.
  std::uint64_t m_fanOut = 4;
  /// Links that each node opens to others of its domain besides the tree.
  std::uint64_t m_chords = 2;
};

/// Retry budget for each service, shared by all nodes.
struct Retries
{
  /// Retries allowed per request.
  double m_ratio = 0.2;
  /// Additional retries allowed per window, over all nodes.
  double m_extra = 60;
  /// Share of both that is used. Less than 1, since a node knows the other nodes' request counts
  /// only approximately.
  double m_share = 0.6;
  std::uint64_t m_windowMs = 10'000;
};

/// Tolerances of the workspaces' quotas, which hold over all nodes together.
struct Quotas
{
  /// Length of the sliding window in which requests are counted, in milliseconds.
  std::uint64_t m_windowMs = 5000;
  /// Requests that may run in a window beyond its quota: this share of it, and m_slack more.
  double m_over = 0.1;
  std::uint64_t m_slack = 20;
};

/// Bounds of a roll-out of a new version of a service, over all nodes together.
struct Rollouts
{
  /// Most requests that reach a version before it is known to be good: this share of all requests
  /// for the service from the order to its deadline, and m_slack more.
  double m_share = 0.1;
  std::uint64_t m_slack = 50;
  /// Longest time from the evidence that a version is bad to the last request sent to it, in
  /// milliseconds.
  std::uint64_t m_rollbackMs = 5000;
};

/// All settings of a node. Addresses have the form IP:PORT.
struct Settings
{
  std::string m_mesh;
  std::string m_node;
  std::string m_region;
  std::string m_failureDomain;
  std::string m_callerListen;
  std::string m_targetListen;
  /// Service that runs on this host. Sent to targets as the caller's service; not sent if empty.
  std::string m_targetService;
  /// Address of the target beside this node, for one health check after a start; no check if empty.
  std::string m_targetAddress;
  std::string m_adminListen;
  /// Bearer token required for admin requests that change state; not required if empty.
  std::string m_adminToken;
  /// Additional address that serves metrics without authentication; not opened if empty.
  std::string m_metricsListen;
  std::string m_peerListen;
  std::vector<std::string> m_peerHints;
  /// Bandwidth of the host's link, in Mbit/s.
  double m_linkMbps = 1000;
  std::string m_platformLog;
  /// Take the configuration from the operator's record in the platform's store instead of from
  /// publications.
  bool m_operatorRecord = false;
  /// Fraction of calls that are traced if the caller does not decide.
  double m_traceSample = 0;
  LogLevel m_logLevel = LogLevel::Info;
  Limits m_limits;
  Timings m_timings;
  Links m_links;
  Retries m_retries;
  /// Quotas of workspaces are not enforced without this section.
  std::optional<Quotas> m_quotas;
  /// Versions of targets are ignored without this section.
  std::optional<Rollouts> m_rollouts;
};

/// Parses and checks the text of a settings file.
/// @return the settings, or BadSettings with the key and the remedy.
Result<Settings>
ParseSettings(std::string_view aText);

/// Reads and checks a settings file.
/// @return the settings, or BadSettings.
Result<Settings>
ReadSettings(const std::string& aPath);

/// @return aSettings as JSON with every key, including defaults. The admin token is replaced by a
/// placeholder.
std::string
SettingsText(const Settings& aSettings);

} // namespace sequoiastep::node
