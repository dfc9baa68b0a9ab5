/// @file
/// Follows a topic that keeps the newest record of each key: first the newest records, then every
/// later one by a waiting read, and the newest ones again when records in between were lost.
#pragma once

#include "Clock.h"
#include "Random.h"

#include <cstdint>
#include <optional>

namespace sequoiastep::distribution {

/// Where the follower is.
struct TopicFollower
{
  /// Offset of the next record; nothing before the newest ones were read.
  std::optional<std::uint64_t> m_next;
  Milliseconds m_delayMs = 0;
};

/// How a call of the follower ended.
enum class FollowOutcome
{
  /// It was answered.
  Read,
  /// The records that it asked for are gone.
  Gone,
  /// No whole answer came.
  Failed,
};

/// Takes the outcome of a call.
/// @param aNext offset that follows what was read.
/// @return how long to wait before the next call.
Milliseconds
NoteFollowed(TopicFollower& aFollower,
             FollowOutcome aOutcome,
             std::uint64_t aNext,
             Random& aRandom);

} // namespace sequoiastep::distribution
