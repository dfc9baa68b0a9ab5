#include "Retry.h"

#include "NameTable.h"

#include <algorithm>
#include <array>

namespace sequoiastep::routing {

namespace {

// With less time left until the deadline there is no further attempt.
constexpr Milliseconds kMinRemainingMs = 5;
constexpr Milliseconds kBucketMs = 500;
// Time for an answer to reach the caller, including the hop from another node to this one.
constexpr Milliseconds kAnswerMarginMs = 45;
// For short timeouts the margin is at most the timeout divided by this.
constexpr Milliseconds kAnswerMarginDivisor = 10;

constexpr std::array<NameRow<AttemptOutcome>, 7> kOutcomeNames{ {
  { AttemptOutcome::Done, "done" },
  { AttemptOutcome::NotRun, "not_run" },
  { AttemptOutcome::Overloaded, "no_room" },
  { AttemptOutcome::TurnedAway, "turned_away" },
  { AttemptOutcome::Failed, "ran_and_failed" },
  { AttemptOutcome::Unknown, "unknown" },
  { AttemptOutcome::Unresponsive, "unresponsive" },
} };

constexpr std::array<NameRow<RetryDecision>, 10> kDecisionNames{ {
  { RetryDecision::Stop, "answer_stands" },
  { RetryDecision::StopHandovers, "handovers_used_up" },
  { RetryDecision::StopAttempts, "attempts_used_up" },
  { RetryDecision::StopNoTime, "no_time_left" },
  { RetryDecision::StopBudget, "retry_budget_spent" },
  { RetryDecision::StopNoTarget, "no_other_target" },
  { RetryDecision::StopFull, "targets_full" },
  { RetryDecision::StopInFlight, "another_in_flight" },
  { RetryDecision::TryFree, "try_free" },
  { RetryDecision::TryCharged, "try_charged" },
} };

// Totals of the sliding window.
struct WindowSums
{
  double m_allowed = 0;
  double m_retries = 0;
  double m_failedRetries = 0;
};

// Returns the bucket for aNow. Drops a bucket only when all of it is older than the window.
RetryBucket&
CurrentBucket(RetryBudget& aBudget, Instant aNow)
{
  std::deque<RetryBucket>& buckets = aBudget.m_buckets;
  while (!buckets.empty() &&
         aNow - buckets.front().m_start > aBudget.m_allowance.m_windowMs + kBucketMs) {
    buckets.pop_front();
  }
  if (buckets.empty() || aNow - buckets.back().m_start >= kBucketMs) {
    buckets.push_back({ .m_start = aNow });
  }
  return buckets.back();
}

// Counts requests of the buckets that start within the window, but retries of all buckets that
// overlap it, so that no window exceeds the allowance.
WindowSums
SumsOf(const RetryBudget& aBudget, Instant aNow)
{
  WindowSums sums;
  double requests = 0;
  for (const RetryBucket& bucket : aBudget.m_buckets) {
    const bool inside = aNow - bucket.m_start <= aBudget.m_allowance.m_windowMs;
    requests += inside ? bucket.m_requests : 0;
    sums.m_retries += bucket.m_retries;
    sums.m_failedRetries += bucket.m_failedRetries;
  }
  sums.m_allowed = aBudget.m_allowance.m_ratio * requests + aBudget.m_allowance.m_extra;
  return sums;
}

bool
HasBudget(const RetryBudget& aBudget, Instant aNow, bool aFailed)
{
  const WindowSums sums = SumsOf(aBudget, aNow);
  const double failedShare = aBudget.m_allowance.m_failedShare;
  return sums.m_retries + 1 <= sums.m_allowed &&
         (!aFailed || sums.m_failedRetries + 1 <= sums.m_allowed * failedShare);
}

bool
IsRetryable(const RetryContext& aContext)
{
  switch (aContext.m_outcome) {
    case AttemptOutcome::NotRun:
    case AttemptOutcome::Overloaded:
    case AttemptOutcome::TurnedAway:
      return true;
    case AttemptOutcome::Failed:
    case AttemptOutcome::Unknown:
    case AttemptOutcome::Unresponsive:
      return aContext.m_repeat == config::Repeat::Safe;
    case AttemptOutcome::Done:
      return false;
  }
  return false;
}

} // namespace

void
RecordRequest(RetryBudget& aBudget, Instant aNow)
{
  ++CurrentBucket(aBudget, aNow).m_requests;
}

bool
SpendRetry(RetryBudget& aBudget, Instant aNow, bool aFailed)
{
  RetryBucket& bucket = CurrentBucket(aBudget, aNow);
  if (!HasBudget(aBudget, aNow, aFailed)) {
    return false;
  }
  ++bucket.m_retries;
  bucket.m_failedRetries += aFailed ? 1 : 0;
  return true;
}

void
RefundRetry(RetryBudget& aBudget, Instant aNow)
{
  CurrentBucket(aBudget, aNow);
  for (auto bucket = aBudget.m_buckets.rbegin(); bucket != aBudget.m_buckets.rend(); ++bucket) {
    if (bucket->m_retries > 0) {
      --bucket->m_retries;
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
NameOf(RetryDecision aDecision)
{
  return NameIn(kDecisionNames, aDecision);
}

bool
IsStop(RetryDecision aDecision)
{
  return aDecision != RetryDecision::TryFree && aDecision != RetryDecision::TryCharged;
}

double
RetriesLeft(const RetryBudget& aBudget, Instant aNow)
{
  const WindowSums sums = SumsOf(aBudget, aNow);
  return std::max(0.0, sums.m_allowed - sums.m_retries);
}

Milliseconds
CallTimeout(Milliseconds aCallerTimeoutMs)
{
  return aCallerTimeoutMs - std::min(kAnswerMarginMs, aCallerTimeoutMs / kAnswerMarginDivisor);
}

RetryDecision
DecideRetry(RetryBudget& aBudget, const RetryContext& aContext, Instant aNow)
{
  if (!IsRetryable(aContext)) {
    return RetryDecision::Stop;
  }
  if (aContext.m_handovers >= kMaxHandovers) {
    return RetryDecision::StopHandovers;
  }
  if (aContext.m_leftMs < kMinRemainingMs) {
    return RetryDecision::StopNoTime;
  }
  if (aContext.m_arrivals == 0) {
    return RetryDecision::TryFree; // No target received it: a retry adds no load.
  }
  if (aContext.m_arrivals >= aContext.m_maxAttempts) {
    return RetryDecision::StopAttempts;
  }
  const bool failed = aContext.m_outcome == AttemptOutcome::Failed;
  return SpendRetry(aBudget, aNow, failed) ? RetryDecision::TryCharged : RetryDecision::StopBudget;
}

} // namespace sequoiastep::routing
