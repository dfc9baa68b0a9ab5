#include "Metrics.h"

#include <algorithm>
#include <array>
#include <fmt/core.h>

namespace sequoiastep::node {

namespace {

using membership::MemberState;

constexpr std::array<MemberState, 5> kStates{ MemberState::Starting,
                                              MemberState::Up,
                                              MemberState::Draining,
                                              MemberState::Suspect,
                                              MemberState::Gone };

void
AppendBytes(std::string& aText, std::string_view aScope, const net::ByteCounts& aBytes)
{
  aText += fmt::format("sequoiastep_control_bytes_total{{scope=\"{}\",direction=\"sent\"}} {}\n",
                       aScope,
                       aBytes.m_sent);
  aText +=
    fmt::format("sequoiastep_control_bytes_total{{scope=\"{}\",direction=\"received\"}} {}\n",
                aScope,
                aBytes.m_received);
}

} // namespace

std::string
ControlMetricsText(const distribution::Controller& aController,
                   const ControlBytes& aBytes,
                   const platform::LogClientCounts& aLog)
{
  std::string text;
  const auto line = [&](std::string_view aName, std::uint64_t aValue) {
    text += fmt::format("sequoiastep_{} {}\n", aName, aValue);
  };
  line("config_version",
       std::max(aController.m_replay->m_version, distribution::HeldOperatorVersion(aController)));
  line("config_position", aController.m_replay->m_position);
  line("ready", aController.m_ready ? 1 : 0);
  line("replay_blocked", aController.m_blockedReason.empty() ? 0 : 1);
  line("control_links", aController.m_links.size());
  for (const auto& region :
       distribution::SummarizeRegions(aController.m_summaries, aController.m_lastTick)) {
    text += fmt::format("sequoiastep_region_lowest_version{{region=\"{}\"}} {}\n",
                        region.m_region,
                        region.m_lowestVersion);
    text += fmt::format(
      "sequoiastep_region_nodes{{region=\"{}\"}} {}\n", region.m_region, region.m_nodes);
  }
  std::array<std::uint64_t, kStates.size()> members{};
  for (const auto& [node, record] : aController.m_table.m_members) {
    ++members[static_cast<std::size_t>(record.m_member.m_state)];
  }
  for (const MemberState state : kStates) {
    text += fmt::format("sequoiastep_members{{state=\"{}\"}} {}\n",
                        membership::NameOf(state),
                        members[static_cast<std::size_t>(state)]);
  }
  AppendBytes(text, "region", aBytes.m_withinRegion);
  AppendBytes(text, "cross_region", aBytes.m_acrossRegions);
  const distribution::ControllerCounters& counters = aController.m_counters;
  line("records_pushed_total", counters.m_recordsPushed);
  line("records_received_total", counters.m_recordsReceived);
  line("records_repeated_total", counters.m_recordsRepeated);
  line("record_gaps_total", counters.m_recordGaps);
  line("pulls_total", counters.m_pulls);
  line("wholes_sent_total", counters.m_checkpointsSent);
  line("wholes_taken_total", counters.m_checkpointsAdopted);
  line("divergences_total", counters.m_divergences);
  line("publications_refused_total", counters.m_publicationsRefused);
  line("log_reads_total", counters.m_logReads);
  line("joins_answered_total", counters.m_joinsAnswered);
  line("joins_deferred_total", counters.m_joinsDeferred);
  line("accusations_total", counters.m_accusations);
  line("refutations_total", counters.m_refutations);
  line("pauses_total", counters.m_pauses);
  line("log_went_back_total", counters.m_logTruncations);
  line("log_requests_total", aLog.m_requests);
  line("log_failures_total", aLog.m_failures);
  line("log_bytes_received_total", aLog.m_bodyBytesReceived);
  line("log_bytes_sent_total", aLog.m_bodyBytesSent);
  return text;
}

} // namespace sequoiastep::node
