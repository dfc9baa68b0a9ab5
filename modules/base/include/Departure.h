/// @file
/// The leaving of a target, which is final for that incarnation of it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sequoiastep {

/// One incarnation of a target that leaves or has left.
struct Departure
{
  /// The target's id.
  std::string m_id;
  /// When the incarnation started, by its own clock in Unix milliseconds; none if it left without
  /// stating it.
  std::optional<std::int64_t> m_bornMs;

  friend bool operator==(const Departure&, const Departure&) = default;
};

/// Adds departures to a list, of which a few with the latest start times are kept. The result is
/// the same in whatever order departures are added.
/// @return true if the list changed.
bool
MergeDepartures(std::vector<Departure>& aList, const std::vector<Departure>& aAdded);

} // namespace sequoiastep
