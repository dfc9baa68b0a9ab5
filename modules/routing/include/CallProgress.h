/// @file
/// The attempts of one call and whether another one follows. An attempt whose node fell silent goes
/// on, since its answer may still come; a retry is then added to it, and the first success ends the
/// call.
#pragma once

#include "Retry.h"

#include <cstdint>

namespace sequoiastep::routing {

/// What is recorded of one attempt.
struct AttemptRecord
{
  /// The retry budget was charged for it.
  bool m_charged = false;
  /// It is among RetryContext::m_arrivals.
  bool m_countedArrival = false;
  /// The node beside its target fell silent.
  bool m_unresponsive = false;
};

/// How one attempt ended.
struct AttemptEnd
{
  AttemptOutcome m_outcome = AttemptOutcome::Unknown;
  /// The target may have received the request.
  bool m_arrived = false;
  /// The targets are full even for a call that accepts any wait.
  bool m_targetsFull = false;
};

/// Progress of one call.
struct CallProgress
{
  RetryContext m_context{ .m_handovers = 0 };
  /// Decision after the latest event.
  RetryDecision m_decision = RetryDecision::TryFree;
  /// Attempts that have not ended.
  std::uint32_t m_inFlight = 0;
  /// Those of them whose node fell silent.
  std::uint32_t m_unresponsive = 0;
  /// An attempt succeeded: its answer is final.
  bool m_succeeded = false;
};

/// Records that an attempt was sent to a node.
/// @return the record of the attempt, for the functions below.
AttemptRecord
RecordStart(CallProgress& aProgress);

/// Records that no target was left for the attempt that m_decision allowed.
void
RecordNoTarget(CallProgress& aProgress, RetryBudget& aBudget, Instant aNow);

/// Records that the node beside an attempt's target fell silent, and decides whether a retry is
/// added. Call it once per attempt at most.
/// @param aLeftMs time left until the call's deadline.
void
RecordUnresponsive(CallProgress& aProgress,
                   AttemptRecord& aAttempt,
                   RetryBudget& aBudget,
                   Milliseconds aLeftMs,
                   Instant aNow);

/// Records the end of an attempt and decides whether another one follows. None does while one is in
/// flight whose node is not silent.
/// @param aLeftMs time left until the call's deadline.
void
RecordEnd(CallProgress& aProgress,
          AttemptRecord& aAttempt,
          const AttemptEnd& aEnd,
          RetryBudget& aBudget,
          Milliseconds aLeftMs,
          Instant aNow);

/// @return true if the call has its final answer: an attempt succeeded, or none is in flight and
/// none follows.
bool
IsFinished(const CallProgress& aProgress);

} // namespace sequoiastep::routing
