/// @file
/// What a route's requests usually come to: a moving average for each route, of bounded number.
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
  /// How much of the average the latest value makes up.
  double m_weight = 0.1;
  /// At this number of routes the averages are begun anew.
  std::size_t m_most = 4096;
  std::map<std::string, double, std::less<>> m_averages;
};

/// Blends aValue into the average of aRoute.
void
NoteValue(RouteAverages& aAverages, std::string_view aRoute, double aValue);

/// @return the average of aRoute, or nothing if no value was noted.
std::optional<double>
AverageOf(const RouteAverages& aAverages, std::string_view aRoute);

} // namespace sequoiastep::routing
