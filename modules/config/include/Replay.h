/// @file
/// Replay of the configuration stream: the one pure function by which every node decides alike
/// which publications are accepted.
///
/// Positions count records from 1: position P includes the records at offsets below P. A version is
/// the position right after the publication that was accepted, so version 0 means that there is no
/// configuration yet.
#pragma once

#include "Documents.h"
#include "Error.h"
#include "Messages_generated.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace sequoiastep::config {

/// Publish ids whose outcome is remembered.
constexpr std::size_t kRememberedOutcomes = 1024;

using wire::PublishOutcome;

/// @return the name of aOutcome in answers and logs.
std::string_view
NameOf(PublishOutcome aOutcome);

/// What replay decided about one publication.
struct Outcome
{
  std::string m_publishId;
  std::uint64_t m_offset = 0;
  PublishOutcome m_outcome = PublishOutcome::Refused;
  /// The version after the decision: the new one if accepted, else the one that stayed.
  std::uint64_t m_version = 0;
  std::string m_reason;
};

/// Everything that replay knows at one position. Never changed once made.
struct ReplayState
{
  std::uint64_t m_position = 0;
  std::uint64_t m_version = 0;
  /// Digest of version and canonical text.
  std::uint64_t m_digest = 0;
  Documents m_documents;
  std::string m_canonical;
  /// Oldest first.
  std::deque<Outcome> m_outcomes;
};

using ReplayStatePtr = std::shared_ptr<const ReplayState>;

/// How far one record got.
enum class ReplayStep
{
  /// A new version is in force.
  Accepted,
  /// The record counts as read, and the version stayed.
  Passed,
  /// The record is of a newer format or kind: replay must stop before it until an upgrade.
  Blocked,
};

/// The result of replaying one record.
struct Replayed
{
  ReplayStep m_step = ReplayStep::Passed;
  /// The state after the record; the state before it if blocked.
  ReplayStatePtr m_state;
  /// Why the record was not accepted, with the remedy.
  std::string m_reason;
};

/// @return the state before the first record.
ReplayStatePtr
MakeEmptyState();

/// Replays one record.
/// @param aOffset offset of the record; at or after aState's position.
Replayed
Replay(const ReplayStatePtr& aState, std::uint64_t aOffset, std::string_view aBody);

/// @return the remembered outcome of aPublishId, or nullptr.
const Outcome*
FindOutcome(const ReplayState& aState, std::string_view aPublishId);

/// @return aState as a compressed checkpoint.
std::string
EncodeCheckpoint(const ReplayState& aState);

/// @return the state in aBytes, checked against its digest and by the same rules as a publication,
/// or BadFrame, TooLarge, NewerFormat or BadDocument.
Result<ReplayStatePtr>
DecodeCheckpoint(std::string_view aBytes);

/// What calls are routed by: the configuration of the node's own region at one version.
struct Snapshot
{
  std::uint64_t m_version = 0;
  std::uint64_t m_digest = 0;
  std::shared_ptr<const Effective> m_effective;
};

/// @return the snapshot of aRegion; aState was accepted by Replay, so it always resolves.
std::shared_ptr<const Snapshot>
MakeSnapshot(const ReplayState& aState, std::string_view aRegion);

} // namespace sequoiastep::config
