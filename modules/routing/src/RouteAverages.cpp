#include "RouteAverages.h"

namespace sequoiastep::routing {

void
AddSample(RouteAverages& aAverages, std::string_view aRoute, double aValue)
{
  if (aAverages.m_averages.size() >= aAverages.m_maxRoutes) {
    aAverages.m_averages.clear();
  }
  const auto [average, isNew] = aAverages.m_averages.try_emplace(std::string(aRoute), aValue);
  average->second += isNew ? 0 : aAverages.m_weight * (aValue - average->second);
}

std::optional<double>
AverageOf(const RouteAverages& aAverages, std::string_view aRoute)
{
  const auto average = aAverages.m_averages.find(aRoute);
  return average == aAverages.m_averages.end() ? std::nullopt : std::optional(average->second);
}

} // namespace sequoiastep::routing
