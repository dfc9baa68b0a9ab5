/// @file
/// The log lines of calls that entered at this node: one for each decision that touches a request.
/// A call that succeeds in time at its first target leaves none.
#pragma once

#include "CallJob.h"

#include <string_view>

namespace sequoiastep::node {

/// The node turned a request away before it looked for a target.
/// @param aVersion of the configuration that decided; 0 if there was none.
void
LogRejected(std::string_view aRequestId, std::string_view aReason, std::uint64_t aVersion);

/// An attempt ended without a success: what it came to, and whether another one follows and why.
/// @param aAnswer of the attempt.
/// @param aBudgetLeft repeats that the budget still allows.
void
LogAttempt(const CallJob& aJob,
           const CallAttempts& aAttempts,
           const wire::AnswerT& aAnswer,
           double aBudgetLeft);

/// The call ended. Writes a line if it failed, was late or took more than one target.
void
LogEnd(const CallJob& aJob, const CallAttempts& aAttempts);

/// Writes a line if it goes out of scope before the call ended: its caller left.
class CallerWatch
{
public:
  /// The two must outlive this.
  CallerWatch(const CallJob& aJob, const CallAttempts& aAttempts);
  ~CallerWatch();
  CallerWatch(const CallerWatch&) = delete;
  CallerWatch& operator=(const CallerWatch&) = delete;

  /// The call ended.
  void End();

private:
  const CallJob& m_job;
  const CallAttempts& m_attempts;
  bool m_ended = false;
};

} // namespace sequoiastep::node
