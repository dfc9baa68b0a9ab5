/// @file
/// Parts of the calls duty that its source files share.
#pragma once

#include "Messages_generated.h"
#include "Trace.h"

#include <cstdint>

namespace sequoiastep::node {

/// @return where aCall stands in its trace.
inline TraceContext
TraceOf(const wire::CallT& aCall)
{
  return { .m_traceHigh = aCall.trace_high,
           .m_traceLow = aCall.trace_low,
           .m_parent = aCall.parent_span,
           .m_sampled = aCall.sampled };
}

/// Counts one call for as long as it is in progress.
class InProgress
{
public:
  explicit InProgress(std::uint32_t& aCount)
    : m_count(aCount)
  {
    ++m_count;
  }
  ~InProgress() { --m_count; }
  InProgress(const InProgress&) = delete;
  InProgress& operator=(const InProgress&) = delete;

private:
  std::uint32_t& m_count;
};

} // namespace sequoiastep::node
