// Metrics of the calls thread as Prometheus text.
#include "CallProxy.h"
#include "Log.h"

#include <fmt/core.h>

namespace sequoiastep::node {

std::string
CallProxy::MetricsText() const
{
  const CallCounters& counters = m_shared.m_calls;
  std::string text;
  const auto counter = [&](std::string_view aName, const std::atomic<std::uint64_t>& aValue) {
    text += fmt::format("sequoiastep_calls_{}_total {}\n", aName, aValue.load());
  };
  counter("entered", counters.m_entered);
  counter("done", counters.m_done);
  counter("not_run", counters.m_notRun);
  counter("unknown", counters.m_unknown);
  counter("failed", counters.m_failed);
  counter("retries", counters.m_retries);
  counter("shed", counters.m_shed);
  counter("dispatched", counters.m_dispatched);
  counter("version_holds", counters.m_versionHolds);
  counter("version_holds_expired", counters.m_versionHoldsExpired);
  counter("cross_region_bytes", counters.m_crossRegionBytes);
  counter("late_answers", counters.m_lateAnswers);
  counter("unauthorized", counters.m_unauthorized);
  counter("cancelled", counters.m_cancelled);
  text += fmt::format("sequoiastep_calls_in_progress {}\n", m_callerRequests);
  text += fmt::format("sequoiastep_target_outstanding {}\n", m_runner.Outstanding());
  const routing::TargetNotice& notice = m_runner.Notice();
  if (notice.m_perSecond) {
    text += fmt::format("sequoiastep_target_limit_per_second {}\n", *notice.m_perSecond);
  }
  text += fmt::format("sequoiastep_target_leaving {}\n", notice.m_leaving ? 1 : 0);
  text += fmt::format("sequoiastep_remembered_keys {}\n", m_keyedCalls.ClaimCount());
  text += fmt::format("sequoiastep_call_links {}\n", m_links.LinkCount());
  const LogCounts lines = CountsOfLog();
  text += fmt::format("sequoiastep_log_lines_suppressed_total {}\n", lines.m_suppressed);
  text += fmt::format("sequoiastep_log_lines_dropped_total {}\n", lines.m_dropped);
  m_quotas.AppendText(text);
  m_metrics.AppendText(text);
  if (m_rolloutCalls) {
    m_rolloutCalls->AppendMetrics(text);
  }
  return text;
}

} // namespace sequoiastep::node
