/// @file
/// Remembers failed calls that the target beside a node may have made itself, so that a version is
/// not blamed for the errors that follow from them.
#pragma once

#include "Clock.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace sequoiastep::node {

/// Id of a trace.
struct TraceId
{
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;

  friend bool operator==(const TraceId&, const TraceId&) = default;
};

/// A failed call.
struct NestedFailure
{
  Instant m_at;
  /// Trace that its caller named; none if it named no trace.
  std::optional<TraceId> m_trace;
};

/// Failed calls, oldest first; the newest few hundred.
struct NestedFailures
{
  std::deque<NestedFailure> m_failures;
};

/// Adds a failed call.
void
RecordNestedFailure(NestedFailures& aFailures, const NestedFailure& aFailure);

/// @return true if a call failed since aStart that the request with the trace aTrace may have made:
/// one of the same trace, or of none.
bool
MayExplain(const NestedFailures& aFailures, const TraceId& aTrace, Instant aStart);

} // namespace sequoiastep::node
