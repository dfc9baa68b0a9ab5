/// @file
/// Settings of a node: a JSON file, wholly checked at start.
#pragma once

#include "Error.h"
#include "Log.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastep::node {

/// Bounds on what one node takes and holds.
struct Limits
{
  std::uint64_t m_maxBodyBytes = 8U << 20;
  std::uint64_t m_maxHeaderBytes = 16U << 10;
  std::uint64_t m_maxConnections = 4096;
  /// Calls in progress that entered at this node.
  std::uint64_t m_maxCalls = 4096;
  std::uint64_t m_joinsPerSecond = 8;
  std::uint64_t m_rememberedKeys = 20'000;
  std::uint64_t m_rememberedAnswerBytes = 4U << 20;
  /// How long the log keeps claims of callers' own keys for certain, in milliseconds.
  std::uint64_t m_ownKeyRetentionMs = 3'600'000;
};

/// Times, in milliseconds.
struct Timings
{
  std::uint64_t m_heartbeatMs = 1000;
  std::uint64_t m_suspectAfterMs = 2500;
  std::uint64_t m_joinWaitMs = 2000;
  std::uint64_t m_publishWaitMs = 2500;
  std::uint64_t m_checkpointEveryMs = 300'000;
  std::uint64_t m_directoryEveryMs = 43'200'000;
  std::uint64_t m_logWaitMs = 2000;
  /// Time in which the log answers a call, its wait for a record aside.
  std::uint64_t m_logTimeoutMs = 3000;
  /// Longest hold of a call whose version this node does not have yet.
  std::uint64_t m_versionHoldMs = 200;
  /// Longest time from a stop request to the exit.
  std::uint64_t m_drainMs = 10'000;
  /// Time between a stop request and announcing that the node leaves. Until then its target goes on
  /// taking work from other nodes, while callers here learn to go elsewhere.
  std::uint64_t m_drainAfterMs = 0;
  /// Time between announcing that the node leaves and refusing work, so that peers learn it.
  std::uint64_t m_drainNoticeMs = 500;
  /// Time between a stop request and refusing callers, so that they learn to go elsewhere.
  std::uint64_t m_callerNoticeMs = 500;
};

/// Sizes of the link graph.
struct Links
{
  std::uint64_t m_fanOut = 4;
  std::uint64_t m_chords = 2;
};

/// What all nodes together may spend on repeats to one service.
struct Retries
{
  /// Repeats for each request.
  double m_ratio = 0.2;
  /// Repeats in a window besides, over all nodes.
  double m_extra = 60;
  /// Share of both that is spent, since nodes know each other's requests only roughly.
  double m_share = 0.6;
  std::uint64_t m_windowMs = 10'000;
};

/// All settings of a node. Addresses are IP:PORT.
struct Settings
{
  std::string m_mesh;
  std::string m_node;
  std::string m_region;
  std::string m_failureDomain;
  std::string m_callerListen;
  std::string m_targetListen;
  /// Service of the host, told to targets as the caller's; not told if empty.
  std::string m_targetService;
  /// Where the target beside the node listens, for one health check after a start; none if empty.
  std::string m_targetAddress;
  std::string m_adminListen;
  /// Bearer token for admin requests that change state; none is asked for if empty.
  std::string m_adminToken;
  /// Where metrics are served for all to read, besides the admin address; nowhere if empty.
  std::string m_metricsListen;
  std::string m_peerListen;
  std::vector<std::string> m_peerHints;
  std::string m_platformLog;
  /// The configuration is the operator's record in the platform's store, not publications.
  bool m_operatorRecord = false;
  /// Share of calls that are traced if the caller does not say.
  double m_traceSample = 0;
  LogLevel m_logLevel = LogLevel::Info;
  Limits m_limits;
  Timings m_timings;
  Links m_links;
  Retries m_retries;
};

/// Parses and checks the text of a settings file.
/// @return the settings, or BadSettings that names the key and the remedy.
Result<Settings>
ParseSettings(std::string_view aText);

/// Reads and checks a settings file.
/// @return the settings, or BadSettings.
Result<Settings>
ReadSettings(const std::string& aPath);

/// @return aSettings as JSON with every key, defaults included; the token is not shown.
std::string
SettingsText(const Settings& aSettings);

} // namespace sequoiastep::node
