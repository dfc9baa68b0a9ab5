#include "Departure.h"

#include <algorithm>
#include <tuple>

namespace sequoiastep {

namespace {

// More than the targets of one host that can leave while late reports of them may come.
constexpr std::size_t kMaxDepartures = 4;

// An empty optional sorts before any start time.
bool
StartedLater(const Departure& aLeft, const Departure& aRight)
{
  return std::tie(aLeft.m_bornMs, aLeft.m_id) > std::tie(aRight.m_bornMs, aRight.m_id);
}

} // namespace

bool
MergeDepartures(std::vector<Departure>& aList, const std::vector<Departure>& aAdded)
{
  std::vector<Departure> merged = aList;
  for (const Departure& added : aAdded) {
    if (std::find(merged.begin(), merged.end(), added) == merged.end()) {
      merged.push_back(added);
    }
  }
  std::sort(merged.begin(), merged.end(), StartedLater);
  merged.resize(std::min(merged.size(), kMaxDepartures));
  const bool changed = merged != aList;
  aList = std::move(merged);
  return changed;
}

} // namespace sequoiastep
