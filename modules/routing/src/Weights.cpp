#include "Weights.h"

#include <algorithm>

namespace sequoiastep::routing {

namespace {

using config::WeightedCluster;

bool
IsSame(const std::vector<WeightedCluster>& aLeft, const std::vector<WeightedCluster>& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](const WeightedCluster& aOne, const WeightedCluster& aOther) {
                      return aOne.m_cluster == aOther.m_cluster && aOne.m_weight == aOther.m_weight;
                    });
}

// Smooth weighted round robin: each part earns its weight, the richest pays the sum.
std::size_t
Take(WeightTurn& aTurn)
{
  std::int64_t sum = 0;
  std::size_t richest = 0;
  for (std::size_t i = 0; i < aTurn.m_parts.size(); ++i) {
    const std::int64_t weight = aTurn.m_parts[i].m_weight;
    sum += weight;
    aTurn.m_credits[i] += weight;
    richest = aTurn.m_credits[i] > aTurn.m_credits[richest] ? i : richest;
  }
  aTurn.m_credits[richest] -= sum;
  return richest;
}

} // namespace

std::size_t
NextCluster(WeightTurns& aTurns, const config::Route& aRoute, Random& aRandom)
{
  if (aRoute.m_clusters.size() < 2) {
    return 0;
  }
  WeightTurn& turn = aTurns[aRoute.m_name];
  if (!IsSame(turn.m_parts, aRoute.m_clusters)) {
    turn.m_parts = aRoute.m_clusters;
    turn.m_credits.assign(turn.m_parts.size(), 0);
    // Nodes start at different places, so that few requests at each of them add up evenly too.
    std::uint64_t sum = 0;
    for (const WeightedCluster& part : turn.m_parts) {
      sum += part.m_weight;
    }
    constexpr std::uint64_t kMostSteps = 1000;
    for (std::uint64_t i = aRandom.Below(std::min(sum, kMostSteps)); i > 0; --i) {
      Take(turn);
    }
  }
  return Take(turn);
}

} // namespace sequoiastep::routing
