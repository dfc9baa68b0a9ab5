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
  counter("unresponsive_attempts", counters.m_unresponsive);
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
  const auto held = [&](std::string_view aOwner, std::uint64_t aBytes) {
    text += fmt::format("sequoiastep_held_bytes{{owner=\"{}\"}} {}\n", aOwner, aBytes);
  };
  held("callers", m_callerServer.HeldBytes());
  held("request_bodies", m_callerServer.BufferedBytes());
  held("targets", m_budget.m_targets->m_used);
  held("links", m_budget.m_links->m_used);
  held("remote_bodies", m_budget.m_bodies.m_used);
  held("all_copies", m_budget.m_all->m_used);
  text += fmt::format("sequoiastep_held_bytes_limit {}\n", m_budget.m_all->m_max);
  const auto bounded = [&](std::string_view aWhat, std::uint64_t aCount) {
    text += fmt::format("sequoiastep_bounds_total{{what=\"{}\"}} {}\n", aWhat, aCount);
  };
  const net::HttpCounts& counts = m_callerServer.Counts();
  bounded("connection_closed_memory", counts.m_closedForMemory);
  bounded("connection_closed_idle", counts.m_closedForConnections);
  bounded("connection_refused", counts.m_refusedConnections);
  bounded("request_refused_memory", counts.m_refusedForMemory);
  bounded("request_refused_too_long", counts.m_refusedTooLong);
  bounded("remote_body_refused", m_bodiesRefused);
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
