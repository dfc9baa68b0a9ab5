#include "WeightedRoundRobin.h"

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

// Smooth weighted round robin: adds its weight to the credits of each cluster, selects the one with
// the most credits and subtracts the sum of the weights from it.
std::size_t
Advance(WeightedRoundRobin& aRoundRobin)
{
  std::int64_t sum = 0;
  std::size_t selected = 0;
  for (std::size_t i = 0; i < aRoundRobin.m_weightedClusters.size(); ++i) {
    const std::int64_t weight = aRoundRobin.m_weightedClusters[i].m_weight;
    sum += weight;
    aRoundRobin.m_credits[i] += weight;
    selected = aRoundRobin.m_credits[i] > aRoundRobin.m_credits[selected] ? i : selected;
  }
  aRoundRobin.m_credits[selected] -= sum;
  return selected;
}

} // namespace

std::size_t
NextCluster(RouteRoundRobins& aRoundRobins, const config::Route& aRoute, Random& aRandom)
{
  if (aRoute.m_clusters.size() < 2) {
    return 0;
  }
  WeightedRoundRobin& roundRobin = aRoundRobins[aRoute.m_name];
  if (!IsSame(roundRobin.m_weightedClusters, aRoute.m_clusters)) {
    roundRobin.m_weightedClusters = aRoute.m_clusters;
    roundRobin.m_credits.assign(roundRobin.m_weightedClusters.size(), 0);
    // Each node starts at a random position, so that few requests per node still add up to the
    // weights over all nodes.
    std::uint64_t sum = 0;
    for (const WeightedCluster& cluster : roundRobin.m_weightedClusters) {
      sum += cluster.m_weight;
    }
    constexpr std::uint64_t kMaxInitialSteps = 1000;
    for (std::uint64_t i = aRandom.Below(std::min(sum, kMaxInitialSteps)); i > 0; --i) {
      Advance(roundRobin);
    }
  }
  return Advance(roundRobin);
}

} // namespace sequoiastep::routing
