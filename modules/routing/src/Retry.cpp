#include "Retry.h"

#include <algorithm>

namespace sequoiastep::routing {

namespace {

constexpr Milliseconds kLeastLeftMs = 5;
constexpr Milliseconds kSpanMs = 500;

// A whole span is forgotten only when all of it is older than the window.
RetrySpan&
CurrentSpan(RetryBudget& aBudget, Instant aNow)
{
  std::deque<RetrySpan>& spans = aBudget.m_spans;
  while (!spans.empty() &&
         aNow - spans.front().m_start > aBudget.m_allowance.m_windowMs + kSpanMs) {
    spans.pop_front();
  }
  if (spans.empty() || aNow - spans.back().m_start >= kSpanMs) {
    spans.push_back({ .m_start = aNow });
  }
  return spans.back();
}

// Requests of the spans that lie within the window, repeats of all that overlap it.
bool
HasLeft(const RetryBudget& aBudget, Instant aNow, bool aFailed)
{
  double requests = 0;
  double repeats = 0;
  double failed = 0;
  for (const RetrySpan& span : aBudget.m_spans) {
    const bool inside = aNow - span.m_start <= aBudget.m_allowance.m_windowMs;
    requests += inside ? span.m_requests : 0;
    repeats += span.m_repeats;
    failed += span.m_failedRepeats;
  }
  const RetryAllowance& allowance = aBudget.m_allowance;
  const double all = allowance.m_ratio * requests + allowance.m_extra;
  return repeats + 1 <= all && (!aFailed || failed + 1 <= all * allowance.m_failedShare);
}

bool
IsRepeatable(const RetryQuestion& aQuestion)
{
  switch (aQuestion.m_outcome) {
    case AttemptOutcome::NotRun:
    case AttemptOutcome::Overloaded:
    case AttemptOutcome::TurnedAway:
      return true;
    case AttemptOutcome::Failed:
    case AttemptOutcome::Unknown:
      return aQuestion.m_repeat == config::Repeat::Safe;
    case AttemptOutcome::Done:
      return false;
  }
  return false;
}

} // namespace

void
NoteRequest(RetryBudget& aBudget, Instant aNow)
{
  ++CurrentSpan(aBudget, aNow).m_requests;
}

bool
TakeRepeat(RetryBudget& aBudget, Instant aNow, bool aFailed)
{
  RetrySpan& span = CurrentSpan(aBudget, aNow);
  if (!HasLeft(aBudget, aNow, aFailed)) {
    return false;
  }
  ++span.m_repeats;
  span.m_failedRepeats += aFailed ? 1 : 0;
  return true;
}

void
ReturnRepeat(RetryBudget& aBudget, Instant aNow)
{
  CurrentSpan(aBudget, aNow);
  for (auto span = aBudget.m_spans.rbegin(); span != aBudget.m_spans.rend(); ++span) {
    if (span->m_repeats > 0) {
      --span->m_repeats;
      return;
    }
  }
}

RetryVerdict
MayRetry(RetryBudget& aBudget, const RetryQuestion& aQuestion, Instant aNow)
{
  if (!IsRepeatable(aQuestion) || aQuestion.m_handovers >= kMostHandovers ||
      aQuestion.m_leftMs < kLeastLeftMs) {
    return RetryVerdict::Stop;
  }
  if (aQuestion.m_arrivals == 0) {
    return RetryVerdict::TryFree; // No target saw it, so that trying another adds no load.
  }
  const bool failed = aQuestion.m_outcome == AttemptOutcome::Failed;
  if (aQuestion.m_arrivals >= aQuestion.m_maxAttempts || !TakeRepeat(aBudget, aNow, failed)) {
    return RetryVerdict::Stop;
  }
  return RetryVerdict::TryCharged;
}

} // namespace sequoiastep::routing
