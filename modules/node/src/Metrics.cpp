#include "Metrics.h"

#include <algorithm>
#include <array>
#include <fmt/core.h>

namespace sequoiastep::node {

namespace {

using membership::MemberState;

constexpr std::array<MemberState, 5> kMemberStates{ MemberState::Starting,
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
  const auto appendValue = [&](std::string_view aName, std::uint64_t aValue) {
    text += fmt::format("sequoiastep_{} {}\n", aName, aValue);
  };
  appendValue(
    "config_version",
    std::max(aController.m_replay->m_version, distribution::HeldOperatorVersion(aController)));
  appendValue("config_position", aController.m_replay->m_position);
  appendValue("ready", aController.m_ready ? 1 : 0);
  appendValue("replay_blocked", aController.m_blockedReason.empty() ? 0 : 1);
  appendValue("control_links", aController.m_links.size());
  for (const auto& region :
       distribution::SummarizeRegions(aController.m_summaries, aController.m_lastTick)) {
    text += fmt::format("sequoiastep_region_lowest_version{{region=\"{}\"}} {}\n",
                        region.m_region,
                        region.m_lowestVersion);
    text += fmt::format(
      "sequoiastep_region_nodes{{region=\"{}\"}} {}\n", region.m_region, region.m_nodes);
  }
  std::array<std::uint64_t, kMemberStates.size()> members{};
  for (const auto& [node, record] : aController.m_table.m_members) {
    ++members[static_cast<std::size_t>(record.m_member.m_state)];
  }
  for (const MemberState state : kMemberStates) {
    text += fmt::format("sequoiastep_members{{state=\"{}\"}} {}\n",
                        membership::NameOf(state),
                        members[static_cast<std::size_t>(state)]);
  }
  AppendBytes(text, "region", aBytes.m_withinRegion);
  AppendBytes(text, "cross_region", aBytes.m_acrossRegions);
  const distribution::ControllerCounters& counters = aController.m_counters;
  appendValue("records_pushed_total", counters.m_recordsPushed);
  appendValue("records_received_total", counters.m_recordsReceived);
  appendValue("records_repeated_total", counters.m_recordsRepeated);
  appendValue("record_gaps_total", counters.m_recordGaps);
  appendValue("pulls_total", counters.m_pulls);
  appendValue("wholes_sent_total", counters.m_checkpointsSent);
  appendValue("wholes_taken_total", counters.m_checkpointsAdopted);
  appendValue("divergences_total", counters.m_divergences);
  appendValue("publications_refused_total", counters.m_publicationsRefused);
  appendValue("log_reads_total", counters.m_logReads);
  appendValue("joins_answered_total", counters.m_joinsAnswered);
  appendValue("joins_deferred_total", counters.m_joinsDeferred);
  appendValue("accusations_total", counters.m_accusations);
  appendValue("refutations_total", counters.m_refutations);
  appendValue("pauses_total", counters.m_pauses);
  appendValue("log_went_back_total", counters.m_logTruncations);
  appendValue("log_requests_total", aLog.m_requests);
  appendValue("log_failures_total", aLog.m_failures);
  appendValue("log_bytes_received_total", aLog.m_bodyBytesReceived);
  appendValue("log_bytes_sent_total", aLog.m_bodyBytesSent);
  return text;
}

} // namespace sequoiastep::node
