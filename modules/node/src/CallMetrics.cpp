#include "CallMetrics.h"

#include "Problem.h"

#include <fmt/core.h>

namespace sequoiastep::node {

namespace {

std::string_view
KindOf(const CallJob& aJob)
{
  if (aJob.m_repeat != config::Repeat::Safe) {
    return "once";
  }
  return aJob.m_largeAnswers ? "large" : "safe";
}

std::string_view
OutcomeOf(const CallJob& aJob, const wire::AnswerT& aAnswer)
{
  if (aAnswer.outcome != CallOutcome::Done) {
    return NameOf(aAnswer.outcome);
  }
  if (IsServerError(aAnswer)) {
    return "target_error";
  }
  return Clock::Now() > aJob.m_objective ? "late" : "done";
}

} // namespace

void
CallMetrics::NoteCall(const CallJob& aJob, const CallAttempts& aAttempts, std::int64_t aElapsedUs)
{
  const CallSeries series{ .m_kind = KindOf(aJob),
                           .m_outcome = OutcomeOf(aJob, aAttempts.m_answer),
                           .m_place = aAttempts.m_lastPlace
                                        ? routing::NameOf(*aAttempts.m_lastPlace)
                                        : std::string_view("none") };
  NoteDuration(m_calls[series], aElapsedUs);
}

void
CallMetrics::NoteQueue(QueueEnd aEnd, std::int64_t aWaitedUs)
{
  NoteDuration(aEnd == QueueEnd::Run ? m_queueRun : m_queueRefused, aWaitedUs);
}

void
CallMetrics::NoteRun(std::int64_t aRanUs)
{
  NoteDuration(m_run, aRanUs);
}

void
CallMetrics::AppendText(std::string& aText) const
{
  aText += "# TYPE sequoiastep_call_seconds histogram\n";
  for (const auto& [series, histogram] : m_calls) {
    AppendHistogram(
      aText,
      "sequoiastep_call_seconds",
      fmt::format(
        "kind=\"{}\",outcome=\"{}\",place=\"{}\"", series.m_kind, series.m_outcome, series.m_place),
      histogram);
  }
  aText += "# TYPE sequoiastep_queue_seconds histogram\n";
  AppendHistogram(aText, "sequoiastep_queue_seconds", "end=\"run\"", m_queueRun);
  AppendHistogram(aText, "sequoiastep_queue_seconds", "end=\"refused\"", m_queueRefused);
  aText += "# TYPE sequoiastep_target_seconds histogram\n";
  AppendHistogram(aText, "sequoiastep_target_seconds", "", m_run);
}

} // namespace sequoiastep::node
