/// @file
/// Log lines for requests of callers: one for each rejection, failed attempt and end of a call. A
/// call that succeeds in time at its first target writes none.
#pragma once

#include "CallJob.h"
#include "CallRace.h"

#include <string_view>

namespace sequoiastep::node {

/// Logs a request that was rejected before a target was picked.
/// @param aVersion configuration version that decided; 0 if none did.
void
LogRejectedRequest(std::string_view aRequestId, std::string_view aReason, std::uint64_t aVersion);

/// Logs a request that was rejected for its key.
/// @param aKeyFingerprint stands for the key; empty if there is none.
void
LogUnauthorized(std::string_view aRequestId,
                std::string_view aReason,
                std::string_view aKeyFingerprint,
                std::uint64_t aVersion);

/// Logs an attempt during which the node beside its target fell silent, and whether a retry is
/// added.
/// @param aNode that node.
/// @param aBudgetLeft retries that the budget still allows.
void
LogUnresponsiveAttempt(const CallJob& aJob,
                       const CallAttempts& aAttempts,
                       std::string_view aNode,
                       double aBudgetLeft);

/// Logs an attempt that did not succeed: its outcome, and whether another one follows and why.
/// @param aBudgetLeft retries that the budget still allows.
void
LogFailedAttempt(const CallJob& aJob,
                 const CallAttempts& aAttempts,
                 const CallAttempt& aAttempt,
                 double aBudgetLeft);

/// Logs the end of a call if it failed, missed its latency objective or took more than one target.
void
LogCallEnd(const CallJob& aJob, const CallAttempts& aAttempts);

/// Logs that the caller disconnected if it is destroyed before Dismiss(), as when the call's
/// coroutine is cancelled.
class CallerLeftGuard
{
public:
  /// Both arguments must outlive this.
  CallerLeftGuard(const CallJob& aJob, const CallAttempts& aAttempts);
  ~CallerLeftGuard();
  CallerLeftGuard(const CallerLeftGuard&) = delete;
  CallerLeftGuard& operator=(const CallerLeftGuard&) = delete;

  /// Call when the call has ended: nothing is logged on destruction.
  void Dismiss();

private:
  const CallJob& m_job;
  const CallAttempts& m_attempts;
  bool m_dismissed = false;
};

} // namespace sequoiastep::node
