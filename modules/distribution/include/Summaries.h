/// @file
/// Node count and lowest configuration version of each failure domain: aggregated up the domain's
/// tree to its head, and sent from there to all nodes.
#pragma once

#include "Clock.h"
#include "Topology.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoiastep::distribution {

/// Aggregate over the nodes of one subtree or of a whole failure domain.
struct DomainSummary
{
  DomainKey m_key;
  std::uint32_t m_nodes = 0;
  std::uint64_t m_lowestVersion = 0;
  /// Incremented by the domain's head for each summary it makes; the higher one is newer.
  std::uint64_t m_sequence = 0;
};

/// A domain's summary and when this node last received or made it.
struct SummaryEntry
{
  DomainSummary m_summary;
  Instant m_updatedAt;
};

/// The newest summary of each failure domain.
struct SummaryTable
{
  std::map<DomainKey, SummaryEntry> m_domains;
  /// Incremented when a domain is added or its node count or lowest version changes.
  std::uint64_t m_changes = 0;
};

/// Aggregate over the failure domains of one region.
struct RegionSummary
{
  std::string m_region;
  std::uint32_t m_nodes = 0;
  std::uint64_t m_lowestVersion = 0;
  /// Age of the oldest domain summary in it, in milliseconds.
  Milliseconds m_ageMs = 0;
};

/// @return the sum of the node counts and the lower version, under aLeft's key and sequence.
DomainSummary
CombineSummaries(const DomainSummary& aLeft, const DomainSummary& aRight);

/// Stores aSummary if its sequence is higher than that of the stored one.
void
UpdateSummary(SummaryTable& aTable, const DomainSummary& aSummary, Instant aNow);

/// Removes summaries that were not updated for longer than aMaxAge.
void
DropStale(SummaryTable& aTable, Instant aNow, Milliseconds aMaxAge);

/// @return one summary for each region, in alphabetical order.
std::vector<RegionSummary>
SummarizeRegions(const SummaryTable& aTable, Instant aNow);

} // namespace sequoiastep::distribution
