/// @file
/// How far the nodes are, added up along each failure domain's tree and exchanged by the heads.
#pragma once

#include "Clock.h"
#include "Topology.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoiastep::distribution {

/// Nodes of one subtree or one failure domain.
struct DomainSummary
{
  DomainKey m_key;
  std::uint32_t m_nodes = 0;
  std::uint64_t m_lowestVersion = 0;
  /// Rises with each summary that the head makes.
  std::uint64_t m_sequence = 0;
};

/// A domain's summary and when it came.
struct SummaryEntry
{
  DomainSummary m_summary;
  Instant m_heardAt;
};

/// The newest summary of each failure domain.
struct SummaryTable
{
  std::map<DomainKey, SummaryEntry> m_domains;
  /// Rises when a summary's content changes.
  std::uint64_t m_changes = 0;
};

/// All nodes of one region.
struct RegionSummary
{
  std::string m_region;
  std::uint32_t m_nodes = 0;
  std::uint64_t m_lowestVersion = 0;
  /// Age of the oldest summary in it, in milliseconds.
  Milliseconds m_ageMs = 0;
};

/// @return aLeft and aRight taken together.
DomainSummary
Add(const DomainSummary& aLeft, const DomainSummary& aRight);

/// Takes a summary if it is newer than the known one.
void
TakeSummary(SummaryTable& aTable, const DomainSummary& aSummary, Instant aNow);

/// Drops summaries that nobody has renewed for aKeep.
void
DropStale(SummaryTable& aTable, Instant aNow, Milliseconds aKeep);

/// @return one row for each region, in alphabetical order.
std::vector<RegionSummary>
ByRegion(const SummaryTable& aTable, Instant aNow);

} // namespace sequoiastep::distribution
