/// @file
/// Exponential moving averages of a value of requests, one per route, for a bounded number of
/// routes.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiastep::routing {

/// Averages by route name.
struct RouteAverages
{
  /// Weight of the latest value in the average.
  double m_weight = 0.1;
  /// When this many routes are held, the next value clears all averages first.
  std::size_t m_maxRoutes = 4096;
  std::map<std::string, double, std::less<>> m_averages;
};

/// Adds aValue to the average of aRoute.
void
AddSample(RouteAverages& aAverages, std::string_view aRoute, double aValue);

/// @return the average of aRoute, or nothing if it has no value.
std::optional<double>
AverageOf(const RouteAverages& aAverages, std::string_view aRoute);

} // namespace sequoiastep::routing
