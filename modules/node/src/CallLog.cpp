#include "CallLog.h"

#include "Log.h"
#include "Problem.h"

#include <cmath>

namespace sequoiastep::node {

using wire::AnswerT;

namespace {

std::string_view
ReasonOf(const AnswerT& aAnswer)
{
  if (IsServerError(aAnswer)) {
    return "the target answered with a server error";
  }
  return aAnswer.reason;
}

// Adds the fields that all log lines of a call have.
void
AddCallFields(LogLine& aLine, const CallJob& aJob, const CallAttempts& aAttempts)
{
  const Instant now = Clock::Now();
  aLine.Add("id", aJob.m_call.request_id);
  if (!aJob.m_call.workspace.empty()) {
    aLine.Add("workspace", aJob.m_call.workspace);
  }
  aLine.Add("route", aJob.m_call.route)
    .Add("service", aJob.m_call.service)
    .Add("version", aJob.m_call.version)
    .Add("last_node", aAttempts.m_lastNode)
    .Add("handovers", aAttempts.m_progress.m_context.m_handovers)
    .Add("arrivals", aAttempts.m_progress.m_context.m_arrivals)
    .Add("elapsed_ms", now - aJob.m_startedAt)
    .Add("left_ms", aJob.m_deadline - now);
}

void
AddAnswerFields(LogLine& aLine, const AnswerT& aAnswer)
{
  aLine.Add("outcome", NameOf(aAnswer.outcome))
    .Add("status", aAnswer.status)
    .Add("reason", ReasonOf(aAnswer));
}

} // namespace

void
LogRejectedRequest(std::string_view aRequestId, std::string_view aReason, std::uint64_t aVersion)
{
  LogLine(LogLevel::Info, "request_rejected", aReason)
    .Add("id", aRequestId)
    .Add("reason", aReason)
    .Add("version", aVersion);
}

void
LogUnauthorized(std::string_view aRequestId,
                std::string_view aReason,
                std::string_view aKeyFingerprint,
                std::uint64_t aVersion)
{
  LogLine(LogLevel::Info, "request_unauthorized", aReason)
    .Add("id", aRequestId)
    .Add("reason", aReason)
    .Add("key_hash", aKeyFingerprint)
    .Add("version", aVersion);
}

void
LogUnresponsiveAttempt(const CallJob& aJob,
                       const CallAttempts& aAttempts,
                       std::string_view aNode,
                       double aBudgetLeft)
{
  LogLine line(LogLevel::Info, "attempt_unresponsive", aNode);
  AddCallFields(line, aJob, aAttempts);
  line.Add("at", aNode)
    .Add("in_flight", aAttempts.m_progress.m_inFlight)
    .Add("next", routing::NameOf(aAttempts.m_progress.m_decision))
    .Add("budget_left", std::llround(aBudgetLeft));
}

void
LogFailedAttempt(const CallJob& aJob,
                 const CallAttempts& aAttempts,
                 const CallAttempt& aAttempt,
                 double aBudgetLeft)
{
  const AnswerT& answer = aAttempt.m_answer;
  LogLine line(LogLevel::Info, "attempt_failed", ReasonOf(answer));
  AddCallFields(line, aJob, aAttempts);
  AddAnswerFields(line, answer);
  line.Add("at", aAttempt.m_target.m_node)
    .Add("judged", routing::NameOf(aAttempt.m_outcome))
    .Add("in_flight", aAttempts.m_progress.m_inFlight)
    .Add("next", routing::NameOf(aAttempts.m_progress.m_decision))
    .Add("any_wait", aAttempts.m_placement.m_anyWait ? "yes" : "no")
    .Add("their_load", answer.outstanding)
    .Add("their_run_us", answer.service_us)
    .Add("budget_left", std::llround(aBudgetLeft));
}

void
LogCallEnd(const CallJob& aJob, const CallAttempts& aAttempts)
{
  const AnswerT& answer = aAttempts.m_answer;
  const bool failed = answer.outcome != CallOutcome::Done || IsServerError(answer);
  const bool late = Clock::Now() > aJob.m_objective;
  if (!failed && !late && aAttempts.m_progress.m_context.m_handovers <= 1) {
    return;
  }
  const std::string_view event = failed ? "request_failed"
                                 : late ? "request_late"
                                        : "request_repeated";
  LogLine line(LogLevel::Info, event, ReasonOf(answer));
  AddCallFields(line, aJob, aAttempts);
  AddAnswerFields(line, answer);
  line.Add("stopped_by", routing::NameOf(aAttempts.m_progress.m_decision))
    .Add("objective_ms", aJob.m_objective - aJob.m_startedAt)
    .Add("their_held_us", answer.held_us);
}

CallerLeftGuard::CallerLeftGuard(const CallJob& aJob, const CallAttempts& aAttempts)
  : m_job(aJob)
  , m_attempts(aAttempts)
{
}

CallerLeftGuard::~CallerLeftGuard()
{
  if (!m_dismissed) {
    LogLine line(LogLevel::Info, "caller_left", {});
    AddCallFields(line, m_job, m_attempts);
  }
}

void
CallerLeftGuard::Dismiss()
{
  m_dismissed = true;
}

} // namespace sequoiastep::node
