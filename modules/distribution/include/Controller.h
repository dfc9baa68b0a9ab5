/// @file
/// Controller of one node: keeps its configuration and its member list in step with all other
/// nodes. A deterministic state machine without I/O: events and the current time go in, actions
/// come out, and equal inputs give equal actions.
///
/// Single-threaded: one thread owns a Controller and calls Step.
#pragma once

#include "Clock.h"
#include "Detector.h"
#include "Events.h"
#include "Members.h"
#include "Random.h"
#include "RecordStore.h"
#include "Replay.h"
#include "RolloutTable.h"
#include "Summaries.h"
#include "Topology.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastep::distribution {

/// Time between Tick events.
constexpr Milliseconds kTickMs = 100;

/// Identity and tuning of one node. Times in milliseconds.
struct ControllerOptions
{
  std::string m_node;
  std::uint64_t m_incarnation = 0;
  std::string m_address;
  std::string m_region;
  std::string m_failureDomain;
  /// Peer addresses from the settings, dialled by a joining node before those of the directory.
  std::vector<std::string> m_bootstrapPeers;
  /// Seed of the random generator.
  std::uint64_t m_seed = 1;
  TopologyOptions m_topology;
  membership::DetectorOptions m_detector;
  Milliseconds m_heartbeatMs = 1000;
  /// Links between regions have this multiple of the heartbeat interval and the silence limit.
  Milliseconds m_crossRegionHeartbeatFactor = 5;
  /// Minimum time between two heartbeats that are sent only because summaries changed.
  Milliseconds m_summaryIntervalMs = 200;
  /// How long a starting node searches for peers before it falls back to the log.
  Milliseconds m_joinWaitMs = 2000;
  /// Joins answered in one second; further ones are answered with JoinBusy.
  std::uint32_t m_joinsPerSecond = 8;
  /// How long a read at the end of the log waits for the next record.
  Milliseconds m_logWaitMs = 2000;
  /// False if configuration comes from the operator's record instead of publications; the log then
  /// has no configuration stream.
  bool m_followPublications = true;
  /// Rank 1 starts to read the log after no reader of lower rank has had contact with the log for
  /// this long; each further rank waits one step longer.
  Milliseconds m_readerTakeoverMs = 1700;
  Milliseconds m_readerTakeoverStepMs = 700;
  /// Time limit for answering a publish request.
  Milliseconds m_publishWaitMs = 2500;
  /// A checkpoint is written after this time or this many records, whichever comes first.
  Milliseconds m_checkpointEveryMs = 300'000;
  std::uint32_t m_checkpointEveryRecords = 50;
  /// Interval at which a node rewrites its directory entry.
  Milliseconds m_directoryEveryMs = 43'200'000;
  /// How long a Gone member is kept, so that it can be dialled again after a network partition.
  Milliseconds m_goneRetentionMs = 7'200'000;
  /// Replicate the table of rollouts. Without it, messages about rollouts are ignored.
  bool m_rollouts = false;
  /// Gap between ticks above which the process counts as paused.
  Milliseconds m_pauseThresholdMs = 1500;
};

/// State of the link to one peer.
struct Link
{
  std::string m_address;
  bool m_outbound = false;
  Instant m_openedAt;
  /// When the last message came from the peer.
  Instant m_lastHeard;
  Instant m_heartbeatSentAt;
  /// Highest position and version that the peer is known to hold.
  std::uint64_t m_peerPosition = 0;
  std::uint64_t m_peerVersion = 0;
  /// Position after the last record pushed over the link.
  std::uint64_t m_pushedUpTo = 0;
  /// When the peer was last known to be in contact with the log.
  std::optional<Instant> m_peerLogContact;
  /// Summary of the peer's subtree; only a child in the failure domain's tree sends one.
  std::optional<DomainSummary> m_subtreeSummary;
  /// A heartbeat is sent at the next tick.
  bool m_heartbeatDue = true;
  /// When the last Pull was sent to the peer.
  Instant m_pulledAt;
  /// Since when the peer has been known to be ahead of this node.
  std::optional<Instant> m_behindSince;
  Instant m_digestsSentAt;
  /// Consecutive heartbeats whose member digest differed from this node's.
  std::uint32_t m_digestMismatches = 0;
  /// The same for the digest of the table of rollouts.
  std::uint32_t m_rolloutMismatches = 0;
  Instant m_rolloutsSentAt;
  /// Since when the link has not been one of the desired links.
  std::optional<Instant> m_unwantedSince;
  /// True if the peer is in another region.
  bool m_crossRegion = false;
  /// Version of the operator's record that the peer is known to hold, and the last one pushed to
  /// it.
  std::uint64_t m_peerOperatorVersion = 0;
  std::uint64_t m_operatorVersionPushed = 0;
  Instant m_operatorPulledAt;
  /// Since when the peer has been known to hold a newer version of the operator's record.
  std::optional<Instant> m_operatorBehindSince;
  /// Summaries of failure domains as last sent, and when all of them were last sent at once.
  std::map<DomainKey, DomainSummary> m_summariesSent;
  Instant m_allSummariesSentAt;
  /// A heartbeat with changed summaries is due, at least m_summaryIntervalMs after the last one.
  bool m_summariesDue = false;
};

/// One version of the operator's record and its text.
struct OperatorRecordVersion
{
  std::uint64_t m_version = 0;
  std::shared_ptr<const std::string> m_text;
};

/// Connection attempts to one address and their backoff.
struct DialState
{
  bool m_inFlight = false;
  Instant m_notBefore;
  Milliseconds m_backoffMs = 0;
  std::uint32_t m_failures = 0;
};

/// Progress of a node that is joining.
enum class JoinPhase
{
  /// Looking for a peer.
  Searching,
  /// A Join was sent to a peer, which has not finished its answer.
  Joining,
  /// No peer answered in time: reading checkpoints and the log.
  FromLog,
  Joined,
};

/// Counters for metrics; they only increase.
struct ControllerCounters
{
  std::uint64_t m_recordsPushed = 0;
  std::uint64_t m_recordsReceived = 0;
  /// Records that were received but already replayed.
  std::uint64_t m_recordsRepeated = 0;
  /// Records that were received before their predecessors.
  std::uint64_t m_recordGaps = 0;
  std::uint64_t m_pulls = 0;
  /// Checkpoints sent to peers, and adopted from peers.
  std::uint64_t m_checkpointsSent = 0;
  std::uint64_t m_checkpointsAdopted = 0;
  /// Replay results that differed from a peer's, and checkpoints with an older version at a later
  /// position.
  std::uint64_t m_divergences = 0;
  std::uint64_t m_publicationsRefused = 0;
  std::uint64_t m_logReads = 0;
  std::uint64_t m_joinsAnswered = 0;
  std::uint64_t m_joinsDeferred = 0;
  std::uint64_t m_accusations = 0;
  std::uint64_t m_refutations = 0;
  std::uint64_t m_pauses = 0;
  /// Orders for rollouts that were new when this node read them, and digest exchanges of the table.
  std::uint64_t m_rolloutOrders = 0;
  std::uint64_t m_rolloutExchanges = 0;
  /// Reads that found the log to end before this node's position: the log lost records.
  std::uint64_t m_logTruncations = 0;
};

/// A publish request whose outcome is not known yet.
struct PendingPublish
{
  std::uint64_t m_request = 0;
  std::string m_publishId;
  std::string m_body;
  Instant m_deadline;
  Instant m_retryAt;
  bool m_appendInFlight = false;
  std::string m_lastFailure;
};

/// A departure that no peer has confirmed to hold yet.
struct PendingDeparture
{
  std::uint64_t m_request = 0;
  /// Peers echo it in a heartbeat that follows the departure on the link.
  std::uint64_t m_nonce = 0;
};

/// State of one node's controller.
struct Controller
{
  ControllerOptions m_options;
  Random m_random;
  membership::MemberTable m_table;
  membership::Detector m_detector;
  Topology m_topology;
  config::ReplayStatePtr m_replay;
  RecordStore m_records;
  SummaryTable m_summaries;
  std::map<std::string, Link, std::less<>> m_links;
  std::map<std::string, DialState, std::less<>> m_dials;
  ControllerCounters m_counters;

  JoinPhase m_phase = JoinPhase::Searching;
  Instant m_startedAt;
  Instant m_phaseSince;
  std::string m_joinPeer;
  Instant m_joinRetryAt;
  /// Random delay on top of m_joinWaitMs, so that nodes that start together do not all fall back to
  /// the log at the same time.
  Milliseconds m_logJoinJitterMs = 0;
  /// Position that replay must reach before the node is ready.
  std::uint64_t m_minReadyPosition = 0;
  bool m_directoryWriteInFlight = false;
  bool m_directoryReadInFlight = false;
  /// This node's entry was written since the directory was last read.
  bool m_directoryReadDue = false;
  Instant m_directoryRetryAt;
  Milliseconds m_directoryBackoffMs = 0;
  /// Entries of the directory as last read.
  std::vector<DirectoryEntry> m_directory;
  /// When nodes of the directory that are not known as live members may be dialled again.
  Instant m_nextDirectoryDial;

  /// Why replay is blocked at a record; empty if it is not.
  std::string m_blockedReason;
  bool m_logReadInFlight = false;
  Instant m_logReadStartedAt;
  /// When the log or the platform's store last answered a read.
  std::optional<Instant> m_lastLogContact;
  Instant m_logRetryAt;
  Milliseconds m_logBackoffMs = 0;
  /// True if the last read returned no records.
  bool m_logCaughtUp = false;
  /// True once the checkpoints were read, with or without success.
  bool m_checkpointsRead = false;

  /// Latest versions of the operator's record, oldest first; the older ones are bases of deltas.
  std::deque<OperatorRecordVersion> m_operatorRecords;
  Instant m_lastCheckpointAt;
  std::uint32_t m_recordsSinceCheckpoint = 0;
  Instant m_nextDirectoryWrite;
  /// Newest era of the store that this node knows, and the one in which its entry in the directory
  /// was confirmed; 0 before that, and if the store names none.
  std::uint64_t m_storeEra = 0;
  std::uint64_t m_directoryEra = 0;
  Instant m_nextGoneProbe;
  Instant m_nextGoneCheck;

  /// Rollouts of all services, and those that changed in the current step.
  rollout::RolloutTable m_rollouts;
  std::set<std::string, std::less<>> m_changedRollouts;

  std::vector<PendingPublish> m_pendingPublishes;
  std::vector<PendingDeparture> m_pendingDepartures;
  /// Changed members, by node, and new accusations, which FlushMembers sends to the peers.
  std::map<std::string, membership::Member, std::less<>> m_memberOutbox;
  std::vector<wire::AccusationT> m_accusationOutbox;
  /// Nodes that this node should be linked to.
  std::set<std::string, std::less<>> m_desiredLinks;
  /// Failure domains of this region to which no link works; only readers track them.
  std::set<DomainKey> m_unreachableDomains;
  bool m_topologyDirty = true;
  bool m_membersChanged = true;
  std::uint64_t m_memberDigest = 0;
  Instant m_joinWindowStart;
  std::uint32_t m_joinsInWindow = 0;

  Instant m_lastTick;
  /// After a pause, the node is not ready until a peer echoes the nonce in a heartbeat, or the
  /// check times out.
  bool m_pauseCheckPending = false;
  std::uint64_t m_pauseCheckNonce = 0;
  Instant m_pauseDetectedAt;
  bool m_ready = false;
  bool m_draining = false;
  /// True after LeaveRequested.
  bool m_left = false;
};

/// @return the controller of a node that starts at aNow.
Controller
MakeController(const ControllerOptions& aOptions, Instant aNow);

/// Processes one event at the time aNow.
/// @return the actions that the node must perform, in order.
Actions
Step(Controller& aController, Event aEvent, Instant aNow);

/// @return this node's entry in the member list.
const membership::Member&
Self(const Controller& aController);

/// @return true if this node must read the operator's record from the store now: it is an active
/// reader of its region, holds no version yet, or has received nothing from any peer lately.
bool
ShouldReadOperatorRecord(const Controller& aController, Instant aNow);

/// @return the version of the operator's record that this node holds; 0 if none.
std::uint64_t
HeldOperatorVersion(const Controller& aController);

/// @return this node's rank among the readers of its region; the largest std::size_t if it has
/// none.
std::size_t
ReaderRank(const Controller& aController);

} // namespace sequoiastep::distribution
