/// @file
/// Estimates the delay of messages between two nodes whose clocks are not synchronized. The
/// smallest difference between receive and send time is taken as that of an undelayed message.
#pragma once

#include "Clock.h"

#include <optional>

namespace sequoiastep::routing {

/// State of the estimate for one link.
struct DelayEstimator
{
  /// Receiver's clock minus sender's clock for the fastest recent message; none before the first.
  std::optional<Milliseconds> m_minDifference;
  /// When m_minDifference was set, or last raised to allow for clock drift.
  Instant m_adjustedAt;
};

/// Updates the estimate with a received message.
/// @param aSentMs the sender's monotonic clock when it was sent, in milliseconds.
/// @return its delay beyond that of an undelayed message, in milliseconds; 0 for the first.
Milliseconds
EstimateDelay(DelayEstimator& aEstimator, Milliseconds aSentMs, Instant aNow);

} // namespace sequoiastep::routing
