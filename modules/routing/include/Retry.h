/// @file
/// Whether a call that did not succeed is tried again: one layer, a budget, inside the deadline.
#pragma once

#include "Clock.h"
#include "Documents.h"

#include <cstdint>
#include <deque>
#include <string_view>

namespace sequoiastep::routing {

/// What is known of one attempt.
enum class AttemptOutcome
{
  Done,
  /// It was certainly not run, and its target did not see it.
  NotRun,
  /// It was not run because the node beside the target has no room; the target did not see it.
  Overloaded,
  /// Its target turned it away: it was not run.
  TurnedAway,
  /// The target ran it and failed.
  Failed,
  /// It may have been run.
  Unknown,
};

/// @return the name of aOutcome in logs.
std::string_view
NameOf(AttemptOutcome aOutcome);

/// What a node may spend on repeats to one service. All nodes share one allowance, each by its own
/// requests and an equal part of the extra.
struct RetryAllowance
{
  /// Repeats for each request.
  double m_ratio = 0.1;
  /// Repeats in a window besides.
  double m_extra = 10;
  /// Share of both that may go to requests that ran and failed. They may have made calls of their
  /// own, which a repeat makes again, and which count at other services.
  double m_failedShare = 0.3;
  Milliseconds m_windowMs = 10'000;
};

/// Requests and repeats of a short span.
struct RetrySpan
{
  Instant m_start;
  std::uint32_t m_requests = 0;
  std::uint32_t m_repeats = 0;
  /// Those of them whose request had run and failed.
  std::uint32_t m_failedRepeats = 0;
};

/// Repeats of the latest window, so that a failing service is not flooded.
struct RetryBudget
{
  RetryAllowance m_allowance;
  /// Oldest first.
  std::deque<RetrySpan> m_spans;
};

/// Notes a call that came from outside.
void
NoteRequest(RetryBudget& aBudget, Instant aNow);

/// Spends one repeat.
/// @param aFailed the request ran and failed.
/// @return false if the window's allowance is used up.
bool
TakeRepeat(RetryBudget& aBudget, Instant aNow, bool aFailed = false);

/// Gives back a repeat that its target never saw.
void
ReturnRepeat(RetryBudget& aBudget, Instant aNow);

/// @param aCallerWaitsMs how long the caller says it will wait.
/// @return how long the call may take here, so that its answer reaches the caller in that time.
Milliseconds
TimeForCall(Milliseconds aCallerWaitsMs);

/// One call that may be tried again.
struct RetryQuestion
{
  AttemptOutcome m_outcome = AttemptOutcome::Done;
  config::Repeat m_repeat = config::Repeat::Never;
  /// Nodes that it was handed to so far.
  std::uint32_t m_handovers = 1;
  /// Targets that may have seen it so far.
  std::uint32_t m_arrivals = 0;
  std::uint32_t m_maxAttempts = kDefaultAttempts;
  Milliseconds m_leftMs = 0;

  /// Attempts of one call, the first included, if its route does not say.
  static constexpr std::uint32_t kDefaultAttempts = 3;
};

/// Most nodes that one call is handed to.
constexpr std::uint32_t kMostHandovers = 6;

/// What to do after an attempt.
enum class RetryVerdict
{
  /// The answer stands: it is a success, or the call may not run again.
  Stop,
  /// The call went to as many nodes as one call may.
  StopHandovers,
  /// The call went to as many targets as its route allows.
  StopAttempts,
  /// Its time is over.
  StopNoTime,
  /// The repeats of the latest window are used up.
  StopBudget,
  /// No other target is known.
  StopNoTarget,
  /// Targets that may have the call wait as long as it can are full.
  StopFull,
  /// Try another target; the budget is not touched.
  TryFree,
  /// Try another target; the budget was charged.
  TryCharged,
};

/// @return the name of aVerdict in logs.
std::string_view
NameOf(RetryVerdict aVerdict);

/// @return true if aVerdict means no further attempt.
bool
IsStop(RetryVerdict aVerdict);

/// @return repeats that the window still allows.
double
RepeatsLeft(const RetryBudget& aBudget, Instant aNow);

/// @return whether the call may be tried again. A repeat is charged if a target has seen the call.
RetryVerdict
MayRetry(RetryBudget& aBudget, const RetryQuestion& aQuestion, Instant aNow);

} // namespace sequoiastep::routing
