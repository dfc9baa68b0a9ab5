/// @file
/// Helpers shared by the source files of CallProxy.
#pragma once

#include "Messages_generated.h"
#include "Trace.h"

#include <cstdint>

namespace sequoiastep::node {

/// @return the trace context that aCall carries.
inline TraceContext
TraceOf(const wire::CallT& aCall)
{
  return { .m_traceHigh = aCall.trace_high,
           .m_traceLow = aCall.trace_low,
           .m_parentSpan = aCall.parent_span,
           .m_sampled = aCall.sampled };
}

/// Adds one to a count during its own lifetime. The count must outlive it.
class ScopedCount
{
public:
  explicit ScopedCount(std::uint32_t& aCount)
    : m_count(aCount)
  {
    ++m_count;
  }
  ~ScopedCount() { --m_count; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

private:
  std::uint32_t& m_count;
};

} // namespace sequoiastep::node
