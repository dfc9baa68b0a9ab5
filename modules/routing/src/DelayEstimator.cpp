#include "DelayEstimator.h"

#include <algorithm>

namespace sequoiastep::routing {

namespace {

// The relative drift of two clocks is well below one part in this many.
constexpr Milliseconds kDriftDivisor = 2000;

} // namespace

Milliseconds
EstimateDelay(DelayEstimator& aEstimator, Milliseconds aSentMs, Instant aNow)
{
  const Milliseconds difference = aNow.m_ms - aSentMs;
  if (!aEstimator.m_minDifference) {
    aEstimator.m_minDifference = difference;
    aEstimator.m_adjustedAt = aNow;
    return 0;
  }
  const Milliseconds drift = (aNow - aEstimator.m_adjustedAt) / kDriftDivisor;
  if (drift > 0) {
    *aEstimator.m_minDifference += drift;
    aEstimator.m_adjustedAt = aNow;
  }
  const Milliseconds delay = difference - *aEstimator.m_minDifference;
  aEstimator.m_minDifference = std::min(*aEstimator.m_minDifference, difference);
  return std::max<Milliseconds>(0, delay);
}

} // namespace sequoiastep::routing
