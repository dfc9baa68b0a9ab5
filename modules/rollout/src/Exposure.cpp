#include "Exposure.h"

#include <algorithm>

namespace sequoiastep::rollout {

namespace {

// Probability by which a request in a burst is tried while the share allows it: a little more than
// what was saved, which is kBurstFactor times the share.
constexpr double kPace = 1.25;
// A route that has more than its part of the trials gives way to the others by this factor.
constexpr double kYield = 0.5;
// A short rollout has at least this many cycles.
constexpr Milliseconds kMinCycles = 3;

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

bool
IsInBurst(const Rollout& aRollout, Instant aNow)
{
  const Milliseconds cycle = std::min(kBurstCycleMs, aRollout.m_durationMs / kMinCycles);
  if (cycle <= 0) {
    return true;
  }
  const Milliseconds sinceOrder =
    std::max<Milliseconds>(aRollout.m_durationMs - (aRollout.m_deadline - aNow), 0);
  const auto quiet = static_cast<Milliseconds>(static_cast<double>(cycle) * (1 - 1 / kBurstFactor));
  return sinceOrder % cycle >= quiet;
}

// Chance also breaks the rhythm of routes whose requests take turns.
double
PaceOf(const ServiceExposure& aCounts, std::uint64_t aOfRoute, double aShare, double aFree)
{
  const double pace = kBurstFactor * aShare * kPace;
  const std::size_t routes = aCounts.m_trialByRoute.size();
  const bool yields = routes > 1 && aOfRoute * routes > aCounts.m_trialAttempts && aFree < 1;
  return yields ? pace * kYield : pace;
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
  if (free < 0 || !IsInBurst(aRollout, aNow) ||
      aRandom.Unit() >= PaceOf(counts, route->second, aExposure.m_share, free)) {
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
