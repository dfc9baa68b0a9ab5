#include "RateLimiter.h"

#include <algorithm>

namespace sequoiastep::routing {

namespace {

constexpr double kMsPerSecond = 1000;
// Unused tokens are kept for this time, so that requests need not come evenly.
constexpr double kBurstMs = 250;
// Lowest rate, so that the end of a limit of 0 is noticed.
constexpr double kMinPerSecond = 0.2;

double
TokensPerMs(double aPerSecond)
{
  return std::max(aPerSecond, kMinPerSecond) / kMsPerSecond;
}

double
TokensAt(const RateLimiter& aLimiter, Instant aNow)
{
  const double perMs = TokensPerMs(*aLimiter.m_perSecond);
  const auto elapsedMs =
    static_cast<double>(std::max<Milliseconds>(0, aNow - aLimiter.m_refilledAt));
  return std::min(aLimiter.m_tokens + elapsedMs * perMs, std::max(1.0, kBurstMs * perMs));
}

} // namespace

void
SetRate(RateLimiter& aLimiter, std::optional<double> aPerSecond, Instant aNow)
{
  if (aPerSecond == aLimiter.m_perSecond) {
    return;
  }
  aLimiter.m_tokens = aLimiter.m_perSecond ? TokensAt(aLimiter, aNow) : 1;
  aLimiter.m_refilledAt = aNow;
  aLimiter.m_perSecond = aPerSecond;
}

bool
TryTake(RateLimiter& aLimiter, Instant aNow)
{
  if (!aLimiter.m_perSecond) {
    return true;
  }
  aLimiter.m_tokens = TokensAt(aLimiter, aNow);
  aLimiter.m_refilledAt = aNow;
  if (aLimiter.m_tokens < 1) {
    return false;
  }
  aLimiter.m_tokens -= 1;
  return true;
}

double
WaitForTokenMs(const RateLimiter& aLimiter, std::size_t aAhead, Instant aNow)
{
  if (!aLimiter.m_perSecond) {
    return 0;
  }
  const double missing = static_cast<double>(aAhead) + 1 - TokensAt(aLimiter, aNow);
  return std::max(0.0, missing) / TokensPerMs(*aLimiter.m_perSecond);
}

} // namespace sequoiastep::routing
