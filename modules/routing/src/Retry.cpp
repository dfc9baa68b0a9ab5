#include "Retry.h"

#include <algorithm>

namespace sequoiastep::routing {

namespace {

constexpr Milliseconds kLeastLeftMs = 2;

bool
IsSafe(const RetryQuestion& aQuestion)
{
  switch (aQuestion.m_outcome) {
    case AttemptOutcome::NotRun:
    case AttemptOutcome::Overloaded:
      return true;
    case AttemptOutcome::Unknown:
      return aQuestion.m_repeat == config::Repeat::Safe;
    case AttemptOutcome::Done:
      return false;
  }
  return false;
}

} // namespace

void
EarnRetry(RetryBudget& aBudget)
{
  aBudget.m_saved = std::min(aBudget.m_most, aBudget.m_saved + aBudget.m_share);
}

bool
MayRetry(RetryBudget& aBudget, const RetryQuestion& aQuestion)
{
  if (!IsSafe(aQuestion) || aQuestion.m_attempts >= kMostAttempts ||
      aQuestion.m_leftMs < kLeastLeftMs) {
    return false;
  }
  if (aQuestion.m_outcome == AttemptOutcome::NotRun) {
    return true; // No target saw it, so that trying another adds no load to targets.
  }
  if (aBudget.m_saved < 1) {
    return false;
  }
  aBudget.m_saved -= 1;
  return true;
}

} // namespace sequoiastep::routing
