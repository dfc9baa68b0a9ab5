#include "Placement.h"

namespace sequoiastep::routing {

namespace {

// Targets that are asked with a limited wait before any wait is accepted.
constexpr std::size_t kMaxLimitedWaits = 3;
// Wait beyond the expected one that is accepted rather than to ask another target.
constexpr Milliseconds kExtraWaitMs = 40;

// The extra wait grows with the cost of moving the call's bytes to another failure domain.
Milliseconds
MaxWaitMs(const PickRequest& aRequest, double aExpectedMs)
{
  const double transferMs = aRequest.m_kilobytes * aRequest.m_transferCosts.m_crossDomainMsPerKb;
  return kExtraWaitMs + static_cast<Milliseconds>(transferMs + aExpectedMs);
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
