#include "CallProgress.h"

namespace sequoiastep::routing {

namespace {

// Counts an attempt among the arrivals, or takes it back. Whether the request arrived is presumed
// while the attempt is in flight.
void
SetArrived(RetryContext& aContext, AttemptRecord& aAttempt, bool aArrived)
{
  if (aArrived && !aAttempt.m_countedArrival) {
    ++aContext.m_arrivals;
  } else if (!aArrived && aAttempt.m_countedArrival) {
    --aContext.m_arrivals;
  }
  aAttempt.m_countedArrival = aArrived;
}

// Decides on another attempt. One that is in flight may have arrived: only if its node is silent is
// it counted as such, and is another one worth its load.
RetryDecision
Decide(const CallProgress& aProgress, RetryBudget& aBudget, Instant aNow)
{
  return aProgress.m_inFlight > aProgress.m_unresponsive
           ? RetryDecision::StopInFlight
           : DecideRetry(aBudget, aProgress.m_context, aNow);
}

} // namespace

AttemptRecord
RecordStart(CallProgress& aProgress)
{
  ++aProgress.m_context.m_handovers;
  ++aProgress.m_inFlight;
  const bool charged = aProgress.m_decision == RetryDecision::TryCharged;
  aProgress.m_decision = RetryDecision::Stop;
  return { .m_charged = charged };
}

void
RecordNoTarget(CallProgress& aProgress, RetryBudget& aBudget, Instant aNow)
{
  if (aProgress.m_decision == RetryDecision::TryCharged) {
    RefundRetry(aBudget, aNow);
  }
  aProgress.m_decision = RetryDecision::StopNoTarget;
}

void
RecordUnresponsive(CallProgress& aProgress,
                   AttemptRecord& aAttempt,
                   RetryBudget& aBudget,
                   Milliseconds aLeftMs,
                   Instant aNow)
{
  aAttempt.m_unresponsive = true;
  ++aProgress.m_unresponsive;
  SetArrived(aProgress.m_context, aAttempt, true);
  aProgress.m_context.m_outcome = AttemptOutcome::Unresponsive;
  aProgress.m_context.m_leftMs = aLeftMs;
  aProgress.m_decision = Decide(aProgress, aBudget, aNow);
}

void
RecordEnd(CallProgress& aProgress,
          AttemptRecord& aAttempt,
          const AttemptEnd& aEnd,
          RetryBudget& aBudget,
          Milliseconds aLeftMs,
          Instant aNow)
{
  --aProgress.m_inFlight;
  aProgress.m_unresponsive -= aAttempt.m_unresponsive ? 1 : 0;
  SetArrived(aProgress.m_context, aAttempt, aEnd.m_arrived);
  if (aAttempt.m_charged && !aEnd.m_arrived) {
    RefundRetry(aBudget, aNow);
  }
  aProgress.m_succeeded = aEnd.m_outcome == AttemptOutcome::Done;
  aProgress.m_context.m_outcome = aEnd.m_outcome;
  aProgress.m_context.m_leftMs = aLeftMs;
  aProgress.m_decision =
    aEnd.m_targetsFull ? RetryDecision::StopFull : Decide(aProgress, aBudget, aNow);
}

bool
IsFinished(const CallProgress& aProgress)
{
  return aProgress.m_succeeded || (aProgress.m_inFlight == 0 && IsStop(aProgress.m_decision));
}

} // namespace sequoiastep::routing
