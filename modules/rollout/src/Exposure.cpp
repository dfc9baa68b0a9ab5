#include "Exposure.h"

#include <cmath>

namespace sequoiastep::rollout {

namespace {

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

} // namespace

bool
ShouldTry(Exposure& aExposure,
          const Rollout& aRollout,
          std::string_view aRoute,
          Instant /*aNow*/,
          Random& aRandom)
{
  ServiceExposure& counts = CountsOf(aExposure, aRollout, aRandom);
  ++counts.m_requests;
  if (aRollout.m_phase != wire::RolloutPhase::Trial) {
    return false;
  }
  const double allowed =
    std::floor(aExposure.m_share * static_cast<double>(counts.m_requests) + counts.m_rounding);
  if (static_cast<double>(counts.m_trialAttempts) >= allowed) {
    return false;
  }
  ++counts.m_trialAttempts;
  auto route = counts.m_trialByRoute.find(aRoute);
  if (route == counts.m_trialByRoute.end()) {
    route = counts.m_trialByRoute.emplace(aRoute, 0).first;
  }
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
