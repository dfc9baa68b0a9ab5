/// @file
/// Whether a call that did not succeed is tried again: one layer, a budget, inside the deadline.
#pragma once

#include "Clock.h"
#include "Documents.h"

#include <cstdint>

namespace sequoiastep::routing {

/// What is known of one attempt.
enum class AttemptOutcome
{
  Done,
  /// It was certainly not run.
  NotRun,
  /// It was not run because the target is full.
  Overloaded,
  /// It may have been run.
  Unknown,
};

/// Retries as a share of calls, so that a failing service is not flooded.
struct RetryBudget
{
  /// Retries earned by each call.
  double m_share = 0.1;
  /// Most retries that can be saved up.
  double m_most = 20;
  double m_saved = 10;
};

/// Notes a call that came from outside.
void
EarnRetry(RetryBudget& aBudget);

/// One call that may be tried again.
struct RetryQuestion
{
  AttemptOutcome m_outcome = AttemptOutcome::Done;
  config::Repeat m_repeat = config::Repeat::Never;
  std::uint32_t m_attempts = 1;
  Milliseconds m_leftMs = 0;
};

/// Attempts of one call, the first included.
constexpr std::uint32_t kMostAttempts = 3;

/// @return true if the call may be tried again. The budget is charged if the attempt reached a
/// target or a full queue.
bool
MayRetry(RetryBudget& aBudget, const RetryQuestion& aQuestion);

} // namespace sequoiastep::routing
