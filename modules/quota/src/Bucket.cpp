#include "Bucket.h"

#include <algorithm>
#include <cmath>

namespace sequoiastep::quota {

namespace {

constexpr double kMillisecondsPerSecond = 1000;
// Rounding errors of many small additions may leave a whole token just below 1.
constexpr double kRounding = 1e-9;

} // namespace

void
Refill(Bucket& aBucket, const BucketLimits& aLimits, Instant aNow)
{
  if (aNow > aBucket.m_filledAt) {
    const auto elapsedMs = static_cast<double>(aNow - aBucket.m_filledAt);
    aBucket.m_tokens += aLimits.m_ratePerSecond * elapsedMs / kMillisecondsPerSecond;
    aBucket.m_filledAt = aNow;
  }
  aBucket.m_tokens = std::min(aBucket.m_tokens, aLimits.m_depth);
}

std::uint32_t
TakeTokens(Bucket& aBucket, std::uint32_t aWanted)
{
  const double whole = std::floor(aBucket.m_tokens + kRounding);
  const double taken = std::clamp(whole, 0.0, static_cast<double>(aWanted));
  aBucket.m_tokens -= taken;
  return static_cast<std::uint32_t>(taken);
}

void
EmptyUntil(Bucket& aBucket, Instant aUntil)
{
  aBucket.m_tokens = 0;
  aBucket.m_filledAt = std::max(aBucket.m_filledAt, aUntil);
}

} // namespace sequoiastep::quota
