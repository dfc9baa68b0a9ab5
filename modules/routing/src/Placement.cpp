#include "Placement.h"

#include <algorithm>

namespace sequoiastep::routing {

namespace {

// Targets that are asked with a limited wait before any wait is accepted.
constexpr std::size_t kMaxLimitedWaits = 3;
// Least wait beyond the expected one that is accepted rather than to ask another target.
constexpr Milliseconds kExtraWaitMs = 40;

// Share of the time left of the objective that a call may wait beyond the expected wait.
constexpr double kExtraWaitShare = 0.15;
constexpr double kUsPerMs = 1000;

// A wait that is small against the objective costs the caller little, and a refusal for it costs a
// handover. It is at most one run, so that a target that turns out to be busy is still left.
double
ExtraWaitMs(const PickRequest& aRequest)
{
  const double shareMs = kExtraWaitShare * static_cast<double>(aRequest.m_objectiveMs);
  return std::max<double>(kExtraWaitMs, std::min(shareMs, aRequest.m_routeAverageUs / kUsPerMs));
}

// The extra wait grows with the cost of moving the call's bytes to another failure domain.
Milliseconds
MaxWaitMs(const PickRequest& aRequest, double aExpectedMs)
{
  const double transferMs = aRequest.m_kilobytes * aRequest.m_transferCosts.m_crossDomainMsPerKb;
  return static_cast<Milliseconds>(ExtraWaitMs(aRequest) + transferMs + aExpectedMs);
}

} // namespace

std::optional<PlacedCall>
Place(Placement& aPlacement,
      const std::vector<Candidate>& aCandidates,
      const PickState& aState,
      const PickRequest& aRequest,
      Instant aNow,
      Random& aRandom)
{
  PickRequest request = aRequest;
  request.m_tried = &aPlacement.m_excludedNodes;
  const auto picked = Pick(aCandidates, aState, request, aNow, aRandom);
  if (!picked) {
    return std::nullopt;
  }
  // If a target that was full is still the best one, the call waits there as long as it can.
  aPlacement.m_anyWait = aPlacement.m_fullNodes.contains(aCandidates[picked->m_index].m_node) ||
                         aPlacement.m_fullNodes.size() >= kMaxLimitedWaits;
  return PlacedCall{ .m_index = picked->m_index,
                     .m_maxWaitMs =
                       aPlacement.m_anyWait ? kAnyWaitMs : MaxWaitMs(aRequest, picked->m_waitMs) };
}

} // namespace sequoiastep::routing
