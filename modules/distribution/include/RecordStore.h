/// @file
/// The latest records of the configuration stream, kept to pass on and to mend gaps of others.
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

/// Bounded memory of replayed records, oldest first, and of records that wait for a gap to close.
struct RecordStore
{
  std::size_t m_maxRecords = 128;
  std::size_t m_maxBytes = 2U << 20;
  std::size_t m_maxWaiting = 256;
  std::size_t m_bytes = 0;
  std::deque<RecordPtr> m_replayed;
  /// By the position that a record follows.
  std::map<std::uint64_t, RecordPtr> m_waiting;
};

/// Keeps a record that was replayed just now; the oldest make room.
void
KeepReplayed(RecordStore& aStore, RecordPtr aRecord);

/// Keeps a record whose predecessors are missing; the one furthest ahead makes room.
void
KeepWaiting(RecordStore& aStore, RecordPtr aRecord);

/// @return the waiting record that follows aPosition; records before it are dropped.
std::optional<RecordPtr>
TakeWaiting(RecordStore& aStore, std::uint64_t aPosition);

/// @return the records after aPosition up to the newest, or nothing if one of them is not held.
std::optional<std::vector<RecordPtr>>
RecordsAfter(const RecordStore& aStore, std::uint64_t aPosition);

} // namespace sequoiastep::distribution
