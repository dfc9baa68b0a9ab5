#include "RolloutViews.h"

#include <algorithm>

namespace sequoiastep::node {

namespace {

using membership::MemberState;

// Nodes with a target of another version that may still have work.
std::vector<std::string>
FindOldTargets(const distribution::Controller& aController, const rollout::Rollout& aRollout)
{
  std::vector<std::string> nodes;
  for (const auto& [node, record] : aController.m_table.m_members) {
    const membership::Member& member = record.m_member;
    const bool present = member.m_state == MemberState::Up ||
                         member.m_state == MemberState::Draining ||
                         member.m_state == MemberState::Suspect;
    if (present && member.m_service == aRollout.m_service &&
        member.m_version != aRollout.m_version) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

} // namespace

void
AddRollouts(RolloutViews& aViews,
            RoutingView& aView,
            const distribution::Controller& aController,
            Instant aNow)
{
  aViews.m_reviewAt.reset();
  for (const auto& [service, rollout] : aController.m_rollouts.m_services) {
    aView.m_rollouts[service] = { .m_rollout = rollout,
                                  .m_trial = {},
                                  .m_oldTargets = FindOldTargets(aController, rollout) };
  }
  for (auto& [service, candidates] : aView.m_services) {
    const auto rollout = aView.m_rollouts.find(service);
    const bool known = rollout != aView.m_rollouts.end();
    rollout::VersionedCandidates split =
      rollout::SplitByVersion(std::move(candidates),
                              known ? &rollout->second.m_rollout : nullptr,
                              aViews.m_histories[service],
                              aViews.m_share,
                              aNow);
    candidates = std::move(split.m_regular);
    if (known) {
      rollout->second.m_trial = std::move(split.m_trial);
    }
    if (split.m_reviewAt) {
      aViews.m_reviewAt =
        std::min(aViews.m_reviewAt.value_or(*split.m_reviewAt), *split.m_reviewAt);
    }
  }
}

std::string
EstablishedVersion(const RolloutViews& aViews, std::string_view aService)
{
  const auto found = aViews.m_histories.find(aService);
  return found == aViews.m_histories.end() ? std::string() : found->second.m_established;
}

} // namespace sequoiastep::node
