/// @file
/// The latest rollout of each service, replicated on all nodes. Entries are merged without a
/// coordinator: any order of messages gives the same table.
#pragma once

#include "Clock.h"
#include "Messages_generated.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiastep::rollout {

using wire::RolloutPhase;

/// Identifies an order: the later one is greater.
struct OrderId
{
  /// Era of the store, which rises when the store was restored from a copy.
  std::uint64_t m_era = 0;
  /// Offset of the order's record in the store.
  std::uint64_t m_offset = 0;

  auto operator<=>(const OrderId&) const = default; // NOLINT(modernize-use-nullptr)
};

/// A rollout of one service.
struct Rollout
{
  std::string m_service;
  /// Version that is rolled out.
  std::string m_version;
  OrderId m_order;
  Milliseconds m_durationMs = 0;
  /// When the version must be completed or rolled back.
  Instant m_deadline;
  RolloutPhase m_phase = RolloutPhase::Trial;
  /// Offset of the record with the final state in the store; not set until this node knows it.
  std::optional<std::uint64_t> m_finalOffset;
  /// Version that the service's targets had before the order; empty if it is not known.
  std::string m_established;
  /// When this node first learnt of the order.
  Instant m_learnedAt;
};

/// The latest rollout of each service.
struct RolloutTable
{
  std::map<std::string, Rollout, std::less<>> m_services;
};

/// Result of merging an entry.
enum class MergeResult
{
  /// The entry was new or newer and is now in the table; it should be passed on.
  Changed,
  /// The table already held the entry.
  Known,
  /// The table holds a newer entry, which should be sent back.
  Older,
};

/// @return the name of aPhase in logs and admin responses.
std::string_view
NameOf(RolloutPhase aPhase);

/// @return true if the phase never changes again for its order.
bool
IsFinal(RolloutPhase aPhase);

/// Merges an entry. The later order wins; within an order, the later phase; between the two final
/// phases, the one whose record lies first in the store, and before that RolledBack. Within an
/// order the earliest deadline and the first established version by name count.
MergeResult
Merge(RolloutTable& aTable, const Rollout& aEntry, Instant aNow);

/// @return the rollout of aService, or nullptr.
const Rollout*
FindRollout(const RolloutTable& aTable, std::string_view aService);

/// @return a digest that is the same for equal tables on all nodes; 0 for an empty table.
std::uint64_t
Digest(const RolloutTable& aTable);

/// @return the rollout as a wire message sent at aNow.
wire::RolloutEntryT
ToWire(const Rollout& aRollout, Instant aNow);

/// @return the rollout in a wire message received at aNow.
Rollout
FromWire(const wire::RolloutEntryT& aEntry, Instant aNow);

} // namespace sequoiastep::rollout
