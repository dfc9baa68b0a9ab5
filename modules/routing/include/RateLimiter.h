/// @file
/// Token bucket that keeps the requests to a target within the rate that it accepts.
#pragma once

#include "Clock.h"

#include <cstddef>
#include <optional>

namespace sequoiastep::routing {

/// State of the bucket. Without a rate it lets everything pass.
struct RateLimiter
{
  /// Requests per second.
  std::optional<double> m_perSecond;
  /// Requests that may pass at m_refilledAt.
  double m_tokens = 0;
  Instant m_refilledAt;
};

/// Sets the rate. A new limit begins with one token.
void
SetRate(RateLimiter& aLimiter, std::optional<double> aPerSecond, Instant aNow);

/// Takes the token of one request.
/// @return false if there is none.
bool
TryTake(RateLimiter& aLimiter, Instant aNow);

/// @return the time, in milliseconds, until a request may pass that has aAhead others before it.
double
WaitForTokenMs(const RateLimiter& aLimiter, std::size_t aAhead, Instant aNow);

} // namespace sequoiastep::routing
