/// @file
/// Inputs (events) and outputs (actions) of a controller. The node's threads deliver the events and
/// perform the actions; tests do both directly.
#pragma once

#include "Members.h"
#include "Messages_generated.h"
#include "Replay.h"
#include "RolloutTable.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sequoiastep::distribution {

/// A link to a peer was established in both directions. Replaces any older link to the same node.
struct LinkOpened
{
  std::string m_node;
  std::string m_address;
  std::string m_region;
  bool m_outbound = false;
};

/// The link to a peer was lost.
struct LinkClosed
{
  std::string m_node;
};

/// A connection that OpenLink asked for failed.
struct ConnectFailed
{
  std::string m_address;
};

/// A peer sent a message.
struct MessageReceived
{
  std::string m_node;
  wire::EnvelopeT m_message;
};

/// One record of the log: its offset and its encoded body.
struct LogRecordBody
{
  std::uint64_t m_offset = 0;
  std::string m_body;
};

/// Result of ReadConfig; m_records is empty if no record came within the wait.
struct ConfigRead
{
  std::vector<LogRecordBody> m_records;
  /// Offset that the stream assigns next; empty if the log did not report it.
  std::optional<std::uint64_t> m_next;
};

/// The configuration stream no longer holds the requested records.
struct ConfigExpired
{
  /// Lowest offset that the stream still holds.
  std::uint64_t m_first = 0;
};

/// A read of the configuration stream failed; it may be retried.
struct ConfigReadFailed
{};

/// Result of ReadCheckpoints: the newest checkpoints, oldest first; none if the stream is empty or
/// cannot be read.
struct CheckpointsRead
{
  std::vector<std::string> m_bodies;
};

/// Directory entry of one node: its region and its peer addresses.
struct DirectoryEntry
{
  std::string m_region;
  std::vector<std::string> m_addresses;
};

/// Result of AppendDirectory.
struct DirectoryWritten
{
  /// False if the log did not confirm the write.
  bool m_ok = false;
  /// Era of the log in its answer; 0 if it names none.
  std::uint64_t m_era = 0;
};

/// Result of ReadDirectory: the newest entry of each node.
struct DirectoryRead
{
  /// False if the directory could not be read.
  bool m_ok = false;
  std::vector<DirectoryEntry> m_entries;
};

/// Result of appending a publication to the log.
enum class AppendResult
{
  Appended,
  /// The log reported that it did not store the record.
  NotAppended,
  /// No answer came; the record may or may not be in the log.
  Unknown,
};

/// Result of AppendPublication.
struct PublicationAppended
{
  std::string m_publishId;
  AppendResult m_result = AppendResult::Unknown;
};

/// An operator's publish request; answered by AnswerPublish with the same request number.
struct PublishRequested
{
  std::uint64_t m_request = 0;
  /// The publication as JSON.
  std::string m_text;
};

/// The target beside the node announced itself, or its announcement's time to live expired (then
/// m_service is empty).
struct TargetChanged
{
  std::string m_service;
  std::uint16_t m_slots = 0;
  std::uint32_t m_warmUpMs = 0;
  bool m_draining = false;
  /// Requests per second that it accepts from all nodes together; none if it named no limit.
  std::optional<double> m_perSecond;
  /// Software version; empty if it reported none.
  std::string m_version;
};

/// A target of this host leaves. Answered by DepartureKept with the same request number once a peer
/// holds the departure; it then outlives this process.
struct DepartureRecorded
{
  std::uint64_t m_request = 0;
  Departure m_departure;
};

/// This node applied a newer version of the operator's record, read from the store or sent by a
/// peer.
struct OperatorRecordApplied
{
  std::uint64_t m_version = 0;
  std::shared_ptr<const std::string> m_text;
  /// The peer that sent it; empty if it came from the store.
  std::string m_from;
};

/// This node read an order for a rollout from the store.
struct RolloutOrdered
{
  std::string m_service;
  std::string m_version;
  Milliseconds m_durationMs = 0;
  rollout::OrderId m_order;
  /// True if the order was written just now; else its age is not known.
  bool m_fresh = false;
  /// Version of the service's other targets; empty if it is not known.
  std::string m_established;
  /// Completed or RolledBack, with the offset of its record, if the store holds the final state.
  rollout::RolloutPhase m_phase = rollout::RolloutPhase::Trial;
  std::optional<std::uint64_t> m_finalOffset;
};

/// This node judged a rollout, or found or wrote its final state in the store.
struct RolloutDecided
{
  std::string m_service;
  rollout::OrderId m_order;
  rollout::RolloutPhase m_phase = rollout::RolloutPhase::Trial;
  /// Offset of the record with the final state; none if the store is not known to hold it.
  std::optional<std::uint64_t> m_finalOffset;
  /// What the decision rests on, for the log.
  std::string m_reason;
};

/// The platform's store answered a read by this node.
struct StoreAnswered
{
  /// Era of the store, which rises when it was restored from a copy; 0 if it names none.
  std::uint64_t m_era = 0;
};

/// A call arrived that an earlier hop had routed by a newer version than this node holds.
struct VersionWanted
{
  std::uint64_t m_version = 0;
};

/// The node must stop accepting new calls.
struct DrainRequested
{};

/// The node is about to stop; sent after it has drained.
struct LeaveRequested
{};

/// Sent every kTickMs.
struct Tick
{};

using Event = std::variant<LinkOpened,
                           LinkClosed,
                           ConnectFailed,
                           MessageReceived,
                           ConfigRead,
                           ConfigExpired,
                           ConfigReadFailed,
                           CheckpointsRead,
                           DirectoryWritten,
                           DirectoryRead,
                           PublicationAppended,
                           PublishRequested,
                           TargetChanged,
                           DepartureRecorded,
                           OperatorRecordApplied,
                           RolloutOrdered,
                           RolloutDecided,
                           StoreAnswered,
                           VersionWanted,
                           DrainRequested,
                           LeaveRequested,
                           Tick>;

/// Connect to the peer at m_address.
struct OpenLink
{
  std::string m_address;
};

/// Close the link to a peer.
struct CloseLink
{
  std::string m_node;
};

/// Send a message to a peer; dropped if the link is closed.
struct SendMessage
{
  std::string m_node;
  std::shared_ptr<const wire::EnvelopeT> m_message;
};

/// Read the configuration stream from the offset m_from, waiting up to m_waitMs for a record;
/// answered by ConfigRead, ConfigExpired or ConfigReadFailed.
struct ReadConfig
{
  std::uint64_t m_from = 0;
  Milliseconds m_waitMs = 0;
};

/// Read the newest checkpoints; answered by CheckpointsRead.
struct ReadCheckpoints
{};

/// Read all entries of the directory; answered by DirectoryRead.
struct ReadDirectory
{};

/// Append a publication to the configuration stream; answered by PublicationAppended.
struct AppendPublication
{
  std::string m_publishId;
  std::string m_body;
};

/// Write a checkpoint; no event follows.
struct AppendCheckpoint
{
  std::string m_body;
};

/// Write this node's directory entry; answered by DirectoryWritten.
struct AppendDirectory
{
  DirectoryEntry m_entry;
};

/// Apply an operator's record that a peer sent; OperatorRecordApplied follows if it is valid and
/// newer than the one in force.
struct ApplyOperatorRecord
{
  std::string m_from;
  std::string m_text;
};

/// Answer a publish request.
struct AnswerPublish
{
  std::uint64_t m_request = 0;
  /// False if the outcome is not known; m_outcome.m_reason then says why.
  bool m_known = false;
  config::Outcome m_outcome;
};

/// Route new calls by this snapshot.
struct InstallSnapshot
{
  std::shared_ptr<const config::Snapshot> m_snapshot;
};

/// The member list changed; the node must rebuild the view that calls are routed by.
struct MembersChanged
{};

/// The table of rollouts changed; the node must rebuild the view that calls are routed by.
struct RolloutsChanged
{};

/// The node became ready for calls, or stopped being ready.
struct ReadinessChanged
{
  bool m_ready = false;
};

/// A peer holds a departure that DepartureRecorded named.
struct DepartureKept
{
  std::uint64_t m_request = 0;
  /// The peer that confirmed it.
  std::string m_node;
};

/// A peer sent what it holds of this node's own entry.
struct OwnEntryRecalled
{
  /// Targets of this host that left.
  std::vector<Departure> m_departures;
  /// The entry is of an earlier process of this node, so that the peer remembers what that one
  /// acknowledged.
  bool m_ofPredecessor = false;
};

using Action = std::variant<OpenLink,
                            CloseLink,
                            SendMessage,
                            ReadConfig,
                            ReadCheckpoints,
                            ReadDirectory,
                            AppendPublication,
                            AppendCheckpoint,
                            AppendDirectory,
                            ApplyOperatorRecord,
                            AnswerPublish,
                            InstallSnapshot,
                            MembersChanged,
                            RolloutsChanged,
                            ReadinessChanged,
                            DepartureKept,
                            OwnEntryRecalled>;

using Actions = std::vector<Action>;

} // namespace sequoiastep::distribution
