#include "Exposure.h"

namespace sequoiastep::rollout {

namespace {

// With this probability a usual route leaves a free trial to a route that is tried less than the
// others. Only while less than one more trial is free, so that the share is used.
constexpr double kYield = 0.7;

ServiceExposure&
CountsOf(Exposure& aExposure, const Rollout& aRollout, Random& aRandom)
{
  const auto found = aExposure.m_services.find(aRollout.m_service);
  if (found != aExposure.m_services.end() && found->second.m_order == aRollout.m_order) {
    return found->second;
  }
  ServiceExposure& counts = aExposure.m_services[aRollout.m_service] =
    ServiceExposure{ .m_order = aRollout.m_order };
  counts.m_rounding = aRandom.Unit();
  return counts;
}

// Several routes: those with more than their part of the trials give way. Chance also breaks the
// rhythm of routes whose requests take turns.
bool
Yields(const ServiceExposure& aCounts, std::uint64_t aOfRoute, Random& aRandom)
{
  const std::size_t routes = aCounts.m_trialByRoute.size();
  return routes > 1 && aOfRoute * routes > aCounts.m_trialAttempts && aRandom.Unit() < kYield;
}

} // namespace

bool
ShouldTry(Exposure& aExposure,
          const Rollout& aRollout,
          std::string_view aRoute,
          Instant aNow,
          Random& aRandom)
{
  ServiceExposure& counts = CountsOf(aExposure, aRollout, aRandom);
  ++counts.m_requests;
  if (aRollout.m_phase != wire::RolloutPhase::Trial || aNow >= aRollout.m_deadline) {
    return false;
  }
  auto route = counts.m_trialByRoute.find(aRoute);
  if (route == counts.m_trialByRoute.end()) {
    route = counts.m_trialByRoute.emplace(aRoute, 0).first;
  }
  const double free = aExposure.m_share * static_cast<double>(counts.m_requests) -
                      static_cast<double>(counts.m_trialAttempts) - counts.m_rounding;
  if (free < 0 || (free < 1 && Yields(counts, route->second, aRandom))) {
    return false;
  }
  counts.m_rounding = aRandom.Unit();
  ++counts.m_trialAttempts;
  ++route->second;
  return true;
}

void
RefundTrial(Exposure& aExposure, const Rollout& aRollout, std::string_view aRoute)
{
  const auto found = aExposure.m_services.find(aRollout.m_service);
  if (found == aExposure.m_services.end() || found->second.m_order != aRollout.m_order) {
    return;
  }
  ServiceExposure& counts = found->second;
  const auto route = counts.m_trialByRoute.find(aRoute);
  if (route == counts.m_trialByRoute.end() || route->second == 0 || counts.m_trialAttempts == 0) {
    return;
  }
  --counts.m_trialAttempts;
  --route->second;
}

} // namespace sequoiastep::rollout
