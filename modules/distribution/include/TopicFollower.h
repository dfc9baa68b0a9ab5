/// @file
/// State and backoff of a reader that follows a topic which keeps the newest record of each key. It
/// first reads the newest records, then every later one by long polling, and starts over with the
/// newest ones if records in between have expired.
#pragma once

#include "Clock.h"
#include "Random.h"

#include <cstdint>
#include <optional>

namespace sequoiastep::distribution {

/// Read position and backoff.
struct TopicFollower
{
  /// Offset of the next record; nothing if the newest records must be read first.
  std::optional<std::uint64_t> m_next;
  /// Era of the log in which m_next was learnt; see UpdateFollower.
  std::uint64_t m_era = 0;
  /// Delay after the last read; 0 if it succeeded.
  Milliseconds m_backoffMs = 0;
};

/// Outcome of one read of the topic.
enum class TopicReadOutcome
{
  /// The read was answered, possibly without records.
  Succeeded,
  /// The topic no longer holds the requested records.
  Expired,
  /// No complete answer was received.
  Failed,
};

/// Result of one read.
struct TopicRead
{
  TopicReadOutcome m_outcome = TopicReadOutcome::Failed;
  /// Offset after the last record read; used only if the read succeeded.
  std::uint64_t m_next = 0;
  /// Era of the log in the answer; 0 if the log names none.
  std::uint64_t m_era = 0;
};

/// Updates the position and backoff after a read. In a new era the log was restored from a copy and
/// assigns offsets again, so a position of an earlier era may lie beyond records never read: the
/// newest records are read first.
/// @return how long to wait before the next read, in milliseconds.
Milliseconds
UpdateFollower(TopicFollower& aFollower, const TopicRead& aRead, Random& aRandom);

} // namespace sequoiastep::distribution
