/// @file
/// Decides whether a call that did not succeed is retried: only one layer retries, within a retry
/// budget and within the call's deadline.
#pragma once

#include "Clock.h"
#include "Documents.h"

#include <cstdint>
#include <deque>
#include <string_view>

namespace sequoiastep::routing {

/// Outcome of one attempt, as far as it is known.
enum class AttemptOutcome
{
  Done,
  /// It was certainly not run, and the target did not receive it.
  NotRun,
  /// It was shed by the node beside the target, which had no room; the target did not receive it.
  Overloaded,
  /// The target received it and refused it: it was not run.
  TurnedAway,
  /// The target ran it and answered with an error.
  Failed,
  /// It may have been run.
  Unknown,
  /// The node beside the target fell silent. The attempt goes on, since its answer may still come.
  Unresponsive,
};

/// @return the name of aOutcome in logs.
std::string_view
NameOf(AttemptOutcome aOutcome);

/// Limits on this node's retries to one service. All nodes share one allowance: each gets the ratio
/// of its own requests and an equal part of the extra.
struct RetryAllowance
{
  /// Retries allowed per request.
  double m_ratio = 0.1;
  /// Retries allowed per window in addition.
  double m_extra = 10;
  /// Share of the total that may be spent on requests that ran and failed. Such a request may have
  /// made calls of its own; a retry makes them again, and they are charged at other services.
  double m_failedShare = 0.3;
  Milliseconds m_windowMs = 10'000;
};

/// Requests and retries of one time bucket of the window.
struct RetryBucket
{
  Instant m_start;
  std::uint32_t m_requests = 0;
  std::uint32_t m_retries = 0;
  /// Part of m_retries whose request had run and failed.
  std::uint32_t m_failedRetries = 0;
};

/// Requests and retries of the current sliding window. Limits the load that retries add to a
/// failing service.
struct RetryBudget
{
  RetryAllowance m_allowance;
  /// Oldest first.
  std::deque<RetryBucket> m_buckets;
};

/// Records a request that came from a caller; attempts of it are not recorded.
void
RecordRequest(RetryBudget& aBudget, Instant aNow);

/// Charges one retry to the budget.
/// @param aFailed true if the request ran and failed.
/// @return false if the window's allowance is used up.
bool
SpendRetry(RetryBudget& aBudget, Instant aNow, bool aFailed = false);

/// Refunds a retry that the target never received.
void
RefundRetry(RetryBudget& aBudget, Instant aNow);

/// @param aCallerTimeoutMs timeout that the caller stated.
/// @return the call's timeout here, which leaves a margin for the answer to reach the caller in
/// time.
Milliseconds
CallTimeout(Milliseconds aCallerTimeoutMs);

/// State of a call for the retry decision.
struct RetryContext
{
  AttemptOutcome m_outcome = AttemptOutcome::Done;
  config::Repeat m_repeat = config::Repeat::Never;
  /// Nodes that it was sent to so far.
  std::uint32_t m_handovers = 1;
  /// Targets that may have received it so far.
  std::uint32_t m_arrivals = 0;
  std::uint32_t m_maxAttempts = kDefaultAttempts;
  /// Time left until the deadline.
  Milliseconds m_leftMs = 0;

  /// Attempts per call, the first included, if its route sets no limit.
  static constexpr std::uint32_t kDefaultAttempts = 3;
};

/// Maximum number of nodes that one call is sent to.
constexpr std::uint32_t kMaxHandovers = 6;

/// Decision after an attempt: the reason to stop, or how to retry.
enum class RetryDecision
{
  /// The answer is final: it is a success, or the call may not run again.
  Stop,
  /// The call was sent to kMaxHandovers nodes.
  StopHandovers,
  /// The call reached as many targets as its route allows.
  StopAttempts,
  /// Too little time is left until the deadline.
  StopNoTime,
  /// The retry budget of the current window is used up.
  StopBudget,
  /// No other target is known.
  StopNoTarget,
  /// The targets are full, even for a call that accepts any wait.
  StopFull,
  /// Another attempt of the call is in flight.
  StopInFlight,
  /// Retry at another target without a charge to the budget.
  TryFree,
  /// Retry at another target; the budget was charged.
  TryCharged,
};

/// @return the name of aDecision in logs.
std::string_view
NameOf(RetryDecision aDecision);

/// @return true if aDecision means no further attempt.
bool
IsStop(RetryDecision aDecision);

/// @return the retries that the current window still allows.
double
RetriesLeft(const RetryBudget& aBudget, Instant aNow);

/// Decides whether the call is retried. Charges the budget if a target may have received the call.
RetryDecision
DecideRetry(RetryBudget& aBudget, const RetryContext& aContext, Instant aNow);

} // namespace sequoiastep::routing
