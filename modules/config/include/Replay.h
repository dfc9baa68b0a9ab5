/// @file
/// Replay of the configuration stream: a pure function of the state and the next record, so that
/// every node accepts the same publications.
///
/// Positions count records from 1: position P includes the records at offsets below P. A version is
/// the position right after its accepted publication, so version 0 means that there is no
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

/// Most publish ids whose outcome is kept. A record that repeats one of them is not applied again.
constexpr std::size_t kMaxOutcomes = 1024;

using wire::PublishOutcome;

/// @return the name of aOutcome in answers and logs.
std::string_view
NameOf(PublishOutcome aOutcome);

/// The decision of replay about one publication.
struct Outcome
{
  std::string m_publishId;
  std::uint64_t m_offset = 0;
  PublishOutcome m_outcome = PublishOutcome::Refused;
  /// The version after the record: the new one if accepted, else the unchanged current one.
  std::uint64_t m_version = 0;
  std::string m_reason;
};

/// The complete state of replay at one position. Immutable once built.
struct ReplayState
{
  std::uint64_t m_position = 0;
  std::uint64_t m_version = 0;
  /// Digest of m_version and m_canonicalText.
  std::uint64_t m_digest = 0;
  Documents m_documents;
  /// Canonical text of m_documents.
  std::string m_canonicalText;
  /// Outcomes of the latest publish ids, oldest first; at most kMaxOutcomes.
  std::deque<Outcome> m_outcomes;
};

using ReplayStatePtr = std::shared_ptr<const ReplayState>;

/// Effect of one record on replay.
enum class ReplayStatus
{
  /// The record's publication made a new version.
  Accepted,
  /// The position moved past the record, and the version is unchanged.
  Skipped,
  /// The record has a newer format or an unknown kind: replay stops before it until this node is
  /// upgraded.
  Blocked,
};

/// The result of replaying one record.
struct ReplayResult
{
  ReplayStatus m_status = ReplayStatus::Skipped;
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
ReplayResult
Replay(const ReplayStatePtr& aState, std::uint64_t aOffset, std::string_view aBody);

/// @return the outcome kept for aPublishId, or nullptr.
const Outcome*
FindOutcome(const ReplayState& aState, std::string_view aPublishId);

/// @return aState as a compressed checkpoint.
std::string
EncodeCheckpoint(const ReplayState& aState);

/// @return the state in aBytes, checked against its digest and validated by the same rules as a
/// publication, or BadFrame, TooLarge, NewerFormat or BadDocument.
Result<ReplayStatePtr>
DecodeCheckpoint(std::string_view aBytes);

/// The configuration that calls are routed by: that of the node's own region at one version.
struct Snapshot
{
  std::uint64_t m_version = 0;
  std::uint64_t m_digest = 0;
  std::shared_ptr<const EffectiveConfig> m_effective;
};

/// @return the snapshot of aRegion. All references resolve, since replay validated aState.
std::shared_ptr<const Snapshot>
MakeSnapshot(const ReplayState& aState, std::string_view aRegion);

} // namespace sequoiastep::config
