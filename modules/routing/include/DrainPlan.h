/// @file
/// Schedule of a node's planned stop. All its times are known when it begins, so that requests
/// which can't end in time are refused while they can still be answered.
#pragma once

#include "Clock.h"

namespace sequoiastep::routing {

/// Delays from a stop request, in milliseconds.
struct DrainTimings
{
  /// Until other nodes are told.
  Milliseconds m_announceAfterMs = 0;
  /// From then until calls of other nodes are refused.
  Milliseconds m_noticeMs = 0;
  /// Until new callers are refused.
  Milliseconds m_callerNoticeMs = 0;
  /// Until the process ends at the latest.
  Milliseconds m_totalMs = 0;
};

/// When each step of the stop happens.
struct DrainPlan
{
  Instant m_announceAt;
  Instant m_refuseCallsAt;
  Instant m_refuseCallersAt;
  /// No request starts at a target that would probably end later than this.
  Instant m_lastEnd;
  /// Each request that is still in progress gets its final answer now.
  Instant m_answerBy;
  /// Connections are closed, even if not all answers are delivered.
  Instant m_closeBy;
};

/// @param aStart when the stop was requested.
DrainPlan
PlanDrain(Instant aStart, const DrainTimings& aTimings);

/// @param aUsualMs when a refused caller should come back, whatever the stop.
/// @return when it should come back to this host: not while this node takes no callers and its next
/// process can't be there.
Milliseconds
RetryAfterInDrain(const DrainPlan& aPlan, Milliseconds aUsualMs, Instant aNow);

} // namespace sequoiastep::routing
