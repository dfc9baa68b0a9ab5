#include "TransitClock.h"

#include <algorithm>

namespace sequoiastep::routing {

namespace {

// Two clocks drift apart by well under one part in this many.
constexpr Milliseconds kDriftParts = 2000;

} // namespace

Milliseconds
NoteTransit(TransitClock& aClock, Milliseconds aSentMs, Instant aNow)
{
  const Milliseconds difference = aNow.m_ms - aSentMs;
  if (!aClock.m_leastDifference) {
    aClock.m_leastDifference = difference;
    aClock.m_lastAt = aNow;
    return 0;
  }
  const Milliseconds drift = (aNow - aClock.m_lastAt) / kDriftParts;
  if (drift > 0) {
    *aClock.m_leastDifference += drift;
    aClock.m_lastAt = aNow;
  }
  const Milliseconds age = difference - *aClock.m_leastDifference;
  aClock.m_leastDifference = std::min(*aClock.m_leastDifference, difference);
  return std::max<Milliseconds>(0, age);
}

} // namespace sequoiastep::routing
