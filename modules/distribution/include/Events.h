/// @file
/// What a controller is told (events) and what it asks for (actions). The node's threads carry
/// both; tests feed and read them directly.
#pragma once

#include "Members.h"
#include "Messages_generated.h"
#include "Replay.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sequoiastep::distribution {

/// A link to a peer works in both directions. Replaces any older link to the same node.
struct LinkOpened
{
  std::string m_node;
  std::string m_address;
  std::string m_region;
  bool m_outbound = false;
};

/// The link to a peer is gone.
struct LinkClosed
{
  std::string m_node;
};

/// A connection that OpenLink asked for failed.
struct ConnectFailed
{
  std::string m_address;
};

/// A message came from a peer.
struct MessageReceived
{
  std::string m_node;
  wire::EnvelopeT m_message;
};

/// One record as the log holds it.
struct LogRecordBody
{
  std::uint64_t m_offset = 0;
  std::string m_body;
};

/// Records of the configuration stream; none if the wait ended without one.
struct ConfigRead
{
  std::vector<LogRecordBody> m_records;
  /// Offset that the stream gives out next; nothing if the log did not tell.
  std::optional<std::uint64_t> m_next;
};

/// The configuration stream no longer holds the records that were asked for.
struct ConfigExpired
{
  std::uint64_t m_first = 0;
};

/// The configuration stream can't be read now.
struct ConfigReadFailed
{};

/// The newest checkpoints, oldest first; none if the stream is empty or can't be read.
struct CheckpointsRead
{
  std::vector<std::string> m_bodies;
};

/// What a node wrote to the directory: its region and where it is reached.
struct DirectoryEntry
{
  std::string m_region;
  std::vector<std::string> m_addresses;
};

/// This node's entry of the directory was written, or the log did not say so.
struct DirectoryWritten
{
  bool m_ok = false;
};

/// The newest entry of each node.
struct DirectoryRead
{
  /// False if the directory can't be read.
  bool m_ok = false;
  std::vector<DirectoryEntry> m_entries;
};

/// How an append of a publication ended.
enum class AppendResult
{
  Appended,
  /// The log said that it did not take the record.
  NotAppended,
  /// No answer came: the record may be in the log.
  Unknown,
};

struct PublicationAppended
{
  std::string m_publishId;
  AppendResult m_result = AppendResult::Unknown;
};

/// An operator publishes; answered by AnswerPublish with the same request number.
struct PublishRequested
{
  std::uint64_t m_request = 0;
  std::string m_text;
};

/// The target beside the node announced itself, or was silent beyond its time to live.
struct TargetChanged
{
  std::string m_service;
  std::uint16_t m_slots = 0;
  std::uint32_t m_warmUpMs = 0;
  bool m_draining = false;
};

/// This node holds a version of the operator's record, read from the store or sent by a peer.
struct OperatorHeld
{
  std::uint64_t m_version = 0;
  std::shared_ptr<const std::string> m_text;
  /// The peer that sent it; empty if it came from the store.
  std::string m_from;
};

/// The platform's store answered a read of this node.
struct StoreAnswered
{};

/// A call came that an earlier hop routed by a newer version than this node holds.
struct VersionWanted
{
  std::uint64_t m_version = 0;
};

/// The node must stop taking new work.
struct DrainRequested
{};

/// The node stops for good; sent once it is drained.
struct LeaveRequested
{};

/// Comes every kTickMs.
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
                           OperatorHeld,
                           StoreAnswered,
                           VersionWanted,
                           DrainRequested,
                           LeaveRequested,
                           Tick>;

/// Connect to a peer.
struct OpenLink
{
  std::string m_address;
};

/// Close the link to a peer.
struct CloseLink
{
  std::string m_node;
};

/// Send a message; dropped if the link is gone.
struct SendMessage
{
  std::string m_node;
  std::shared_ptr<const wire::EnvelopeT> m_message;
};

/// Read the configuration stream from m_from, waiting up to m_waitMs for a record.
struct ReadConfig
{
  std::uint64_t m_from = 0;
  Milliseconds m_waitMs = 0;
};

struct ReadCheckpoints
{};

struct ReadDirectory
{};

struct AppendPublication
{
  std::string m_publishId;
  std::string m_body;
};

struct AppendCheckpoint
{
  std::string m_body;
};

/// Write this node's entry of the directory; answered by DirectoryWritten.
struct AppendDirectory
{
  DirectoryEntry m_entry;
};

/// A peer sent an operator's record; OperatorHeld follows if it is valid and newer.
struct TakeOperatorRecord
{
  std::string m_from;
  std::string m_text;
};

/// How a publish request ended, as far as it is known.
struct AnswerPublish
{
  std::uint64_t m_request = 0;
  /// False while the outcome is not known; then m_outcome holds only a reason.
  bool m_known = false;
  config::Outcome m_outcome;
};

/// Route new calls by this snapshot from now on.
struct InstallSnapshot
{
  std::shared_ptr<const config::Snapshot> m_snapshot;
};

/// The members, as calls see them, changed.
struct MembersChanged
{};

/// The node may (or may not) take new calls.
struct ReadinessChanged
{
  bool m_ready = false;
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
                            TakeOperatorRecord,
                            AnswerPublish,
                            InstallSnapshot,
                            MembersChanged,
                            ReadinessChanged>;

using Actions = std::vector<Action>;

} // namespace sequoiastep::distribution
