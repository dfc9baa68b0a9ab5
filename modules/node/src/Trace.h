/// @file
/// Traces: W3C trace context in and out, and a span as a log line for each hop of a call.
#pragma once

#include "Clock.h"
#include "Random.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiastep::node {

/// Where a call stands in its trace.
struct TraceContext
{
  std::uint64_t m_traceHigh = 0;
  std::uint64_t m_traceLow = 0;
  /// The span that caused the next one; 0 if there is none.
  std::uint64_t m_parent = 0;
  bool m_sampled = false;
};

/// @return the context in a `traceparent` header, or nothing if it is malformed.
std::optional<TraceContext>
ParseTraceparent(std::string_view aText);

/// @return aContext as a `traceparent` header.
std::string
TraceparentText(const TraceContext& aContext);

/// @return a new trace, sampled with the given probability.
TraceContext
StartTrace(Random& aRandom, double aSampleShare);

/// One hop of a call. Written when it ends, if the trace is sampled.
class Span
{
public:
  /// @param aName the hop's name, in lower_case.
  Span(const TraceContext& aParent, std::string_view aName, Random& aRandom);
  /// @return the context for what this hop causes.
  const TraceContext& Context() const;
  /// Writes the span.
  /// @param aPeer node or address that the hop led to.
  void End(std::string_view aOutcome, std::string_view aPeer) const;
  /// @return microseconds since the hop started.
  std::int64_t ElapsedUs() const;

private:
  TraceContext m_context;
  std::uint64_t m_parent;
  std::string_view m_name;
  Milliseconds m_startUnixMs;
  std::int64_t m_startUs;
};

/// @return the newest spans of this process, oldest first, one log line each. Any thread.
std::string
RecentSpans();

} // namespace sequoiastep::node
