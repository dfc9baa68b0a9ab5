/// @file
/// Distributed tracing: reads and writes W3C trace context, and logs a span for each hop of a call.
#pragma once

#include "Clock.h"
#include "Random.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiastep::node {

/// Trace context of a call: trace id, parent span and sampling flag.
struct TraceContext
{
  std::uint64_t m_traceHigh = 0;
  std::uint64_t m_traceLow = 0;
  /// Id of the span that is the parent of the next one; 0 if there is none.
  std::uint64_t m_parentSpan = 0;
  bool m_sampled = false;
};

/// @return the context in a `traceparent` header, or nothing if it is malformed.
std::optional<TraceContext>
ParseTraceparent(std::string_view aText);

/// @return aContext as a `traceparent` header.
std::string
FormatTraceparent(const TraceContext& aContext);

/// @return the context of a new trace, sampled with the given probability.
TraceContext
StartTrace(Random& aRandom, double aSampleProbability);

/// Span of one hop of a call. It is logged when it ends, if the trace is sampled.
class Span
{
public:
  /// @param aName name of the hop, in lower_case; must outlive this.
  Span(const TraceContext& aParent, std::string_view aName, Random& aRandom);
  /// @return the context to pass on, with this span as the parent.
  const TraceContext& Context() const;
  /// Logs the span if the trace is sampled, and keeps it for RecentSpans().
  /// @param aPeer node that the hop led to, or "target".
  void End(std::string_view aOutcome, std::string_view aPeer) const;
  /// @return microseconds since the hop started.
  std::int64_t ElapsedUs() const;

private:
  TraceContext m_context;
  std::uint64_t m_parentSpan;
  std::string_view m_name;
  Milliseconds m_startUnixMs;
  std::int64_t m_startUs;
};

/// @return the newest spans of this process, oldest first, one line each. Thread-safe.
std::string
RecentSpans();

} // namespace sequoiastep::node
