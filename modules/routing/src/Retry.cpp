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
double
LeftInWindow(const RetryBudget& aBudget, Instant aNow)
{
  double requests = 0;
  double repeats = 0;
  for (const RetrySpan& span : aBudget.m_spans) {
    const bool inside = aNow - span.m_start <= aBudget.m_allowance.m_windowMs;
    requests += inside ? span.m_requests : 0;
    repeats += span.m_repeats;
  }
  return aBudget.m_allowance.m_ratio * requests + aBudget.m_allowance.m_extra - repeats;
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
TakeRepeat(RetryBudget& aBudget, Instant aNow)
{
  RetrySpan& span = CurrentSpan(aBudget, aNow);
  if (LeftInWindow(aBudget, aNow) < 1) {
    return false;
  }
  ++span.m_repeats;
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
  if (aQuestion.m_arrivals >= aQuestion.m_maxAttempts || !TakeRepeat(aBudget, aNow)) {
    return RetryVerdict::Stop;
  }
  return RetryVerdict::TryCharged;
}

} // namespace sequoiastep::routing
