/// @file
/// Divides a route's requests among its clusters by weight, evenly in any stretch of them.
#pragma once

#include "Documents.h"
#include "Random.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sequoiastep::routing {

/// Where one route's turn is.
struct WeightTurn
{
  /// The clusters and weights that the credits belong to.
  std::vector<config::WeightedCluster> m_parts;
  std::vector<std::int64_t> m_credits;
};

/// Turns of all routes with several clusters, by route name.
using WeightTurns = std::map<std::string, WeightTurn, std::less<>>;

/// @return the place in aRoute.m_clusters of the cluster that the next request goes to.
std::size_t
NextCluster(WeightTurns& aTurns, const config::Route& aRoute, Random& aRandom);

} // namespace sequoiastep::routing
