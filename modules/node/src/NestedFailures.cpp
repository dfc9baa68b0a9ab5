#include "NestedFailures.h"

#include <algorithm>

namespace sequoiastep::node {

namespace {

constexpr std::size_t kMaxFailures = 256;

} // namespace

void
RecordNestedFailure(NestedFailures& aFailures, const NestedFailure& aFailure)
{
  aFailures.m_failures.push_back(aFailure);
  if (aFailures.m_failures.size() > kMaxFailures) {
    aFailures.m_failures.pop_front();
  }
}

bool
MayExplain(const NestedFailures& aFailures, const TraceId& aTrace, Instant aStart)
{
  return std::any_of(
    aFailures.m_failures.rbegin(), aFailures.m_failures.rend(), [&](const NestedFailure& aFailure) {
      return aFailure.m_at >= aStart && (!aFailure.m_trace || *aFailure.m_trace == aTrace);
    });
}

} // namespace sequoiastep::node
