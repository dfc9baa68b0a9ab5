#include "Summaries.h"

#include <algorithm>

namespace sequoiastep::distribution {

DomainSummary
CombineSummaries(const DomainSummary& aLeft, const DomainSummary& aRight)
{
  DomainSummary sum = aLeft;
  sum.m_nodes += aRight.m_nodes;
  sum.m_lowestVersion = std::min(aLeft.m_lowestVersion, aRight.m_lowestVersion);
  return sum;
}

void
UpdateSummary(SummaryTable& aTable, const DomainSummary& aSummary, Instant aNow)
{
  const auto known = aTable.m_domains.find(aSummary.m_key);
  if (known != aTable.m_domains.end()) {
    const DomainSummary& old = known->second.m_summary;
    if (aSummary.m_sequence <= old.m_sequence) {
      return;
    }
    if (old.m_nodes != aSummary.m_nodes || old.m_lowestVersion != aSummary.m_lowestVersion) {
      ++aTable.m_changes;
    }
  } else {
    ++aTable.m_changes;
  }
  aTable.m_domains[aSummary.m_key] = { .m_summary = aSummary, .m_updatedAt = aNow };
}

void
DropStale(SummaryTable& aTable, Instant aNow, Milliseconds aMaxAge)
{
  std::erase_if(aTable.m_domains,
                [&](const auto& aItem) { return aNow - aItem.second.m_updatedAt > aMaxAge; });
}

std::vector<RegionSummary>
SummarizeRegions(const SummaryTable& aTable, Instant aNow)
{
  std::vector<RegionSummary> regions;
  for (const auto& [key, entry] : aTable.m_domains) {
    const Milliseconds age = aNow - entry.m_updatedAt;
    if (regions.empty() || regions.back().m_region != key.m_region) {
      regions.push_back({ .m_region = key.m_region,
                          .m_nodes = entry.m_summary.m_nodes,
                          .m_lowestVersion = entry.m_summary.m_lowestVersion,
                          .m_ageMs = age });
      continue;
    }
    RegionSummary& region = regions.back();
    region.m_nodes += entry.m_summary.m_nodes;
    region.m_lowestVersion = std::min(region.m_lowestVersion, entry.m_summary.m_lowestVersion);
    region.m_ageMs = std::max(region.m_ageMs, age);
  }
  return regions;
}

} // namespace sequoiastep::distribution
