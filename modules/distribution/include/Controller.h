/// @file
/// One node's share of keeping configuration and members in step with all others. Pure: events and
/// the time go in, actions come out, and the same inputs give the same actions.
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

/// Who the node is and how it behaves. Times in milliseconds.
struct ControllerOptions
{
  std::string m_node;
  std::uint64_t m_incarnation = 0;
  std::string m_address;
  std::string m_region;
  std::string m_failureDomain;
  /// Peer addresses from settings, tried before the directory.
  std::vector<std::string> m_hints;
  std::uint64_t m_seed = 1;
  TopologyOptions m_topology;
  membership::DetectorOptions m_detector;
  Milliseconds m_heartbeatMs = 1000;
  /// Heartbeats between regions come this many times as seldom.
  Milliseconds m_foreignHeartbeatFactor = 5;
  /// Least time between two heartbeats that only tell changed sums.
  Milliseconds m_sumsEveryMs = 200;
  /// How long a starting node waits for peers before it turns to the log.
  Milliseconds m_joinWaitMs = 2000;
  /// Joins answered in one second; more are told to come back.
  std::uint32_t m_joinsPerSecond = 8;
  Milliseconds m_logWaitMs = 2000;
  /// False if configurations do not come as publications: then the log holds no stream of them.
  bool m_followPublications = true;
  /// Silence of all readers of lower rank after which rank 1 reads the log; each further rank adds
  /// the step.
  Milliseconds m_readerTakeoverMs = 1700;
  Milliseconds m_readerTakeoverStepMs = 700;
  Milliseconds m_publishWaitMs = 2500;
  Milliseconds m_checkpointEveryMs = 300'000;
  std::uint32_t m_checkpointEveryRecords = 50;
  /// How often a node writes its entry of the directory anew.
  Milliseconds m_directoryEveryMs = 43'200'000;
  /// How long a member that is gone is remembered, so that it can be found again after a cut.
  Milliseconds m_keepGoneMs = 7'200'000;
  /// A gap between ticks that counts as a pause of the process.
  Milliseconds m_pauseMs = 1500;
};

/// What a node knows of one link.
struct Link
{
  std::string m_address;
  bool m_outbound = false;
  Instant m_openedAt;
  Instant m_lastHeard;
  Instant m_lastSent;
  std::uint64_t m_peerPosition = 0;
  std::uint64_t m_peerVersion = 0;
  /// The position up to which records were pushed over the link.
  std::uint64_t m_pushedUpTo = 0;
  /// When the peer was last known to be in contact with the log.
  std::optional<Instant> m_peerLogContact;
  std::optional<DomainSummary> m_subtree;
  /// A heartbeat goes out at the next tick.
  bool m_heartbeatDue = true;
  Instant m_pulledAt;
  /// Since when the peer has been known to be ahead of this node.
  std::optional<Instant> m_behindSince;
  Instant m_digestsSentAt;
  /// Heartbeats in a row whose member digest differed from ours.
  std::uint32_t m_mismatches = 0;
  /// When this node stopped wanting the link.
  std::optional<Instant> m_unwantedSince;
  /// The peer is in another region.
  bool m_foreign = false;
  /// Version of the operator's record that the peer is known to hold, and the one sent to it.
  std::uint64_t m_peerOperator = 0;
  std::uint64_t m_operatorPushed = 0;
  Instant m_operatorPulledAt;
  /// Since when the peer has been known to hold a newer one.
  std::optional<Instant> m_operatorBehindSince;
  /// Sums of failure domains as they were last sent, and when all of them were.
  std::map<DomainKey, DomainSummary> m_sumsSent;
  Instant m_allSumsSentAt;
  /// A heartbeat goes out for changed sums, no sooner than m_sumsEveryMs after the last one.
  bool m_sumsDue = false;
};

/// One version of the operator's record.
struct OperatorText
{
  std::uint64_t m_version = 0;
  std::shared_ptr<const std::string> m_text;
};

/// A connection attempt and its backoff.
struct Dial
{
  bool m_inFlight = false;
  Instant m_notBefore;
  Milliseconds m_delayMs = 0;
  std::uint32_t m_failures = 0;
};

/// Where a starting node stands.
enum class JoinPhase
{
  /// Looking for a peer.
  Searching,
  /// A peer is answering.
  Joining,
  /// No peer answered: replaying checkpoints and the log.
  FromLog,
  Joined,
};

/// Counts for metrics; they only rise.
struct ControllerCounters
{
  std::uint64_t m_recordsPushed = 0;
  std::uint64_t m_recordsReceived = 0;
  std::uint64_t m_recordsRepeated = 0;
  std::uint64_t m_gaps = 0;
  std::uint64_t m_pulls = 0;
  std::uint64_t m_wholesSent = 0;
  std::uint64_t m_wholesTaken = 0;
  std::uint64_t m_divergences = 0;
  std::uint64_t m_publicationsRefused = 0;
  std::uint64_t m_logReads = 0;
  std::uint64_t m_joinsAnswered = 0;
  std::uint64_t m_joinsDeferred = 0;
  std::uint64_t m_accusations = 0;
  std::uint64_t m_refutations = 0;
  std::uint64_t m_pauses = 0;
  /// Reads of a log that ends before this node's position: it lost records.
  std::uint64_t m_logWentBack = 0;
};

/// A publish request that waits for its outcome.
struct WaitingPublish
{
  std::uint64_t m_request = 0;
  std::string m_publishId;
  std::string m_body;
  Instant m_deadline;
  Instant m_retryAt;
  bool m_appendInFlight = false;
  std::string m_lastReason;
};

/// The whole state of one node's controller.
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
  std::map<std::string, Dial, std::less<>> m_dials;
  ControllerCounters m_counters;

  JoinPhase m_phase = JoinPhase::Searching;
  Instant m_startedAt;
  Instant m_phaseSince;
  std::string m_joinPeer;
  Instant m_joinRetryAt;
  /// Spreads the turn to the log of nodes that start together.
  Milliseconds m_logJoinJitterMs = 0;
  std::uint64_t m_floor = 0;
  bool m_directoryWriting = false;
  bool m_directoryReading = false;
  /// The own entry was written since the directory was last read.
  bool m_directoryDue = false;
  Instant m_directoryRetryAt;
  Milliseconds m_directoryDelayMs = 0;
  /// The directory as it was last read.
  std::vector<DirectoryEntry> m_directory;
  Instant m_nextStrangers;

  /// Reason why replay stopped before a record, empty while it goes on.
  std::string m_blockedReason;
  bool m_readInFlight = false;
  Instant m_readStartedAt;
  std::optional<Instant> m_logContact;
  Instant m_logRetryAt;
  Milliseconds m_logDelayMs = 0;
  bool m_logCaughtUp = false;
  bool m_checkpointsAsked = false;

  /// The latest versions, the newest last: bases of deltas.
  std::deque<OperatorText> m_operatorTexts;
  Instant m_lastCheckpoint;
  std::uint32_t m_recordsSinceCheckpoint = 0;
  Instant m_nextDirectory;
  Instant m_nextGoneProbe;
  Instant m_nextJudgement;

  std::vector<WaitingPublish> m_publishes;
  std::map<std::string, membership::Member, std::less<>> m_outbox;
  std::vector<wire::AccusationT> m_accusationOutbox;
  std::set<std::string, std::less<>> m_wanted;
  std::set<DomainKey> m_dark;
  bool m_topologyDirty = true;
  bool m_membersChanged = true;
  std::uint64_t m_memberDigest = 0;
  Instant m_joinWindow;
  std::uint32_t m_joinsInWindow = 0;

  Instant m_lastTick;
  bool m_mustCheckPeers = false;
  std::uint64_t m_checkNonce = 0;
  Instant m_pausedAt;
  bool m_ready = false;
  bool m_draining = false;
  bool m_left = false;
};

/// @return the controller of a node that has just started.
Controller
MakeController(const ControllerOptions& aOptions, Instant aNow);

/// Takes one event at one time.
/// @return what the node must do, in order.
Actions
Step(Controller& aController, Event aEvent, Instant aNow);

/// @return this node's entry.
const membership::Member&
Self(const Controller& aController);

/// @return true if this node has to watch the store for the operator's record now: it is one of its
/// region's readers, holds no version yet, or hears of nobody.
bool
ReadsOperatorRecord(const Controller& aController, Instant aNow);

/// @return the version of the operator's record that this node holds; 0 if none.
std::uint64_t
HeldOperatorVersion(const Controller& aController);

/// @return this node's rank among the readers of its region.
std::size_t
ReaderRank(const Controller& aController);

} // namespace sequoiastep::distribution
