/// @file
/// Keeps the latest records of the configuration stream, to send them to peers that missed some,
/// and a reorder buffer for records that arrived before their predecessors.
#pragma once

#include "Messages_generated.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace sequoiastep::distribution {

using RecordPtr = std::shared_ptr<const wire::ConfigRecordT>;

/// Bounded buffers of replayed records and of records that arrived out of order.
struct RecordStore
{
  /// Limits of m_replayed: records, and bytes of their bodies.
  std::size_t m_maxReplayed = 128;
  std::size_t m_maxReplayedBytes = 2U << 20;
  /// Limit of m_outOfOrder, in records.
  std::size_t m_maxOutOfOrder = 256;
  /// Bytes of the bodies in m_replayed.
  std::size_t m_replayedBytes = 0;
  /// Oldest first.
  std::deque<RecordPtr> m_replayed;
  /// Keyed by the position that the record follows (its field previous).
  std::map<std::uint64_t, RecordPtr> m_outOfOrder;
};

/// Appends the record that was just replayed. Evicts the oldest records while a limit is exceeded,
/// but always keeps the newest.
void
AddReplayed(RecordStore& aStore, RecordPtr aRecord);

/// Buffers a record whose predecessors are missing. If the buffer is full, evicts the record with
/// the highest position.
void
BufferOutOfOrder(RecordStore& aStore, RecordPtr aRecord);

/// Removes the buffered record that follows aPosition, and drops all records before it.
/// @return the removed record, or nothing if it is not buffered.
std::optional<RecordPtr>
TakeSuccessor(RecordStore& aStore, std::uint64_t aPosition);

/// @return the replayed records after aPosition up to the newest, or nothing if one of them is not
/// held.
std::optional<std::vector<RecordPtr>>
RecordsAfter(const RecordStore& aStore, std::uint64_t aPosition);

} // namespace sequoiastep::distribution
