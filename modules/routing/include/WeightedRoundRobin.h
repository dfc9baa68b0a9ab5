/// @file
/// Splits a route's requests between its clusters by smooth weighted round robin, which keeps to
/// the weights in any short run of requests.
#pragma once

#include "Documents.h"
#include "Random.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sequoiastep::routing {

/// Round-robin state of one route.
struct WeightedRoundRobin
{
  /// The clusters and weights that the credits belong to.
  std::vector<config::WeightedCluster> m_weightedClusters;
  std::vector<std::int64_t> m_credits;
};

/// State of all routes with several clusters, by route name.
using RouteRoundRobins = std::map<std::string, WeightedRoundRobin, std::less<>>;

/// @return the index in aRoute.m_clusters of the cluster that gets the next request.
std::size_t
NextCluster(RouteRoundRobins& aRoundRobins, const config::Route& aRoute, Random& aRandom);

} // namespace sequoiastep::routing
