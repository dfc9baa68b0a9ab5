#include "Retry.h"

#include "NameTable.h"

#include <algorithm>
#include <array>

namespace sequoiastep::routing {

namespace {

constexpr Milliseconds kLeastLeftMs = 5;
constexpr Milliseconds kSpanMs = 500;
// What an answer needs to reach its caller, that of another node on its way here included.
constexpr Milliseconds kAnswerWayMs = 45;
// A short wait gives up no more than one of this many parts.
constexpr Milliseconds kAnswerWayParts = 10;

constexpr std::array<NameRow<AttemptOutcome>, 6> kOutcomeNames{ {
  { AttemptOutcome::Done, "done" },
  { AttemptOutcome::NotRun, "not_run" },
  { AttemptOutcome::Overloaded, "no_room" },
  { AttemptOutcome::TurnedAway, "turned_away" },
  { AttemptOutcome::Failed, "ran_and_failed" },
  { AttemptOutcome::Unknown, "unknown" },
} };

constexpr std::array<NameRow<RetryVerdict>, 9> kVerdictNames{ {
  { RetryVerdict::Stop, "answer_stands" },
  { RetryVerdict::StopHandovers, "handovers_used_up" },
  { RetryVerdict::StopAttempts, "attempts_used_up" },
  { RetryVerdict::StopNoTime, "no_time_left" },
  { RetryVerdict::StopBudget, "retry_budget_spent" },
  { RetryVerdict::StopNoTarget, "no_other_target" },
  { RetryVerdict::StopFull, "targets_full" },
  { RetryVerdict::TryFree, "try_free" },
  { RetryVerdict::TryCharged, "try_charged" },
} };

// What the window holds, of the spans that lie within it and those that overlap it.
struct WindowSums
{
  double m_allowed = 0;
  double m_repeats = 0;
  double m_failedRepeats = 0;
};

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
WindowSums
SumsOf(const RetryBudget& aBudget, Instant aNow)
{
  WindowSums sums;
  double requests = 0;
  for (const RetrySpan& span : aBudget.m_spans) {
    const bool inside = aNow - span.m_start <= aBudget.m_allowance.m_windowMs;
    requests += inside ? span.m_requests : 0;
    sums.m_repeats += span.m_repeats;
    sums.m_failedRepeats += span.m_failedRepeats;
  }
  sums.m_allowed = aBudget.m_allowance.m_ratio * requests + aBudget.m_allowance.m_extra;
  return sums;
}

bool
HasLeft(const RetryBudget& aBudget, Instant aNow, bool aFailed)
{
  const WindowSums sums = SumsOf(aBudget, aNow);
  const double failedShare = aBudget.m_allowance.m_failedShare;
  return sums.m_repeats + 1 <= sums.m_allowed &&
         (!aFailed || sums.m_failedRepeats + 1 <= sums.m_allowed * failedShare);
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

std::string_view
NameOf(AttemptOutcome aOutcome)
{
  return NameIn(kOutcomeNames, aOutcome);
}

std::string_view
NameOf(RetryVerdict aVerdict)
{
  return NameIn(kVerdictNames, aVerdict);
}

bool
IsStop(RetryVerdict aVerdict)
{
  return aVerdict != RetryVerdict::TryFree && aVerdict != RetryVerdict::TryCharged;
}

double
RepeatsLeft(const RetryBudget& aBudget, Instant aNow)
{
  const WindowSums sums = SumsOf(aBudget, aNow);
  return std::max(0.0, sums.m_allowed - sums.m_repeats);
}

Milliseconds
TimeForCall(Milliseconds aCallerWaitsMs)
{
  return aCallerWaitsMs - std::min(kAnswerWayMs, aCallerWaitsMs / kAnswerWayParts);
}

RetryVerdict
MayRetry(RetryBudget& aBudget, const RetryQuestion& aQuestion, Instant aNow)
{
  if (!IsRepeatable(aQuestion)) {
    return RetryVerdict::Stop;
  }
  if (aQuestion.m_handovers >= kMostHandovers) {
    return RetryVerdict::StopHandovers;
  }
  if (aQuestion.m_leftMs < kLeastLeftMs) {
    return RetryVerdict::StopNoTime;
  }
  if (aQuestion.m_arrivals == 0) {
    return RetryVerdict::TryFree; // No target saw it, so that trying another adds no load.
  }
  if (aQuestion.m_arrivals >= aQuestion.m_maxAttempts) {
    return RetryVerdict::StopAttempts;
  }
  const bool failed = aQuestion.m_outcome == AttemptOutcome::Failed;
  return TakeRepeat(aBudget, aNow, failed) ? RetryVerdict::TryCharged : RetryVerdict::StopBudget;
}

} // namespace sequoiastep::routing
