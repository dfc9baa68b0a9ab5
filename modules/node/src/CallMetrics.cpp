#include "CallMetrics.h"

#include "Problem.h"

#include <fmt/core.h>

namespace sequoiastep::node {

namespace {

std::string_view
KindLabel(const CallJob& aJob)
{
  if (aJob.m_repeat != config::Repeat::Safe) {
    return "once";
  }
  return aJob.m_largeAnswers ? "large" : "safe";
}

std::string_view
OutcomeLabel(const CallJob& aJob, const wire::AnswerT& aAnswer)
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
CallMetrics::RecordCall(const CallJob& aJob, const CallAttempts& aAttempts, std::int64_t aElapsedUs)
{
  const CallLabels labels{ .m_kind = KindLabel(aJob),
                           .m_outcome = OutcomeLabel(aJob, aAttempts.m_answer),
                           .m_place = aAttempts.m_lastPlace
                                        ? routing::NameOf(*aAttempts.m_lastPlace)
                                        : std::string_view("none") };
  NoteDuration(m_calls[labels], aElapsedUs);
}

void
CallMetrics::RecordQueueWait(QueueResult aResult, std::int64_t aWaitedUs)
{
  NoteDuration(aResult == QueueResult::Run ? m_queueWaitRun : m_queueWaitRefused, aWaitedUs);
}

void
CallMetrics::RecordTargetTime(std::int64_t aElapsedUs)
{
  NoteDuration(m_targetTime, aElapsedUs);
}

void
CallMetrics::AppendText(std::string& aText) const
{
  aText += "# TYPE sequoiastep_call_seconds histogram\n";
  for (const auto& [labels, histogram] : m_calls) {
    AppendHistogram(
      aText,
      "sequoiastep_call_seconds",
      fmt::format(
        "kind=\"{}\",outcome=\"{}\",place=\"{}\"", labels.m_kind, labels.m_outcome, labels.m_place),
      histogram);
  }
  aText += "# TYPE sequoiastep_queue_seconds histogram\n";
  AppendHistogram(aText, "sequoiastep_queue_seconds", "end=\"run\"", m_queueWaitRun);
  AppendHistogram(aText, "sequoiastep_queue_seconds", "end=\"refused\"", m_queueWaitRefused);
  aText += "# TYPE sequoiastep_target_seconds histogram\n";
  AppendHistogram(aText, "sequoiastep_target_seconds", "", m_targetTime);
}

} // namespace sequoiastep::node
