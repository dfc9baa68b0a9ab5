/// @file
/// How long a message was on its way, by two clocks that are not set alike: the least difference
/// between arrival and sending is what an undelayed message shows.
#pragma once

#include "Clock.h"

#include <optional>

namespace sequoiastep::routing {

/// What one link has shown.
struct TransitClock
{
  /// Receiver's clock less sender's clock for the fastest message lately; nothing before the first.
  std::optional<Milliseconds> m_leastDifference;
  Instant m_lastAt;
};

/// Notes a message.
/// @param aSentMs the sender's monotonic clock when it was sent, in milliseconds.
/// @return how much longer than an undelayed message it took, in milliseconds; 0 for the first.
Milliseconds
NoteTransit(TransitClock& aClock, Milliseconds aSentMs, Instant aNow);

} // namespace sequoiastep::routing
